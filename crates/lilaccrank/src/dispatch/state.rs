//! Soft state of a dispatcher.

use std::cell::Cell;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::Config;
use super::affinity::Affinity;
use super::choice::{self, Requirements};
use super::deadline::Capacity;
use super::delay::Delay;
use super::drain_rate::DrainRate;
use super::ended::EndedSubmissions;
use super::inflight::InflightPrefixes;
use super::length_ratio::LengthRatio;
use super::limits::{CounterKey, Limits};
use super::message::{Entry, Grant, Refuse, Submission, SubmissionNumber, Unmeetable, Verdict};
use super::queue::{Item, Queue, RequestClass};
use super::rate_limit::Share;
use super::recovery::Handover;
use super::reservation::Reservation;
use super::sharing::Sharing;
use super::target::Target;
use super::tiers::Tiers;
use super::wait_outcomes::WaitOutcomes;
use super::work::Work;
use crate::error_kind::ErrorKind;
use crate::ids::RequestId;
use crate::stream_progress;
use crate::target_instance::{InstanceDigest, TargetInstance};

/// Maximum fraction of the time remaining at the current target that a migrated answer may take at
/// the new one. A migration repeats the prefill of the prompt and of the partial answer, so it must
/// be clearly faster.
const MIGRATION_TIME_RATIO: f64 = 0.6;

/// Identifies one waiting call, so that a call that ends late doesn't cancel the submission of its
/// successor.
pub(super) type WaiterId = u64;

/// Call that waits for a verdict.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: WaiterId,
    pub(super) tx: oneshot::Sender<Verdict>,
}

/// Submission in the queue.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) submission: Submission,
    pub(super) counter_key: Option<CounterKey>,
    pub(super) deadline: Option<Instant>,
    /// Current delay for a holder of the prefix, if any.
    pub(super) delayed: Cell<Option<Delay>>,
    pub(super) waiter: Option<Waiter>,
}

/// Why a submission is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusalReason {
    kind: ErrorKind,
    unmeetable: Option<Unmeetable>,
}

impl From<ErrorKind> for RefusalReason {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            unmeetable: None,
        }
    }
}

impl From<Unmeetable> for RefusalReason {
    fn from(unmeetable: Unmeetable) -> Self {
        Self {
            kind: ErrorKind::DeadlineUnmeetable,
            unmeetable: Some(unmeetable),
        }
    }
}

/// Granted request that has not ended.
#[derive(Debug)]
pub(super) struct ActiveGrant {
    pub(super) submission: SubmissionNumber,
    pub(super) began: bool,
    /// Set once the grant has been passed on to the entry daemon.
    pub(super) is_delivered: bool,
    /// Prefill tokens outstanding at the target after the grant, including its own.
    pub(super) prefill_ahead: u64,
    pub(super) counter_key: Option<CounterKey>,
    pub(super) entry: Entry,
    pub(super) has_unique_number: bool,
    /// Completion time that was checked against the deadline.
    pub(super) expected: Duration,
    pub(super) granted: Instant,
    /// Tokens that still count as outstanding at the target.
    pub(super) remaining_work: Work,
    pub(super) long_prefill: bool,
    /// Tokens of the answer that earlier targets generated.
    pub(super) partial_tokens: u32,
    pub(super) max_tokens: u32,
    /// Prefix digests of a prompt whose prefill hasn't finished.
    pub(super) inflight: Vec<u64>,
    /// Set if the request tries a target after a pause that it asked for.
    pub(super) pushback_trial: bool,
    pub(super) target: TargetInstance,
    pub(super) tokens: u64,
    /// Set if the request is a trial of an unresponsive target.
    pub(super) trial: bool,
}

/// State of a dispatcher.
pub(super) struct State {
    pub(super) affinity: Affinity,
    pub(super) capacity: Capacity,
    /// Average fraction of a prompt that misses the cache and has to be computed.
    pub(super) cache_miss_ratio: f64,
    pub(super) cfg: Config,
    pub(super) drain: DrainRate,
    pub(super) ended: EndedSubmissions,
    pub(super) handover: Option<Handover>,
    /// Average fraction of `max_tokens` that answers use.
    pub(super) length_ratio: LengthRatio,
    pub(super) limits: Limits,
    pub(super) next_waiter: WaiterId,
    /// When the dispatcher was last known to be running; `None` until its checks run.
    pub(super) observed_at: Option<Instant>,
    /// Incremented by every event that may have freed capacity.
    pub(super) capacity_epoch: u64,
    /// Prefixes whose prefill is in progress.
    pub(super) inflight: InflightPrefixes,
    pub(super) queue: Queue,
    pub(super) active_grants: IndexMap<RequestId, ActiveGrant>,
    pub(super) sharing: Sharing,
    pub(super) targets: IndexMap<TargetInstance, Target>,
    /// Tiers that use the pool.
    pub(super) tiers: Tiers,
    /// Sequence number of the last grant.
    pub(super) grant_sequence: u64,
    pub(super) waiting: IndexMap<RequestId, Waiting>,
    /// Outcomes of recent waits, by tier.
    pub(super) wait_outcomes: WaitOutcomes,
}

