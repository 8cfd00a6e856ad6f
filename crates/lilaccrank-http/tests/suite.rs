//! Tests of the adapters; a folder beside this file holds them by subject.

#[path = "suite/client.rs"]
mod client;
#[path = "suite/packing.rs"]
mod packing;
