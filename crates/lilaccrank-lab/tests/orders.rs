//! Orders to targets on real processes, judged by the engines' own records.

#[path = "orders/drain.rs"]
mod drain;
#[path = "orders/harness.rs"]
mod harness;
#[path = "orders/holder_frozen.rs"]
mod holder_frozen;
#[path = "orders/store.rs"]
mod store;
