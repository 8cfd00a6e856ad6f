//! `completions`: the shell's knowledge of this command line.

use std::io;

use clap::CommandFactory;
use clap_complete::Shell;

use crate::args::Cli;
use crate::error::Result;

/// Prints a script for a shell's completions.
#[derive(clap::Args)]
pub struct Args {
    /// The shell.
    shell: Shell,
}

impl Args {
    /// Prints the script.
    ///
    /// # Errors
    ///
    /// If standard output is closed.
    pub fn run(self) -> Result<()> {
        // The generator panics on a closed pipe, so it writes to memory first.
        let mut script = Vec::new();
        clap_complete::generate(self.shell, &mut Cli::command(), "lilaccrank", &mut script);
        io::Write::write_all(&mut io::stdout().lock(), &script)?;
        Ok(())
    }
}
