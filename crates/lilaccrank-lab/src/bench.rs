//! `bench`: policies of dispatch against the same load and faults, one run each.

mod baseline;
mod bound;
mod faults;
pub mod judge;
pub mod plan;
pub mod report;
mod run;
pub mod scenario;

use std::path::PathBuf;

use crate::stand_in::Result;

use scenario::Scenario;

/// How requests find their engine.
#[derive(Clone, Copy, Debug, clap::ValueEnum, serde::Serialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The engine whose last report shows the least load.
    LeastReportedLoad,
    /// Through the daemons.
    Lilaccrank,
    /// Each engine in turn.
    RoundRobin,
    /// The less loaded of two engines drawn at random, by their last reports.
    TwoChoices,
}

/// Settings of the bench.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Print one JSON object for each policy instead of a table.
    #[arg(long)]
    json: bool,
    /// Policies, run one after another.
    #[arg(long, value_enum, value_delimiter = ',', required = true)]
    policy: Vec<Policy>,
    /// File of the scenario.
    #[arg(long)]
    scenario: PathBuf,
    /// Seed of the load: the same requests at the same times for each policy.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the scenario once for each policy and prints what came of it.
///
/// # Errors
///
/// If the scenario can't be read or a cluster can't be started.
pub async fn run(args: Args) -> Result<()> {
    let scenario = Scenario::read(&args.scenario)?;
    for policy in args.policy {
        let report = run::run(&scenario, policy, args.seed).await?;
        if args.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            print!("{report}");
        }
    }
    Ok(())
}
