//! Tests of the HTTP adapters, in one module per subject.

#[path = "suite/busy_tasks.rs"]
mod busy_tasks;
#[path = "suite/client.rs"]
mod client;
#[path = "suite/client_connection.rs"]
mod client_connection;
#[path = "suite/compression.rs"]
mod compression;
#[path = "suite/early_answers.rs"]
mod early_answers;
#[path = "suite/endings.rs"]
mod endings;
#[path = "suite/events.rs"]
mod events;
#[path = "suite/idle_times.rs"]
mod idle_times;
#[path = "suite/intake.rs"]
mod intake;
#[path = "suite/kept.rs"]
mod kept;
#[path = "suite/late_calls.rs"]
mod late_calls;
#[path = "suite/live_limits.rs"]
mod live_limits;
#[path = "suite/peer_link.rs"]
mod peer_link;
#[path = "suite/server.rs"]
mod server;
#[path = "suite/standstill.rs"]
mod standstill;
#[path = "suite/timer_gate.rs"]
mod timer_gate;
#[path = "suite/unproductive.rs"]
mod unproductive;
