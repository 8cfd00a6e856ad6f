//! Orders to targets: which daemon sends them, under which lease, and what each target was told to
//! do.

pub mod drain_reconciler;
pub mod jobs;
pub mod manager;
pub mod message;
pub mod pool_orders;
pub mod relay;
pub mod target_orders;
pub mod timeouts;
