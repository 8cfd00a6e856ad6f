//! `rules`: the configuration's document, of which the rules are the heart.

use clap::Subcommand;

use crate::context::Context;
use crate::error::Result;

pub mod file;

mod check;
mod diff;
mod edit;
mod history;
mod move_rule;
mod place;
mod publish;
mod rollback;
mod show;
mod source;

/// Checks, shows and publishes the configuration with its rules.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    Check(check::Args),
    Diff(diff::Args),
    Edit(edit::Args),
    History(history::Args),
    Move(move_rule::Args),
    Publish(publish::Args),
    Rollback(rollback::Args),
    Show(show::Args),
}

impl Args {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// As the subcommand says.
    pub async fn run(self, cx: &Context) -> Result<()> {
        match self.command {
            Command::Check(args) => args.run(cx),
            Command::Diff(args) => args.run(cx).await,
            Command::Edit(args) => args.run(cx).await,
            Command::History(args) => args.run(cx).await,
            Command::Move(args) => args.run(cx).await,
            Command::Publish(args) => args.run(cx).await,
            Command::Rollback(args) => args.run(cx).await,
            Command::Show(args) => args.run(cx).await,
        }
    }
}
