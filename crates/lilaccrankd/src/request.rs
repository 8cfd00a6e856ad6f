//! Lifecycle of one request, from its routing to its end.

pub mod abort_signal;
pub mod admission;
pub mod answer_buffer;
pub mod answer_memory;
pub mod cancellation;
pub mod dispatch_refusal;
pub mod ended_by;
pub mod execution;
pub mod handover;
pub mod key_state;
pub mod lifecycle;
pub mod migration;
pub mod pool_retry_budgets;
pub mod quarantine;
pub mod quotas;
pub mod race;
pub mod run;
pub mod send;
pub mod send_history;
pub mod send_observer;
pub mod spill;
pub mod stream_origin;
pub mod takeover;
