//! The command line, and its way to the subcommands.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use lilaccrank_http::runtime;

use crate::address::Address;
use crate::context::Context;
use crate::error::{Error, Result};
use crate::{completions, drain, explain, quarantine, rollouts, rules, send, status, timeline};

/// Where a daemon serves operators unless its settings say otherwise.
const DEFAULT_ADMIN: &str = "http://127.0.0.1:7401";

/// Operates lilaccrank: rules, daemons, targets.
#[derive(Parser)]
#[command(name = "lilaccrank", version, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    options: Options,
}

/// Options of every subcommand.
#[derive(clap::Args)]
pub struct Options {
    /// Operators' URL of a daemon; once for each data centre, others are found from there.
    #[arg(
        default_value = DEFAULT_ADMIN,
        env = "LILACCRANK_ADMIN",
        global = true,
        long,
        value_delimiter = ',',
        value_name = "URL"
    )]
    pub admin: Vec<Address>,
    /// Print JSON, also of errors.
    #[arg(global = true, long)]
    pub json: bool,
    /// Bearer key.
    #[arg(env = "LILACCRANK_KEY", global = true, hide_env_values = true, long)]
    pub key: Option<String>,
}

#[derive(Subcommand)]
enum Command {
    Completions(completions::Args),
    Drain(drain::Args),
    Explain(explain::Args),
    Quarantine(quarantine::Args),
    Rollouts(rollouts::Args),
    Rules(rules::Args),
    Send(send::Args),
    Status(status::Args),
    Timeline(timeline::Args),
}

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  the document has errors
  2  wrong use of this command
  3  a daemon can't be reached; what the others told is printed
  4  refused, or no such thing
  5  another publication came first; nothing was changed
  6  it may have been done; the message says how to find out
  7  not in force everywhere, or not ended, within the wait
  8  a file, the editor or the output failed here";

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    let cli = Cli::parse();
    let cx = Context::new(cli.options);
    let result = runtime::block_on(cli.command.run(&cx))
        .map_err(Error::Local)
        .flatten();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            cx.output.error(&e);
            ExitCode::from(e.exit_code())
        }
    }
}

impl Command {
    async fn run(self, cx: &Context) -> Result<()> {
        match self {
            Self::Completions(args) => args.run(),
            Self::Drain(args) => args.run(cx).await,
            Self::Explain(args) => args.run(cx).await,
            Self::Quarantine(args) => args.run(cx).await,
            Self::Rollouts(args) => args.run(cx).await,
            Self::Rules(args) => args.run(cx).await,
            Self::Send(args) => args.run(cx).await,
            Self::Status(args) => args.run(cx).await,
            Self::Timeline(args) => args.run(cx).await,
        }
    }
}
