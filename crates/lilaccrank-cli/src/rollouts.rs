//! `rollouts`: software versions that pools move to.

use lilaccrank::operators::path;
use lilaccrank::rollout::message::{RuleView, View, Views};

use crate::context::Context;
use crate::error::Result;
use crate::fleet::Fleet;

/// Shows roll-outs of software versions: how far they are, and what both versions answer.
#[derive(clap::Args)]
pub struct Args {}

impl Args {
    /// Lists the roll-outs as their judge sees them.
    ///
    /// # Errors
    ///
    /// If no daemon can be reached.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let views: Views = Fleet::new(cx)?.get(path::ROLLOUTS).await?;
        cx.output.print(&views, lines)
    }
}

fn lines(views: &Views) -> Vec<String> {
    views.rollouts.iter().flat_map(rollout).collect()
}

fn rollout(view: &View) -> Vec<String> {
    let why = view.reason.as_ref().map(|why| format!(": {why}"));
    let head = format!(
        "{} {} after {} of {} ms{}; {} requests open at old targets, {} daemons",
        view.order,
        view.stage,
        view.age_ms,
        view.duration_ms,
        why.unwrap_or_default(),
        view.open_old,
        view.reporters,
    );
    let rules = view.rules.iter().map(|(rule, seen)| answers(rule, *seen));
    [head].into_iter().chain(rules).collect()
}

fn answers(rule: &str, seen: RuleView) -> String {
    format!(
        "  {rule}: new {} answers, {} failures; old {} answers, {} failures",
        seen.new_answers, seen.new_failures, seen.old_answers, seen.old_failures,
    )
}
