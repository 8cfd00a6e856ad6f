//! What a dispatcher knows of its pool.

use std::cell::Cell;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::Config;
use super::affinity::Affinity;
use super::choice::{self, Wanted};
use super::deadline::Capacity;
use super::delay::Delay;
use super::limits::{Counted, Limits};
use super::message::{Ask, AskNumber, Entry, Grant, Refuse, Unmeetable, Verdict};
use super::pending::Pending;
use super::queue::{Item, Lane, Queue, Standing};
use super::rate_limit::Share;
use super::recovery::Handover;
use super::reservation::Reservation;
use super::sharing::Sharing;
use super::shedding::DrainRate;
use super::target::Target;
use super::tiers::Tiers;
use super::waits::Waits;
use super::work::Work;
use crate::error_kind::ErrorKind;
use crate::ids::RequestId;
use crate::stream_progress;
use crate::target_instance::{InstanceDigest, TargetInstance};

/// Part of the time that an answer still takes at its target within which another one has to finish it: a
/// migration reads the prompt and the partial answer once more.
const MIGRATION_GAIN: f64 = 0.6;
/// Part of `max_tokens` that answers are assumed to use before any has ended.
const ASSUMED_LENGTH: f64 = 0.5;

/// Names one waiting call, so that a call that ends late doesn't take back its successor's ask.
pub(super) type WaiterId = u64;

/// The call that waits for a verdict.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: WaiterId,
    pub(super) tx: oneshot::Sender<Verdict>,
}

/// An ask without a verdict.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    pub(super) counted: Option<Counted>,
    pub(super) deadline: Option<Instant>,
    /// Its wait for a holder of its prefix.
    pub(super) delayed: Cell<Option<Delay>>,
    pub(super) waiter: Option<Waiter>,
}

/// Why an ask is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reason {
    kind: ErrorKind,
    unmeetable: Option<Unmeetable>,
}

impl From<ErrorKind> for Reason {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            unmeetable: None,
        }
    }
}

impl From<Unmeetable> for Reason {
    fn from(unmeetable: Unmeetable) -> Self {
        Self {
            kind: ErrorKind::DeadlineUnmeetable,
            unmeetable: Some(unmeetable),
        }
    }
}

/// A granted request.
#[derive(Debug)]
pub(super) struct HeldGrant {
    pub(super) ask: AskNumber,
    pub(super) began: bool,
    /// Prefill outstanding at the target when this was granted, its own included.
    pub(super) before: u64,
    pub(super) counted: Option<Counted>,
    pub(super) entry: Entry,
    /// Time to the whole answer by which it was judged.
    pub(super) expected: Duration,
    pub(super) granted: Instant,
    /// What of it counts as outstanding at the target.
    pub(super) left: Work,
    pub(super) long: bool,
    /// Tokens of its answer that earlier targets generated.
    pub(super) partial_tokens: u32,
    pub(super) max_tokens: u32,
    /// Digests of a prompt that the target still reads.
    pub(super) pending: Vec<u64>,
    pub(super) target: TargetInstance,
    pub(super) tokens: u64,
    /// Whether it tries a target that was silent.
    pub(super) trial: bool,
}

/// All soft state of a dispatcher.
pub(super) struct State {
    pub(super) affinity: Affinity,
    pub(super) capacity: Capacity,
    /// Part of a prompt that has to be computed, the rest being in the cache.
    pub(super) computed: f64,
    pub(super) cfg: Config,
    pub(super) drain: DrainRate,
    pub(super) handover: Option<Handover>,
    /// Part of `max_tokens` that answers use.
    pub(super) length: f64,
    pub(super) limits: Limits,
    pub(super) next_waiter: WaiterId,
    /// Counts the events by which room may have come free.
    pub(super) openings: u64,
    /// Prefixes on their way into caches.
    pub(super) pending: Pending,
    pub(super) queue: Queue,
    pub(super) reservations: IndexMap<RequestId, HeldGrant>,
    pub(super) sharing: Sharing,
    pub(super) targets: IndexMap<TargetInstance, Target>,
    /// Tiers that use the pool.
    pub(super) tiers: Tiers,
    /// Grants so far.
    pub(super) turn: u64,
    pub(super) waiting: IndexMap<RequestId, Waiting>,
    /// What became of asks that waited.
    pub(super) waits: Waits,
}

