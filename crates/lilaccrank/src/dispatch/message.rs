//! Messages between entry daemons and the dispatcher of a pool.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::queue::Priority;
use crate::document::Limit;
use crate::error_kind::ErrorKind;
use crate::ids::{CustomerId, Incarnation, Rank, RequestId, RuleId, Tier, VmId};
use crate::software_version::{Origin, VersionFilter, VersionNeeds};
use crate::target_instance::TargetInstance;

/// Sequence number of the submissions for one request; a grant of an earlier submission is void.
pub type SubmissionNumber = u64;

/// Request of an entry daemon for a slot on a target, on behalf of one caller's request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Submission {
    /// Number of this submission.
    #[serde(rename = "ask")]
    pub submission: SubmissionNumber,
    /// Set if no other submission of the request has this number, so that a late copy of an ended one is
    /// not taken for a new one. Older entry daemons number the submissions of each attempt from 1.
    #[serde(default)]
    pub has_unique_number: bool,
    /// Where the stream began, if the caller already has a part of it.
    #[serde(default)]
    pub origin: Origin,
    /// Part of the answer that the caller already has.
    #[serde(default)]
    pub partial: Option<PartialAnswer>,
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Time until the complete answer is due.
    pub deadline: Option<Duration>,
    /// VM of the entry daemon that owns the request.
    pub entry: VmId,
    /// Incarnation of the entry daemon.
    pub entry_incarnation: Incarnation,
    /// Targets that must not be granted because they failed this request before.
    pub exclusions: Vec<TargetInstance>,
    /// Limits of the matching rule.
    pub limit: Option<Limit>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Chained digests of the blocks of the prompt, see [`crate::prompt::prefix_digests`].
    pub prefix: Vec<u64>,
    /// Time until the caller expects the first token, or the complete answer of a plain service.
    pub objective: Option<Duration>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Rank of the customer.
    pub rank: Rank,
    /// Id of the request.
    pub request: RequestId,
    /// Matching rule.
    pub rule: RuleId,
    /// Tier of the request.
    pub tier: Tier,
    /// Versions that a roll-out allows it to go to.
    #[serde(default)]
    pub versions: VersionFilter,
    /// Maximum time in the queue.
    pub wait_at_most: Option<Duration>,
    /// Weight of the customer within its tier; 0 counts as 1.
    pub weight: u32,
}

impl Submission {
    /// Returns `true` if the caller already has a part of the answer, of this request or of an
    /// earlier one.
    #[must_use]
    pub fn is_resumed(&self) -> bool {
        self.partial.is_some() || !self.origin.is_new()
    }

    /// Returns `true` if a roll-out allows it one version only.
    #[must_use]
    pub fn is_confined(&self) -> bool {
        matches!(self.versions, VersionFilter::Only(_))
    }

    /// What it demands of the version of its target.
    #[must_use]
    pub fn version_needs(&self) -> VersionNeeds {
        VersionNeeds {
            filter: self.versions,
            origin: self.origin,
        }
    }

    /// Order of the submission in a queue.
    #[must_use]
    pub fn priority(&self) -> Priority {
        Priority {
            rank: self.rank,
            tier: self.tier,
        }
    }

    /// Returns the submission with this much less time left.
    #[must_use]
    pub fn after(&self, elapsed: Duration) -> Self {
        let less = |left: Option<Duration>| left.map(|left| left.saturating_sub(elapsed));
        Self {
            deadline: less(self.deadline),
            objective: less(self.objective),
            wait_at_most: less(self.wait_at_most),
            ..self.clone()
        }
    }

    /// Kind of the refusal if no target may serve it.
    #[must_use]
    pub fn no_target(&self) -> ErrorKind {
        match self.origin {
            Origin::New => ErrorKind::NoTarget,
            Origin::At(_) | Origin::Unknown => ErrorKind::CannotResume,
        }
    }
}

/// Part of an answer that the caller already has; the next target resumes after it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartialAnswer {
    /// Expected time until the current target finishes the answer; `None` if that target has
    /// stopped. While a target is still generating, only a clearly faster one is useful, and the
    /// submission may wait for it.
    pub remaining: Option<Duration>,
    /// Number of tokens that the caller has.
    pub tokens: u32,
}

/// Answer to a [`Submission`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verdict {
    /// The request may be sent once to the granted target.
    Grant(Grant),
    /// The request must not be sent.
    Refuse(Refuse),
}

