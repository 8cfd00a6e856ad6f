//! Tests of the command line as a process; a folder beside this file holds them by subject.

#[path = "suite/admin.rs"]
mod admin;
#[path = "suite/cluster.rs"]
mod cluster;
#[path = "suite/drain.rs"]
mod drain;
#[path = "suite/explain.rs"]
mod explain;
#[path = "suite/publish.rs"]
mod publish;
#[path = "suite/quarantine.rs"]
mod quarantine;
#[path = "suite/rollouts.rs"]
mod rollouts;
#[path = "suite/rules.rs"]
mod rules;
#[path = "suite/store.rs"]
mod store;
#[path = "suite/test.rs"]
mod test;
#[path = "suite/timeline.rs"]
mod timeline;
#[path = "suite/usage.rs"]
mod usage;
