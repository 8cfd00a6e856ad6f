//! Adapters that carry lilaccrank's ports over HTTP on monoio.
//!
//! Streaming sides (callers, targets, operators) use hyper, which passes each event on as it
//! comes; calls between daemons are whole messages and use monoio-http with rmp-serde.

pub mod body;
pub mod client;
pub mod compression;
pub mod events;
mod head_timer;
pub mod monoio_clock;
pub mod peer_link;
pub mod peer_server;
pub mod runtime;
pub mod server;
pub mod store_client;
pub mod tally;
