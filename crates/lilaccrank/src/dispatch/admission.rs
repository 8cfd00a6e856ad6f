//! Admission of asks: what is decided at once, and what waits.

use std::time::Instant;

use futures::channel::oneshot;

use super::choice::{self, Room};
use super::limits::{self, Counted};
use super::message::{Ask, AskNumber, Refuse, Unmeetable, Verdict};
use super::state::{self, State, Waiter, WaiterId};
use crate::error_kind::ErrorKind;
use crate::prompt;

/// Most exclusions of one ask that are kept.
const EXCLUSIONS_LIMIT: usize = 32;

/// Result of an ask.
pub(super) enum Admission {
    Decided(Verdict),
    Waits(WaiterId, oneshot::Receiver<Verdict>),
}

impl State {
    /// Takes in an ask and decides what can be decided at once.
    pub(super) fn ask(&mut self, mut ask: Ask, now: Instant) -> Admission {
        ask.exclusions.truncate(EXCLUSIONS_LIMIT);
        self.tiers.note(ask.tier, ask.objective, now);
        ask.prefix.truncate(prompt::MAX_BLOCKS);
        let waiting = self
            .waiting
            .get(&ask.request)
            .map(|waiting| waiting.ask.ask);
        let granted = self.reservations.get(&ask.request).map(|held| held.ask);
        let newest = waiting.max(granted);
        if newest > Some(ask.ask) {
            return Admission::Decided(state::refuse(&ask, ErrorKind::Cancelled, None));
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

    fn attach(&mut self, request: &str) -> Admission {
        let (tx, rx) = oneshot::channel();
        let id = self.next_waiter;
        self.next_waiter += 1;
        if let Some(waiting) = self.waiting.get_mut(request) {
            let earlier = waiting.waiter.replace(Waiter { id, tx });
            if let Some(earlier) = earlier {
                let _ = earlier
                    .tx
                    .send(state::refuse(&waiting.ask, ErrorKind::Cancelled, None));
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
            state::refusal_of(ask, ErrorKind::RateLimited, Some(retry_after))
        })
    }

    /// Whether an ask with an objective would most likely wait for nothing: see [`super::waits`].
    /// Those of the first tier always wait, since whatever comes free is theirs.
    fn waits_in_vain(&self, ask: &Ask, now: Instant) -> bool {
        if ask.objective.is_none() || ask.partial.is_some() || self.tiers.before(ask.tier) == 0 {
            return false;
        }
        if !self.waits.are_vain(ask.tier, now) {
            return false;
        }
        let one_waits = self
            .queue
            .standings()
            .any(|standing| standing.tier == ask.tier);
        let wanted = self.wanted(ask, ask.deadline);
        one_waits && !choice::any_open(&self.targets, &wanted, Room::of(&self.targets, now), now)
    }

    fn judge(&mut self, ask: &Ask, now: Instant) -> Option<Refuse> {
        if self.handover.is_some() {
            return None;
        }
        let mut live = self.targets.values().filter(|target| target.live);
        if live.all(|target| ask.exclusions.contains(&target.life)) {
            let retry = Some(self.drain.retry_after(0, 0.0, now));
            return Some(state::refusal_of(ask, ErrorKind::NoTarget, retry));
        }
        let unmeetable = if self.is_hopeless(ask, now) {
            Unmeetable::Hopeless
        } else if self.waits_in_vain(ask, now) {
            Unmeetable::WaitsInVain
        } else {
            return None;
        };
        self.note_end(ask, false);
        let standing = state::standing(ask);
        let ahead = self.queue.ahead(standing, &ask.customer, ask.weight);
        let retry = self.retry_behind(ahead, now);
        Some(state::refusal_of(ask, unmeetable, Some(retry)))
    }
}
