//! Messages between entry daemons and the dispatcher of a pool.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::document::Limit;
use crate::error_kind::ErrorKind;
use crate::ids::{CustomerId, Incarnation, Rank, RequestId, RuleId, Tier, VmId};
use crate::target_instance::TargetInstance;

/// Counts the asks for one request; a grant of an earlier ask is void.
pub type AskNumber = u64;

/// Asks for a target for one request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Which ask for this request it is.
    pub ask: AskNumber,
    /// The part of its answer that its caller has.
    #[serde(default)]
    pub partial: Option<PartialAnswer>,
    /// Whose request it is.
    pub customer: CustomerId,
    /// Time left until the whole answer is due.
    pub deadline: Option<Duration>,
    /// Daemon that owns the request.
    pub entry: VmId,
    /// Life of that daemon.
    pub entry_incarnation: Incarnation,
    /// Targets that must not be granted, since they failed this request before.
    pub exclusions: Vec<TargetInstance>,
    /// Limits of the rule that matched.
    pub limit: Option<Limit>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Chain of digests over the blocks of the prompt, see [`crate::prompt::prefix_digests`].
    pub prefix: Vec<u64>,
    /// Time left until the caller expects the first token, or the whole answer of a plain service.
    pub objective: Option<Duration>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Rank of the customer.
    pub rank: Rank,
    /// The request.
    pub request: RequestId,
    /// Rule that matched.
    pub rule: RuleId,
    /// Tier of the request.
    pub tier: Tier,
    /// Longest time in the queue.
    pub wait_at_most: Option<Duration>,
    /// Share of the customer among those of its tier; 0 counts as 1.
    pub weight: u32,
}

/// The part of an answer that its caller has; the next target resumes behind it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartialAnswer {
    /// Expected time to the end of the answer at the target that still generates it; `None` if that
    /// target broke off. While one generates, only a target that is clearly faster is of use, and the ask
    /// may wait for it.
    pub remaining: Option<Duration>,
    /// Tokens that its caller has.
    pub tokens: u32,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verdict {
    /// The request may be sent, once, to this target.
    Grant(Grant),
    /// The request is not to be sent.
    Refuse(Refuse),
}

/// Leave to send one request to one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The ask that is answered; void if the entry has asked again since.
    pub ask: AskNumber,
    /// Vm of the dispatcher; void if another dispatcher was asked since.
    pub dispatcher: VmId,
    /// Life of the dispatcher.
    pub dispatcher_incarnation: Incarnation,
    /// Time to the whole answer by which it was judged, if it is known.
    #[serde(default)]
    pub expected: Option<Duration>,
    /// The request.
    pub request: RequestId,
    /// Where to send it.
    pub target: TargetInstance,
}

/// Refusal of one ask; the request was not run for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refuse {
    /// The ask that is answered.
    pub ask: AskNumber,
    /// The reason.
    pub kind: ErrorKind,
    /// The request.
    pub request: RequestId,
    /// When another try makes sense.
    pub retry_after: Option<Duration>,
    /// What its time did not suffice for, if that is the reason.
    #[serde(default)]
    pub unmeetable: Option<Unmeetable>,
}

/// Why an ask can't be met in the time that it has.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Unmeetable {
    /// No target can end it in time, behind the work that goes first.
    #[display("no target can end it in time")]
    Hopeless,
    /// The best open target can't end it in the time that is left.
    #[display("the best free target can't end it in the time that is left")]
    TooSlow,
    /// It waited for as long as its answer could begin in time.
    #[display("no target came free in time")]
    Waited,
    /// Waits of its tier have mostly ended without a target of late.
    #[display("its tier is waiting for nothing at present")]
    WaitsInVain,
}

/// What an entry daemon saw of a granted request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The ask that was granted.
    pub ask: AskNumber,
    /// What happened.
    pub kind: ReportKind,
    /// The request.
    pub request: RequestId,
    /// Where it runs.
    pub target: TargetInstance,
}

/// What happened to a granted request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReportKind {
    /// It was sent to the target. A grant of which nothing is heard for ten seconds lapses.
    Began,
    /// It has ended, whole or not.
    Ended {
        /// Tokens generated.
        decoded: u32,
        /// How it ended.
        outcome: Outcome,
        /// Tokens of prefill that the target computed, if it said so.
        prefill: Option<u32>,
    },
    /// The first token came.
    FirstToken {
        /// Time since it was sent.
        after: Duration,
    },
    /// More tokens came. Told at least each second while tokens come, else the target counts as
    /// silent.
    Progress {
        /// Mean time between these tokens.
        step: Duration,
        /// Tokens since the last report.
        tokens: u32,
    },
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The caller went away.
    Cancelled,
    /// The answer is whole.
    Complete,
    /// The target answered that it failed, or that it would not run it.
    Erred,
    /// The target gave no whole answer.
    Failed,
    /// The grant was not used.
    Unused,
}

/// Takes back an ask, also one that is already granted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cancel {
    /// The last ask that is taken back.
    pub ask: AskNumber,
    /// The request.
    pub request: RequestId,
}

/// One life of an entry daemon.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Life of the daemon.
    pub incarnation: Incarnation,
    /// Its vm.
    pub vm: VmId,
}

/// A request that runs on a target, as its entry tells a new dispatcher.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Running {
    /// The ask that was granted, with the lengths of the request.
    pub ask: Ask,
    /// Tokens generated so far; `None` before the first.
    pub decoded: Option<u32>,
    /// Where it runs.
    pub target: TargetInstance,
}

/// All that one entry daemon has with this pool; replaces what was known of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resync {
    /// Who tells.
    pub entry: Entry,
    /// Requests that run.
    pub running: Vec<Running>,
    /// Asks without a verdict.
    pub waiting: Vec<Ask>,
}

/// A target's own report of its load, which lags.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its own queue.
    pub waiting: u32,
}

/// A change in a target's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheEvent {
    /// Everything was dropped.
    Cleared,
    /// The block with this digest was dropped.
    Evicted(u64),
    /// The block with this digest is held.
    Stored(u64),
}
