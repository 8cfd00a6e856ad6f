//! The daemon of lilaccrank: takes requests, dispatches them to targets, answers callers.

use std::process::ExitCode;

mod admin;
mod answer_shape;
mod answers;
mod args;
mod auth;
mod caller_request;
mod callers;
mod daemon;
mod engine_run;
mod engine_stream;
mod entry;
mod in_force;
mod interruption;
mod json_logger;
mod metrics;
mod pools;
mod proxy_run;
mod refusal;
mod request_run;
mod run;
mod settings;
mod signals;

fn main() -> ExitCode {
    args::run()
}
