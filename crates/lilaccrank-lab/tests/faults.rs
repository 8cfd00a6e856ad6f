//! Failures of real processes, judged by callers and by the targets' own logs; a folder beside
//! this file holds them by subject.

#[path = "faults/bad_input.rs"]
mod bad_input;
#[path = "faults/configuration.rs"]
mod configuration;
#[path = "faults/departures.rs"]
mod departures;
#[path = "faults/dispatcher.rs"]
mod dispatcher;
#[path = "faults/engines.rs"]
mod engines;
#[path = "faults/entries.rs"]
mod entries;
#[path = "faults/harness.rs"]
mod harness;
#[path = "faults/leaving.rs"]
mod leaving;
#[path = "faults/pushback.rs"]
mod pushback;
#[path = "faults/request_keys.rs"]
mod request_keys;
#[path = "faults/says_leaving.rs"]
mod says_leaving;
#[path = "faults/services.rs"]
mod services;
#[path = "faults/spill.rs"]
mod spill;
#[path = "faults/stub.rs"]
mod stub;