/// Permission to send one request to one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// Number of the answered submission; the grant is void if the entry daemon has submitted the
    /// request again since.
    #[serde(rename = "ask")]
    pub submission: SubmissionNumber,
    /// VM of the dispatcher; the grant is void if the request was submitted to another dispatcher
    /// since.
    pub dispatcher: VmId,
    /// Incarnation of the dispatcher.
    pub dispatcher_incarnation: Incarnation,
    /// Completion time that was checked against the deadline, if known.
    #[serde(default)]
    pub expected: Option<Duration>,
    /// Id of the request.
    pub request: RequestId,
    /// Target to send the request to.
    pub target: TargetInstance,
}

/// Refusal of one submission; the request was not run for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refuse {
    /// Number of the refused submission.
    #[serde(rename = "ask")]
    pub submission: SubmissionNumber,
    /// Reason of the refusal.
    pub kind: ErrorKind,
    /// Id of the request.
    pub request: RequestId,
    /// Delay after which a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Details, if the deadline or the objective can't be met.
    #[serde(default)]
    pub unmeetable: Option<Unmeetable>,
}

/// Why a submission can't be met in time.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Unmeetable {
    /// No target can meet the deadline after the work ahead.
    #[serde(rename = "Hopeless")]
    #[display("no target can end it in time")]
    Infeasible,
    /// The best eligible target can't meet the deadline.
    #[display("the best free target can't end it in the time that is left")]
    TooSlow,
    /// The submission waited until its answer could no longer start in time.
    #[serde(rename = "Waited")]
    #[display("no target came free in time")]
    TimedOut,
    /// Most recent waits of the tier have ended without a grant.
    #[serde(rename = "WaitsInVain")]
    #[display("its tier is waiting for nothing at present")]
    TierStarved,
}

/// Report of an entry daemon on a granted request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Number of the granted submission.
    #[serde(rename = "ask")]
    pub submission: SubmissionNumber,
    /// The reported event.
    pub kind: ReportKind,
    /// Id of the request.
    pub request: RequestId,
    /// Target that runs the request.
    pub target: TargetInstance,
}

/// Event of a granted request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum ReportKind {
    /// The request was sent to the target. An unconfirmed grant expires after ten seconds.
    Began,
    /// The request has ended, with or without a complete answer.
    Ended {
        /// Number of generated tokens.
        decoded: u32,
        /// How the request ended.
        outcome: Outcome,
        /// Number of prefill tokens that the target computed, if reported.
        prefill: Option<u32>,
    },
    /// The head of an answer in pieces has arrived.
    Head,
    /// The first token has arrived.
    FirstToken {
        /// Time since the request was sent.
        after: Duration,
    },
    /// More tokens have arrived. Reported at least once per second while tokens arrive; otherwise
    /// the target counts as silent. Without tokens, the target is not read, since the caller has fallen
    /// behind; `step` then says nothing.
    Progress {
        /// Mean time between these tokens.
        step: Duration,
        /// Number of tokens since the last report.
        tokens: u32,
    },
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The caller disconnected.
    Cancelled,
    /// The answer is complete.
    Complete,
    /// The target returned an error or rejected the request.
    Erred,
    /// The target gave no complete answer.
    Failed,
    /// Another target answered at its address.
    Misdirected,
    /// The target did not run the request and says so.
    TurnedAway,
    /// The grant was not used.
    Unused,
}

/// Cancels a submission, waiting or granted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cancel {
    /// Number of the last submission to cancel; earlier ones are cancelled too.
    #[serde(rename = "ask")]
    pub submission: SubmissionNumber,
    /// Id of the request.
    pub request: RequestId,
}

/// One incarnation of an entry daemon.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// VM of the daemon.
    pub vm: VmId,
}

/// Running request, as reported by its entry daemon to a new dispatcher.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Running {
    /// The granted submission, with the length of the request.
    #[serde(rename = "ask")]
    pub submission: Submission,
    /// Number of tokens generated so far; `None` before the first.
    pub decoded: Option<u32>,
    /// Target that runs the request.
    pub target: TargetInstance,
}

/// All requests of one entry daemon in this pool; replaces its previous state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resync {
    /// The entry daemon.
    pub entry: Entry,
    /// Running requests.
    pub running: Vec<Running>,
    /// Waiting submissions.
    pub waiting: Vec<Submission>,
}

/// A target's report of its own load, which lags.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of requests in its batch.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
}

/// Change of a target's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheEvent {
    /// The cache was cleared.
    Cleared,
    /// The block with this digest was evicted.
    Evicted(u64),
    /// The block with this digest was stored.
    Stored(u64),
}
