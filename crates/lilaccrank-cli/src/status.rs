//! `status`: how all daemons, pools and targets are.

use lilaccrank::dispatch::status::TargetStatus;
use lilaccrank::membership::State;

use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::survey::{Daemon, Survey};

/// Shows all daemons, what each has in force, and the pools and targets they dispatch.
#[derive(clap::Args)]
pub struct Args {}

impl Args {
    /// Shows the state of everything.
    ///
    /// # Errors
    ///
    /// If a daemon can't be reached; what the others told is printed.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let survey = Fleet::new(cx)?.survey().await?;
        cx.output.print(&survey, lines)?;
        survey.complete()
    }
}

fn lines(survey: &Survey) -> Vec<String> {
    survey.daemons.values().flat_map(daemon).collect()
}

fn daemon(daemon: &Daemon) -> Vec<String> {
    let status = &daemon.status;
    let state = if status.leaving { "leaving" } else { "live" };
    let gone = status
        .members
        .iter()
        .filter(|member| matches!(member.state, State::Dead | State::Suspect));
    let mut lines = vec![format!(
        "{} in {}: {state}, {}, {} in progress, {}",
        status.vm, status.data_centre, status.identity, status.in_progress, daemon.admin,
    )];
    lines.extend(gone.map(|member| format!("  sees {} as {}", member.vm, member.state)));
    let unusable = status.unusable_entries.iter();
    lines.extend(unusable.map(|(entry, why)| format!("  can't use entry {entry}: {why}")));
    for (id, pool) in &status.pools {
        let waiting: usize = pool.waiting.iter().map(|tier| tier.waiting).sum();
        let running = pool.running;
        let handover = if pool.handover { ", taking over" } else { "" };
        lines.push(format!(
            "  dispatches pool {id}: {waiting} waiting, {running} running{handover}"
        ));
        lines.extend(pool.targets.iter().map(target));
    }
    lines
}

fn target(target: &TargetStatus) -> String {
    let state = if target.live { "live" } else { "draining" };
    format!(
        "    {}: {state}, {} of {} slots, {}, step {:.1} ms, {:.1} times its usual time",
        target.id,
        target.running,
        target.slots,
        target.health,
        target.step.as_secs_f64() * 1_000.0,
        target.slowness,
    )
}
