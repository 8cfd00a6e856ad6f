//! Failures of real processes, judged by callers and by the targets' own logs; a folder beside
//! this file holds them by subject.

#[path = "faults/entry_killed.rs"]
mod entry_killed;
#[path = "faults/harness.rs"]
mod harness;
#[path = "faults/request_keys.rs"]
mod request_keys;
#[path = "faults/spill.rs"]
mod spill;
