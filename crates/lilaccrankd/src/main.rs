//! The daemon as a program.

use std::process::ExitCode;

fn main() -> ExitCode {
    lilaccrankd::args::run()
}
