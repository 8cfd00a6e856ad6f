//! Tests of parts of the daemon that need no running process.

#[path = "suite/adopting.rs"]
mod adopting;
#[path = "suite/advisory_log.rs"]
mod advisory_log;
#[path = "suite/answer_memory.rs"]
mod answer_memory;
#[path = "suite/cancellation.rs"]
mod cancellation;
#[path = "suite/changes.rs"]
mod changes;
#[path = "suite/feed.rs"]
mod feed;
#[path = "suite/fixtures.rs"]
mod fixtures;
#[path = "suite/floods.rs"]
mod floods;
#[path = "suite/following.rs"]
mod following;
#[path = "suite/freshness.rs"]
mod freshness;
#[path = "suite/listing.rs"]
mod listing;
#[path = "suite/listing_changes.rs"]
mod listing_changes;
#[path = "suite/load_message.rs"]
mod load_message;
#[path = "suite/network.rs"]
mod network;
#[path = "suite/pauses.rs"]
mod pauses;
#[path = "suite/platform_contact.rs"]
mod platform_contact;
#[path = "suite/platform_queries.rs"]
mod platform_queries;
#[path = "suite/pulls.rs"]
mod pulls;
#[path = "suite/race.rs"]
mod race;
#[path = "suite/retry_fleet.rs"]
mod retry_fleet;
#[path = "suite/retry_permit.rs"]
mod retry_permit;
#[path = "suite/sendable.rs"]
mod sendable;
#[path = "suite/slot_arbiter.rs"]
mod slot_arbiter;
#[path = "suite/standstill.rs"]
mod standstill;
#[path = "suite/transfers.rs"]
mod transfers;
