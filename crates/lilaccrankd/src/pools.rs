//! Pools of targets: an entry asks the dispatcher of a pool for a target.

pub mod client;
pub mod poller;
pub mod rate_limits;
pub mod server;
pub mod slot_leases;
