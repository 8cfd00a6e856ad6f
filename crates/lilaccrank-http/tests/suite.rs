//! Tests of the adapters; a folder beside this file holds them by subject.

#[path = "suite/packing.rs"]
mod packing;
