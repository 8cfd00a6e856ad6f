//! Tests of the library, in one crate; a folder beside this file holds them by subject.

#[path = "suite/circuit.rs"]
mod circuit;
#[path = "suite/cluster.rs"]
mod cluster;
#[path = "suite/error_kind.rs"]
mod error_kind;
#[path = "suite/fake_store.rs"]
mod fake_store;
#[path = "suite/guarded_store.rs"]
mod guarded_store;
#[path = "suite/lease.rs"]
mod lease;
#[path = "suite/membership.rs"]
mod membership;
#[path = "suite/membership_cost.rs"]
mod membership_cost;
#[path = "suite/orders.rs"]
mod orders;
#[path = "suite/process.rs"]
mod process;
#[path = "suite/rendezvous.rs"]
mod rendezvous;
#[path = "suite/retry_budget.rs"]
mod retry_budget;
#[path = "suite/wire.rs"]
mod wire;
