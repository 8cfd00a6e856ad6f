//! What a dispatcher knows of its pool, and the admission of asks.

use std::cell::Cell;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use indexmap::IndexMap;

use super::affinity::Affinity;
use super::choice::{self, Wanted};
use super::deadline::Capacity;
use super::delay::Delay;
use super::limits::{self, Counted, Limits};
use super::message::{Ask, AskNumber, Entry, Grant, Refuse, Verdict};
use super::queue::{Item, Lane, Queue};
use super::recovery::Handover;
use super::shedding::DrainRate;
use super::target::Target;
use super::work::Work;
use super::{Config, affinity};
use crate::error_kind::ErrorKind;
use crate::ids::{RequestId, TargetId};

/// Part of `max_tokens` that answers are assumed to use before any has ended.
const ASSUMED_LENGTH: f64 = 0.5;
/// Most exclusions of one ask that are kept.
const EXCLUSIONS_LIMIT: usize = 32;

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

/// A granted request.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) ask: AskNumber,
    pub(super) began: bool,
    /// Prefill outstanding at the target when this was granted, its own included.
    pub(super) before: u64,
    pub(super) counted: Option<Counted>,
    pub(super) entry: Entry,
    pub(super) granted: Instant,
    /// What of it counts as outstanding at the target.
    pub(super) left: Work,
    pub(super) long: bool,
    pub(super) max_tokens: u32,
    pub(super) target: TargetId,
    pub(super) tokens: u64,
    /// Whether it tries a target that was silent.
    pub(super) trial: bool,
}

/// Result of an ask.
pub(super) enum Admission {
    Decided(Verdict),
    Waits(WaiterId, oneshot::Receiver<Verdict>),
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
    pub(super) queue: Queue,
    pub(super) reservations: IndexMap<RequestId, Reservation>,
    pub(super) targets: IndexMap<TargetId, Target>,
    pub(super) waiting: IndexMap<RequestId, Waiting>,
}

impl State {
    pub(super) fn new(cfg: Config, now: Instant) -> Self {
        Self {
            affinity: Affinity::default(),
            capacity: Capacity::default(),
            computed: 1.0,
            cfg,
            drain: DrainRate::new(now),
            handover: None,
            length: ASSUMED_LENGTH,
            limits: Limits::default(),
            next_waiter: 0,
            openings: 0,
            queue: Queue::default(),
            reservations: IndexMap::new(),
            targets: IndexMap::new(),
            waiting: IndexMap::new(),
        }
    }

    /// Takes in an ask and decides what can be decided at once.
    pub(super) fn ask(&mut self, mut ask: Ask, now: Instant) -> Admission {
        ask.exclusions.truncate(EXCLUSIONS_LIMIT);
        ask.prefix.truncate(affinity::DIGESTS_LIMIT);
        let waiting = self
            .waiting
            .get(&ask.request)
            .map(|waiting| waiting.ask.ask);
        let granted = self.reservations.get(&ask.request).map(|held| held.ask);
        let newest = waiting.max(granted);
        if newest > Some(ask.ask) {
            return Admission::Decided(refuse(&ask, ErrorKind::Cancelled, None));
        }
        if waiting == Some(ask.ask) {
            return self.attach(&ask.request);
        }
        if granted == Some(ask.ask) {
            return Admission::Decided(self.granted(&ask.request, ask.ask));
        }
        let counted = self.supersede(&ask.request, now);
        match self.admit(&ask, counted, now) {
            Ok(counted) => {
                let request = ask.request.clone();
                self.enqueue(ask, counted, now);
                let admission = self.attach(&request);
                // What finds an open target costs no place in the queue.
                self.dispatch(now);
                self.shed(now);
                admission
            }
            Err(refusal) => Admission::Decided(Verdict::Refuse(refusal)),
        }
    }

