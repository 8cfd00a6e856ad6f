//! The daemon as a program.

use std::process::ExitCode;

use lilaccrankd::args;
use lilaccrankd::ports::Ports;

fn main() -> ExitCode {
    args::run(Ports::default())
}
