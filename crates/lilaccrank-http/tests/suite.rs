//! Tests of the adapters; a folder beside this file holds them by subject.

#[path = "suite/client.rs"]
mod client;
#[path = "suite/compression.rs"]
mod compression;
#[path = "suite/events.rs"]
mod events;
#[path = "suite/server.rs"]
mod server;