    /// Puts an ask into the queue.
    pub(super) fn enqueue(&mut self, ask: Ask, counted: Option<Counted>, now: Instant) {
        let deadline = ask.deadline.and_then(|left| now.checked_add(left));
        let patience = ask.wait_at_most.and_then(|wait| now.checked_add(wait));
        self.queue.push(Item {
            customer: ask.customer.clone(),
            lane: lane(&ask),
            request: ask.request.clone(),
            tier: ask.tier,
            until: deadline.into_iter().chain(patience).min(),
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

    /// Takes back an ask, waiting or granted, and those before it.
    pub(super) fn cancel(&mut self, request: &str, ask: AskNumber, now: Instant) {
        if self.waiting.get(request).is_some_and(|w| w.ask.ask <= ask) {
            self.refuse(request, ErrorKind::Cancelled, None);
        }
        if self.reservations.get(request).is_some_and(|r| r.ask <= ask) {
            self.release(request, now);
        }
        self.dispatch(now);
    }

    /// The call of a waiter has ended before it had its verdict.
    pub(super) fn abandon(&mut self, request: &str, waiter: WaiterId, now: Instant) {
        let waiting = self.waiting.get(request);
        let current = waiting.and_then(|waiting| waiting.waiter.as_ref());
        if current.is_some_and(|current| current.id == waiter) {
            self.refuse(request, ErrorKind::Cancelled, None);
            self.dispatch(now);
        }
    }

    /// Ends a waiting ask with a refusal.
    pub(super) fn refuse(&mut self, request: &str, kind: ErrorKind, retry: Option<Duration>) {
        self.queue.remove(request);
        let Some(waiting) = self.waiting.swap_remove(request) else {
            return;
        };
        if let Some(counted) = &waiting.counted {
            self.limits.release(counted);
        }
        if let Some(waiter) = waiting.waiter {
            // A receiver that is gone has no use for the verdict.
            let _ = waiter.tx.send(refuse(&waiting.ask, kind, retry));
        }
    }

    /// Refuses what is too late.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(request) = self.queue.expired(now).cloned() {
            let retry = self.retry_after(&request, now);
            self.refuse(&request, ErrorKind::DeadlineUnmeetable, Some(retry));
        }
    }

    /// Refuses all that waits.
    pub(super) fn refuse_all(&mut self, kind: ErrorKind, now: Instant) {
        let requests: Vec<RequestId> = self.queue.requests().cloned().collect();
        for request in requests {
            let retry = self.drain.retry_after(0, 0.0, now);
            self.refuse(&request, kind, Some(retry));
        }
    }

    /// What the choice needs to know of an ask.
    pub(super) fn wanted<'a>(&self, ask: &'a Ask) -> Wanted<'a> {
        let whole = work(ask);
        Wanted {
            block_tokens: self.cfg.block_tokens,
            exclusions: &ask.exclusions,
            lane: lane(ask),
            prefix: &ask.prefix,
            tier: ask.tier,
            work: Work {
                decode: (whole.decode as f64 * self.length) as u64,
                prefill: whole.prefill,
            },
        }
    }

    /// The grant that this request holds.
    pub(super) fn granted(&self, request: &str, ask: AskNumber) -> Verdict {
        Verdict::Grant(Grant {
            ask,
            dispatcher: self.cfg.vm.clone(),
            dispatcher_incarnation: self.cfg.incarnation,
            request: request.to_owned(),
            target: self.reservations[request].target.clone(),
        })
    }

    fn attach(&mut self, request: &str) -> Admission {
        let (tx, rx) = oneshot::channel();
        let id = self.next_waiter;
        self.next_waiter += 1;
        if let Some(waiting) = self.waiting.get_mut(request) {
            let earlier = waiting.waiter.replace(Waiter { id, tx });
            if let Some(earlier) = earlier {
                let _ = earlier
                    .tx
                    .send(refuse(&waiting.ask, ErrorKind::Cancelled, None));
            }
        }
        Admission::Waits(id, rx)
    }

    /// Ends the earlier ask of a request and keeps its place under the limits.
    fn supersede(&mut self, request: &str, now: Instant) -> Option<Counted> {
        let counted = match self.waiting.get_mut(request) {
            Some(waiting) => waiting.counted.take(),
            None => self.reservations.get_mut(request)?.counted.take(),
        };
        self.refuse(request, ErrorKind::Cancelled, None);
        self.release(request, now);
        counted
    }

    fn admit(
        &mut self,
        ask: &Ask,
        counted: Option<Counted>,
        now: Instant,
    ) -> Result<Option<Counted>, Refuse> {
        let refusal = self.judge(ask, now);
        if let Some(refusal) = refusal {
            if let Some(counted) = counted {
                self.limits.release(&counted);
            }
            return Err(refusal);
        }
        if counted.is_some() {
            return Ok(counted);
        }
        self.limits.take(ask, now).map_err(|err| {
            let limits::Error::Reached { retry_after } = err;
            refusal_of(ask, ErrorKind::RateLimited, Some(retry_after))
        })
    }

    fn judge(&mut self, ask: &Ask, now: Instant) -> Option<Refuse> {
        if self.handover.is_some() {
            let full = self.queue.len() >= 2 * self.cfg.waiting_limit;
            let retry = Some(self.drain.retry_after(0, 0.0, now));
            return full.then(|| refusal_of(ask, ErrorKind::NotReady, retry));
        }
        let mut live = self.targets.values().filter(|target| target.live);
        if live.all(|target| ask.exclusions.contains(&target.id)) {
            let retry = Some(self.drain.retry_after(0, 0.0, now));
            return Some(refusal_of(ask, ErrorKind::NoTarget, retry));
        }
        self.is_hopeless(ask, now).then(|| {
            let ahead = self.queue.ahead(ask.tier, &ask.customer, ask.weight);
            let retry = self.retry_behind(ahead, now);
            refusal_of(ask, ErrorKind::DeadlineUnmeetable, Some(retry))
        })
    }

    /// Sheds from the lowest tier until the queue is within its limit. During a handover other
    /// entries may yet bring lower work, so only the lowest tier of all is shed.
    pub(super) fn shed(&mut self, now: Instant) {
        while self.queue.len() > self.cfg.waiting_limit {
            let Some(victim) = self.queue.victim() else {
                return;
            };
            if self.handover.is_some() && victim.tier < self.cfg.lowest_tier {
                return;
            }
            let request = victim.request.clone();
            let retry = self.retry_after(&request, now);
            self.refuse(&request, ErrorKind::Overloaded, Some(retry));
        }
    }

    fn retry_after(&mut self, request: &str, now: Instant) -> Duration {
        let item = self.queue.get(request);
        let ahead = item.map_or(Work::default(), |item| {
            self.queue.ahead(item.tier, &item.customer, item.weight)
        });
        self.retry_behind(ahead, now)
    }

    fn retry_behind(&mut self, ahead: Work, now: Instant) -> Duration {
        self.refresh_capacity(now);
        let modelled = self.wait(ahead);
        self.drain.retry_after(ahead.tokens(), modelled, now)
    }
}

/// Length of an ask; a plain service's request counts as one token.
pub(super) fn work(ask: &Ask) -> Work {
    Work {
        decode: u64::from(ask.max_tokens),
        prefill: u64::from(ask.prompt_tokens.max(1)),
    }
}

fn lane(ask: &Ask) -> Lane {
    if !ask.exclusions.is_empty() {
        Lane::Excluding
    } else if u64::from(ask.prompt_tokens) > choice::LONG_PROMPT {
        Lane::Long
    } else {
        Lane::Short
    }
}

fn refusal_of(ask: &Ask, kind: ErrorKind, retry_after: Option<Duration>) -> Refuse {
    Refuse {
        ask: ask.ask,
        kind,
        request: ask.request.clone(),
        retry_after,
    }
}

fn refuse(ask: &Ask, kind: ErrorKind, retry_after: Option<Duration>) -> Verdict {
    Verdict::Refuse(refusal_of(ask, kind, retry_after))
}