impl State {
    pub(super) fn new(cfg: Config, now: Instant) -> Self {
        Self {
            affinity: Affinity::default(),
            capacity: Capacity::default(),
            computed: 1.0,
            drain: DrainRate::new(jitter_seed(&cfg), now),
            cfg,
            handover: None,
            length: ASSUMED_LENGTH,
            limits: Limits::default(),
            next_waiter: 0,
            openings: 0,
            pending: Pending::default(),
            queue: Queue::default(),
            reservations: IndexMap::new(),
            sharing: Sharing::default(),
            targets: IndexMap::new(),
            tiers: Tiers::default(),
            turn: 0,
            waiting: IndexMap::new(),
            waits: Waits::default(),
        }
    }

    /// Puts an ask into the queue.
    pub(super) fn enqueue(&mut self, ask: Ask, counted: Option<Counted>, now: Instant) {
        let deadline = ask.deadline.and_then(|left| now.checked_add(left));
        let longest = ask.wait_at_most.and_then(|wait| now.checked_add(wait));
        let patience = self.patience(&ask, now);
        self.queue.push(Item {
            customer: ask.customer.clone(),
            lane: lane(&ask),
            request: ask.request.clone(),
            standing: standing(&ask),
            until: [deadline, longest, patience].into_iter().flatten().min(),
            weight: ask.weight,
            work: work(&ask),
        });
        let waiting = Waiting {
            ask,
            counted,
            deadline,
            delayed: Cell::default(),
            waiter: None,
        };
        self.waiting.insert(waiting.ask.request.clone(), waiting);
    }

    /// Ends a waiting ask with a refusal.
    pub(super) fn refuse(
        &mut self,
        request: &str,
        reason: impl Into<Reason>,
        retry: Option<Duration>,
    ) {
        self.queue.remove(request);
        let Some(waiting) = self.waiting.swap_remove(request) else {
            return;
        };
        let reason = reason.into();
        if reason.unmeetable.is_some() {
            self.note_end(&waiting.ask, false);
        }
        if let Some(counted) = &waiting.counted {
            self.limits.release(counted);
        }
        if let Some(waiter) = waiting.waiter {
            // A receiver that is gone has no use for the verdict.
            let _ = waiter.tx.send(refuse(&waiting.ask, reason, retry));
        }
    }

    /// What the choice needs to know of a waiting ask.
    pub(super) fn wanted_by<'a>(&'a self, waiting: &'a Waiting, now: Instant) -> Wanted<'a> {
        let left = |until: Instant| until.saturating_duration_since(now);
        self.wanted(&waiting.ask, waiting.deadline.map(left))
    }

    /// What the choice needs to know of an ask that has so much time left.
    pub(super) fn wanted<'a>(&'a self, ask: &'a Ask, left: Option<Duration>) -> Wanted<'a> {
        let whole = work(ask);
        Wanted {
            block_tokens: self.cfg.block_tokens,
            data_centre: &self.cfg.data_centre,
            finish_within: finish_within(ask, left),
            exclusions: &ask.exclusions,
            lane: lane(ask),
            objective: ask.objective,
            prefix: &ask.prefix,
            standing: standing(ask),
            tier: ask.tier,
            reservation: self.reservation(ask),
            tiers_before: self.tiers.before(ask.tier),
            work: Work {
                decode: self.expected_decode(ask),
                prefill: whole.prefill,
            },
        }
    }

