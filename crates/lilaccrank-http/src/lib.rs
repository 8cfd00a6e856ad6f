//! Adapters that carry lilaccrank's ports over HTTP on monoio.
//!
//! Connections to callers, targets and operators use hyper, which forwards each streamed event as
//! it arrives. Calls between daemons are whole messages and use monoio-http with rmp-serde.

pub mod body;
pub mod client;
pub mod client_connection;
pub mod compression;
pub mod events;
pub mod head_limits;
mod head_timer;
pub mod late_calls;
pub mod monoio_clock;
pub mod peer_link;
pub mod peer_server;
mod progress;
pub mod runtime;
pub mod server;
mod socket;
pub mod store_client;
pub mod tally;
pub mod timeout;
pub mod unproductive;
