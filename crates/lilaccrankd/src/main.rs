//! Binary of the daemon, with the native adapters.

use std::process::ExitCode;

use lilaccrankd::args;
use lilaccrankd::ports::Ports;

fn main() -> ExitCode {
    args::run(Ports::default())
}
