//! Messages between the daemons of a roll-out and its judges.

use std::time::Duration;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::evidence::Evidence;
use super::order::OrderId;
use super::schedule::Schedule;
use super::verdict::Blame;
use crate::ids::{Incarnation, VmId};

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets a share of the requests.
    #[default]
    #[display("trial")]
    Trial,
    /// All new requests go to the new version, and the old targets finish what they have.
    #[display("closing")]
    Closing,
    /// The old targets have nothing left.
    #[display("succeeded")]
    Succeeded,
    /// The new version gets nothing.
    #[display("rolled back")]
    RolledBack,
}

impl Stage {
    /// Returns `true` if no other stage follows.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }
}

/// Why a new version gets nothing any more.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is worse than the old ones.
    #[display("{_0}")]
    Blame(Blame),
    /// The order can't be carried out.
    #[display("{_0}")]
    Order(String),
    /// The store says so.
    #[display("the platform's store has it rolled back")]
    Recorded,
    /// No target of the version was listed before the deadline.
    #[display("no target of the version was listed before the deadline")]
    NoTarget,
    /// No target of the version answered before the deadline.
    #[display("no target of the version answered before the deadline")]
    Unproven,
}

/// What one daemon has seen of a roll-out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Time since the order, as far as the daemon knows.
    pub age: Duration,
    /// All answers that the daemon has seen.
    pub evidence: Evidence,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Requests for old targets that wait or run.
    pub open_old: u32,
    /// The order.
    pub order: OrderId,
    /// Requests that are unanswered, by the time for which they have been.
    pub pending: Evidence,
    /// Why the new version gets nothing, if the daemon knows of that.
    pub reason: Option<Reason>,
    /// Stage by which the daemon acts.
    pub stage: Stage,
    /// Its VM.
    pub vm: VmId,
}

/// How a roll-out goes on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Directive {
    /// Time since the order.
    pub age: Duration,
    /// The order.
    pub order: OrderId,
    /// Why the new version gets nothing, in the last stage.
    pub reason: Option<Reason>,
    /// When the requests of the rules move.
    pub schedule: Schedule,
    /// The stage.
    pub stage: Stage,
}

/// What a daemon tells a judge of all roll-outs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Reports {
    /// A report for each roll-out.
    pub reports: Vec<Report>,
}

/// Reply of a judge. Roll-outs that it doesn't know yet are missing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Directives {
    /// A directive for each roll-out.
    pub directives: Vec<Directive>,
}

/// Asks a judge for its view of all roll-outs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewsRequest;

/// Roll-outs as operators see them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Views {
    /// One for each order.
    pub rollouts: Vec<View>,
}

/// A roll-out as operators see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// Milliseconds since the order.
    pub age_ms: u64,
    /// Milliseconds in which it has to end.
    pub duration_ms: u64,
    /// Requests for old targets that wait or run, at daemons that have reported.
    pub open_old: u32,
    /// The order.
    pub order: OrderId,
    /// Why the new version gets nothing.
    pub reason: Option<String>,
    /// Daemons that have reported.
    pub reporters: usize,
    /// Answers by rule: bad and all of the old versions, then of the new one.
    pub rules: IndexMap<String, RuleView>,
    /// The stage.
    pub stage: Stage,
}

/// Answers to the requests of one rule, as operators see them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RuleView {
    /// Answers of the new version.
    pub new_answers: u32,
    /// Failures among them.
    pub new_failures: u32,
    /// Answers of the old versions.
    pub old_answers: u32,
    /// Failures among them.
    pub old_failures: u32,
}