impl State {
    pub(super) fn new(cfg: Config, now: Instant) -> Self {
        Self {
            affinity: Affinity::default(),
            capacity: Capacity::default(),
            cache_miss_ratio: 1.0,
            drain: DrainRate::new(jitter_seed(&cfg), now),
            cfg,
            ended: EndedSubmissions::default(),
            handover: None,
            length_ratio: LengthRatio::default(),
            limits: Limits::default(),
            next_waiter: 0,
            observed_at: None,
            capacity_epoch: 0,
            inflight: InflightPrefixes::default(),
            queue: Queue::default(),
            active_grants: IndexMap::new(),
            sharing: Sharing::default(),
            targets: IndexMap::new(),
            tiers: Tiers::default(),
            grant_sequence: 0,
            waiting: IndexMap::new(),
            wait_outcomes: WaitOutcomes::default(),
        }
    }

    /// Adds a submission to the queue.
    pub(super) fn enqueue(
        &mut self,
        submission: Submission,
        counter_key: Option<CounterKey>,
        now: Instant,
    ) {
        let deadline = submission.deadline.and_then(|left| now.checked_add(left));
        let until = self.waits_until(&submission, now);
        self.queue.push(Item {
            customer: submission.customer.clone(),
            request_class: request_class(&submission),
            request: submission.request.clone(),
            priority: submission.priority(),
            until,
            weight: submission.weight,
            work: work(&submission),
        });
        let waiting = Waiting {
            submission,
            counter_key,
            deadline,
            delayed: Cell::default(),
            waiter: None,
        };
        self.waiting
            .insert(waiting.submission.request.clone(), waiting);
    }

    /// Time until which a submission that comes now waits in the queue; `None` if without limit.
    pub(super) fn waits_until(&self, submission: &Submission, now: Instant) -> Option<Instant> {
        let limits = [submission.deadline, submission.wait_at_most];
        let limits = limits.into_iter().flatten();
        let limits = limits.filter_map(|wait| now.checked_add(wait));
        limits.chain(self.queue_deadline(submission, now)).min()
    }

    /// Removes a waiting submission and refuses it.
    pub(super) fn refuse(
        &mut self,
        request: &str,
        reason: impl Into<RefusalReason>,
        retry: Option<Duration>,
    ) {
        self.queue.remove(request);
        let Some(waiting) = self.waiting.swap_remove(request) else {
            return;
        };
        let reason = reason.into();
        if reason.unmeetable.is_some() {
            self.record_outcome(&waiting.submission, false);
        }
        if let Some(counter_key) = &waiting.counter_key {
            self.limits.release(counter_key);
        }
        if let Some(waiter) = waiting.waiter {
            // The receiver may have been dropped; the verdict is not needed then.
            let _ = waiter.tx.send(refuse(&waiting.submission, reason, retry));
        }
    }

    /// Requirements of a waiting submission.
    pub(super) fn needs_of<'a>(&'a self, waiting: &'a Waiting, now: Instant) -> Requirements<'a> {
        let left = |until: Instant| until.saturating_duration_since(now);
        self.needs(&waiting.submission, waiting.deadline.map(left))
    }

