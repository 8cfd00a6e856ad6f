//! Tests of the stand-ins as processes; a folder beside this file holds them by subject.

#[path = "suite/answer_text.rs"]
mod answer_text;
#[path = "suite/bench.rs"]
mod bench;
#[path = "suite/caller.rs"]
mod caller;
#[path = "suite/control.rs"]
mod control;
#[path = "suite/engine.rs"]
mod engine;
#[path = "suite/engine_faults.rs"]
mod engine_faults;
#[path = "suite/frugal.rs"]
mod frugal;
#[path = "suite/notify.rs"]
mod notify;
#[path = "suite/platform.rs"]
mod platform;
#[path = "suite/process.rs"]
mod process;
#[path = "suite/service.rs"]
mod service;
#[path = "suite/wire.rs"]
mod wire;
