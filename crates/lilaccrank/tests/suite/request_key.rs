//! Tests of request keys: failures on a simulated cluster, and a model check of claim, dispatch
//! and takeover.

#[path = "request_key/cluster.rs"]
mod cluster;
#[path = "request_key/failures.rs"]
mod failures;
#[path = "request_key/model.rs"]
mod model;
#[path = "request_key/replay.rs"]
mod replay;
#[path = "request_key/search.rs"]
mod search;
#[path = "request_key/spec.rs"]
mod spec;
#[path = "request_key/spec_state.rs"]
mod spec_state;
#[path = "request_key/store_failures.rs"]
mod store_failures;
