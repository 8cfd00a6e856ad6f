//! Scheduling and coordination library of lilaccrank, a request scheduler for heterogeneous
//! inference engines.
//!
//! All I/O goes through traits ([`clock`], [`store`], [`peers`]), so the library can be embedded
//! without the daemon. Unless a name says otherwise, sizes are in bytes, lengths in tokens and
//! times are [`std::time::Duration`]s.

pub mod advisories;
pub mod attempts;
pub mod backoff;
pub mod cells;
pub mod circuit_breaker;
pub mod clock;
pub mod configuration;
pub mod dispatch;
pub mod document;
pub mod error_kind;
pub mod guarded_store;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod operators;
pub mod orders;
pub mod paths;
pub mod paused_clock;
pub mod peers;
pub mod prompt;
pub mod quota;
pub mod rendezvous;
pub mod request;
pub mod request_key;
pub mod retry_budget;
pub mod rollout;
pub mod rules;
pub mod slot_leases;
pub mod software_version;
pub mod steps;
pub mod store;
pub mod store_revision;
pub mod stream_origins;
pub mod stream_progress;
pub mod target_instance;
pub mod timeline;
pub mod versions_in_use;
