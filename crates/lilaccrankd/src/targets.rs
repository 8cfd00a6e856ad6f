//! Communication with targets: model engines and plain services.

pub mod call;
pub mod departed;
pub mod engine_run;
pub mod engine_stream;
pub mod forward;
pub mod freshness;
pub mod lapsed;
pub mod link;
pub mod listing_changes;
pub mod live_list;
pub mod native_protocol;
pub mod newest_instances;
pub mod paths;
pub mod pauses;
pub mod protocol;
pub mod proxied_request;
pub mod relay;
pub mod sendable;
pub mod transport;
pub mod write_time;
