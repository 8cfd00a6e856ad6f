//! `launch`: becomes a daemon that ends with the process that started it, however that ends.

use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::Command;

use rustix::process::{self, Pid, Signal};

use crate::process::binary;
use crate::stand_in::Result;

/// Settings of `launch`.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Id of the process that starts the daemon.
    #[arg(long)]
    parent: i32,
    /// File of the daemon's settings.
    #[arg(long)]
    settings: PathBuf,
}

/// Replaces this process by the daemon.
///
/// # Errors
///
/// If the system refuses, or the parent has already ended.
pub fn run(args: &Args) -> Result<()> {
    process::set_parent_process_death_signal(Some(Signal::KILL))?;
    if process::getppid() != Pid::from_raw(args.parent) {
        return Err(std::io::Error::other(
            "the process that starts the daemon has ended",
        ));
    }
    let daemon = binary("lilaccrankd")?;
    Err(Command::new(daemon)
        .arg("--settings")
        .arg(&args.settings)
        .exec())
}