    /// Requirements of a submission with this time left until its deadline.
    pub(super) fn needs<'a>(
        &'a self,
        submission: &'a Submission,
        left: Option<Duration>,
    ) -> Requirements<'a> {
        let whole = work(submission);
        Requirements {
            block_tokens: self.cfg.block_tokens,
            certainty: self.length_ratio.certainty(),
            data_centre: &self.cfg.data_centre,
            finish_within: finish_within(submission, left),
            exclusions: &submission.exclusions,
            request_class: request_class(submission),
            objective: submission.objective,
            prefix: &submission.prefix,
            priority: submission.priority(),
            tier: submission.tier,
            reservation: self.reservation(submission),
            tiers_before: self.tiers.count_before(submission.tier),
            versions: submission.version_needs(),
            work: Work {
                decode: self.expected_decode(submission),
                prefill: whole.prefill,
            },
        }
    }

    fn reservation(&self, submission: &Submission) -> Reservation {
        let objectives = self.tiers.objectives_before(submission.tier);
        let reservation = Reservation::new(objectives, self.tiers.is_served_least(submission.tier));
        // A resumed answer frees a slot elsewhere.
        match submission.partial {
            Some(_) => reservation.without_last(),
            None => reservation,
        }
    }

    /// Records whether a submission was granted. Resumed answers are not counted again.
    pub(super) fn record_outcome(&mut self, submission: &Submission, served: bool) {
        if submission.partial.is_none() {
            self.tiers.record_outcome(submission.tier, served);
        }
    }

    /// Expected number of tokens that a target generates for the submission.
    fn expected_decode(&self, submission: &Submission) -> u64 {
        let typical = f64::from(submission.max_tokens) * self.length_ratio.mean();
        match submission.partial {
            None => typical as u64,
            Some(partial) => {
                let likely = u64::from(stream_progress::expected_remaining_tokens(partial.tokens));
                let typical = (typical as u64).saturating_sub(partial.tokens.into());
                likely.max(typical).min(work(submission).decode)
            }
        }
    }

    /// Sets the cell's shares of the advertised rate limits.
    pub(super) fn set_rate_limits(
        &mut self,
        shares: &IndexMap<InstanceDigest, Share>,
        now: Instant,
    ) {
        for target in self.targets.values_mut() {
            target.set_rate_limit(shares.get(&target.digest).copied(), now);
        }
        self.note_capacity_change();
        self.dispatch(now);
    }

    /// Grants nothing on a target for this time.
    pub(super) fn hold(&mut self, target: &TargetInstance, pause: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(target) {
            target.hold(now + pause);
        }
    }

    /// Returns `true` if this submission of a request is granted and has not ended.
    pub(super) fn is_granted(&self, request: &str, submission: SubmissionNumber) -> bool {
        let active_grant = self.active_grants.get(request);
        active_grant.is_some_and(|active_grant| active_grant.submission == submission)
    }

    /// Notes that a grant is passed on. Returns `true` the first time.
    pub(super) fn note_delivery(&mut self, request: &str, submission: SubmissionNumber) -> bool {
        match self.active_grants.get_mut(request) {
            Some(grant) if grant.submission == submission => {
                !std::mem::replace(&mut grant.is_delivered, true)
            }
            _ => false,
        }
    }

    /// Returns the current grant of a request as a verdict.
    pub(super) fn grant_verdict(&self, request: &str, submission: SubmissionNumber) -> Verdict {
        let active_grant = &self.active_grants[request];
        Verdict::Grant(Grant {
            submission,
            dispatcher: self.cfg.vm.clone(),
            dispatcher_incarnation: self.cfg.incarnation,
            expected: Some(active_grant.expected),
            request: request.to_owned(),
            target: active_grant.target.clone(),
        })
    }
}

/// Seed of the retry jitter. It differs per daemon and incarnation, so that daemons that refuse the
/// same burst spread its retries.
fn jitter_seed(cfg: &Config) -> u64 {
    xxh3::xxh3_64_with_seed(cfg.vm.as_bytes(), cfg.incarnation)
}

/// Time within which a target must finish a partial answer: before its deadline, and clearly before
/// the target that currently generates it.
fn finish_within(submission: &Submission, left: Option<Duration>) -> Option<Duration> {
    let partial = submission.partial?;
    let migration_limit = partial
        .remaining
        .map(|remaining| remaining.mul_f64(MIGRATION_TIME_RATIO));
    left.into_iter().chain(migration_limit).min()
}

/// Length of a submission in tokens; a request to a plain service counts as one token. A partial
/// answer is prefilled like the prompt.
pub(super) fn work(submission: &Submission) -> Work {
    let partial = submission.partial.map_or(0, |partial| partial.tokens);
    Work {
        decode: u64::from(submission.max_tokens.saturating_sub(partial)),
        prefill: u64::from(submission.prompt_tokens.saturating_add(partial).max(1)),
    }
}

fn request_class(submission: &Submission) -> RequestClass {
    if submission.is_resumed() {
        RequestClass::Resumed
    } else if !submission.exclusions.is_empty() || submission.is_confined() {
        RequestClass::Excluding
    } else if u64::from(submission.prompt_tokens) > choice::LONG_PROMPT_TOKENS {
        RequestClass::Long
    } else {
        RequestClass::Short
    }
}

pub(super) fn refusal_of(
    submission: &Submission,
    reason: impl Into<RefusalReason>,
    retry_after: Option<Duration>,
) -> Refuse {
    let reason = reason.into();
    Refuse {
        submission: submission.submission,
        kind: reason.kind,
        request: submission.request.clone(),
        retry_after,
        unmeetable: reason.unmeetable,
    }
}

pub(super) fn refuse(
    submission: &Submission,
    reason: impl Into<RefusalReason>,
    retry_after: Option<Duration>,
) -> Verdict {
    Verdict::Refuse(refusal_of(submission, reason, retry_after))
}
