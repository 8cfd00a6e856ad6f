//! Tests of the adapters; a folder beside this file holds them by subject.

#[path = "suite/client.rs"]
mod client;
#[path = "suite/events.rs"]
mod events;
#[path = "suite/packing.rs"]
mod packing;
#[path = "suite/server.rs"]
mod server;
