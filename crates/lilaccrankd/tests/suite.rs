//! Tests of the daemon's parts that need no process; a folder beside this file holds them by
//! subject.

#[path = "suite/changes.rs"]
mod changes;
#[path = "suite/heard.rs"]
mod heard;
#[path = "suite/listing.rs"]
mod listing;
#[path = "suite/load_message.rs"]
mod load_message;
#[path = "suite/stale_spread.rs"]
mod stale_spread;