    fn reservation(&self, ask: &Ask) -> Reservation {
        let objectives = self.tiers.objectives_before(ask.tier);
        let reservation = Reservation::new(objectives, self.tiers.is_served_least(ask.tier));
        // A resumed answer gives up a slot elsewhere.
        match ask.partial {
            Some(_) => reservation.without_last(),
            None => reservation,
        }
    }

    /// Notes whether an ask got a target. Resumed answers had one before.
    pub(super) fn note_end(&mut self, ask: &Ask, served: bool) {
        if ask.partial.is_none() {
            self.tiers.note_end(ask.tier, served);
        }
    }

    /// Tokens that a target is expected to generate for the ask.
    fn expected_decode(&self, ask: &Ask) -> u64 {
        let usual = f64::from(ask.max_tokens) * self.length;
        match ask.partial {
            None => usual as u64,
            Some(partial) => {
                let likely = u64::from(stream_progress::expected_remaining_tokens(partial.tokens));
                let usual = (usual as u64).saturating_sub(partial.tokens.into());
                likely.max(usual).min(work(ask).decode)
            }
        }
    }

    /// Sets the cell's shares of advertised rates.
    pub(super) fn set_rate_limits(
        &mut self,
        shares: &IndexMap<InstanceDigest, Share>,
        now: Instant,
    ) {
        for target in self.targets.values_mut() {
            target.set_rate_limit(shares.get(&target.digest).copied(), now);
        }
        self.note_opening();
        self.dispatch(now);
    }

    /// The grant that this request holds.
    pub(super) fn granted(&self, request: &str, ask: AskNumber) -> Verdict {
        let held = &self.reservations[request];
        Verdict::Grant(Grant {
            ask,
            dispatcher: self.cfg.vm.clone(),
            dispatcher_incarnation: self.cfg.incarnation,
            expected: Some(held.expected),
            request: request.to_owned(),
            target: held.target.clone(),
        })
    }
}

/// Seed of this life of this daemon, so that daemons that refuse the same burst spread its return.
fn jitter_seed(cfg: &Config) -> u64 {
    xxh3::xxh3_64_with_seed(cfg.vm.as_bytes(), cfg.incarnation)
}

/// Time in which a target has to finish a partial answer: by its deadline, and clearly sooner than the
/// target that generates it.
fn finish_within(ask: &Ask, left: Option<Duration>) -> Option<Duration> {
    let partial = ask.partial?;
    let sooner = partial
        .remaining
        .map(|remaining| remaining.mul_f64(MIGRATION_GAIN));
    left.into_iter().chain(sooner).min()
}

/// Length of an ask; a plain service's request counts as one token. A partial answer is read like the
/// prompt.
pub(super) fn work(ask: &Ask) -> Work {
    let partial = ask.partial.map_or(0, |partial| partial.tokens);
    Work {
        decode: u64::from(ask.max_tokens.saturating_sub(partial)),
        prefill: u64::from(ask.prompt_tokens.saturating_add(partial).max(1)),
    }
}

pub(super) fn standing(ask: &Ask) -> Standing {
    Standing {
        rank: ask.rank,
        tier: ask.tier,
    }
}

fn lane(ask: &Ask) -> Lane {
    if ask.partial.is_some() {
        Lane::Resumed
    } else if !ask.exclusions.is_empty() {
        Lane::Excluding
    } else if u64::from(ask.prompt_tokens) > choice::LONG_PROMPT {
        Lane::Long
    } else {
        Lane::Short
    }
}

pub(super) fn refusal_of(
    ask: &Ask,
    reason: impl Into<Reason>,
    retry_after: Option<Duration>,
) -> Refuse {
    let reason = reason.into();
    Refuse {
        ask: ask.ask,
        kind: reason.kind,
        request: ask.request.clone(),
        retry_after,
        unmeetable: reason.unmeetable,
    }
}

pub(super) fn refuse(
    ask: &Ask,
    reason: impl Into<Reason>,
    retry_after: Option<Duration>,
) -> Verdict {
    Verdict::Refuse(refusal_of(ask, reason, retry_after))
}
