//! The operators' command line of lilaccrank.

use std::process::ExitCode;

mod address;
mod api;
mod args;
mod changes;
mod completions;
mod context;
mod drain;
mod error;
mod explain;
mod fleet;
mod instant;
mod output;
mod publication;
mod quarantine;
mod rollouts;
mod rules;
mod send;
mod status;
mod survey;
mod timeline;
mod waiting;

fn main() -> ExitCode {
    args::run()
}
