//! `quarantine`: requests that are refused since targets crashed under them.

use lilaccrank::operators::{LiftRequest, QuarantineEntry, Quarantines, path};

use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;

/// Lists or lifts quarantines of requests under which targets crashed.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Shows the quarantines that hold.
    List,
    /// Lifts a quarantine at all daemons.
    Lift {
        /// Digest of the content or the part of a prompt, as refusals and logs name it.
        digest: String,
    },
}

impl Args {
    /// Lists the quarantines, or lifts one and lists those that remain.
    ///
    /// # Errors
    ///
    /// If no daemon can be reached, or there is no such quarantine.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let fleet = Fleet::new(cx)?;
        let quarantines: Quarantines = match self.command {
            Command::List => fleet.get(path::QUARANTINES).await?,
            Command::Lift { digest } => {
                let req = LiftRequest { digest };
                fleet.post(path::QUARANTINES, &req).await?
            }
        };
        cx.output.print(&quarantines, lines)
    }
}

fn lines(quarantines: &Quarantines) -> Vec<String> {
    let line =
        |entry: &QuarantineEntry| format!("{} for {} s", entry.digest, entry.left_ms / 1_000);
    quarantines.entries.iter().map(line).collect()
}
