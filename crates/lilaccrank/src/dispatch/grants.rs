//! Grants: which ask goes next, and where.

use std::time::{Duration, Instant};

use super::choice::{self, Choice, Room};
use super::delay::DELAY_SCAN;
use super::fair::Place;
use super::message::{Entry, Unmeetable};
use super::queue::{Lane, Standing};
use super::state::{HeldGrant, State, Waiting, work};
use super::work::Work;
use crate::ids::RequestId;

/// Weight of a new sample in the part of prompts that has to be computed.
const COMPUTED_GAIN: f64 = 0.05;
/// Asks that are tried in a lane in which each may find other targets open.
const EACH_SCAN: usize = 32;
/// A grant lapses if nothing is heard of it for this long: the entry is gone or never had it.
/// It may still be used; the target then has one request more than counted, and no request
/// runs twice, since the entry owns that decision.
const GRANT_LIFE: Duration = Duration::from_secs(10);

impl State {
    /// Grants in order until no waiting ask finds an open target.
    pub(super) fn dispatch(&mut self, now: Instant) {
        if self.handover.is_some() {
            return;
        }
        self.expire(now);
        while !self.queue.is_empty() {
            let room = Room::of(&self.targets, now);
            let Some(request) = self.next(room, now) else {
                return;
            };
            let wanted = self.wanted_by(&self.waiting[&request], now);
            let choice = choice::choose(&self.targets, &self.affinity, &wanted, room, now);
            let Some(choice) = choice else {
                return;
            };
            self.settle(&request, choice, now);
        }
    }

    /// Releases grants of which nothing was heard.
    pub(super) fn lapse(&mut self, now: Instant) {
        let lapsed = self.reservations.iter().filter(|(_, held)| {
            !held.began && now.saturating_duration_since(held.granted) > GRANT_LIFE
        });
        let lapsed: Vec<RequestId> = lapsed.map(|(request, _)| request.clone()).collect();
        for request in lapsed {
            self.release(&request, now);
        }
    }

    /// Looks for targets that went silent.
    pub(super) fn check_health(&mut self, now: Instant) {
        self.note_opening();
        for target in self.targets.values_mut() {
            if target.estimate.running() > 0 {
                let longest = target.estimate.longest_silence(now);
                let longest = longest.max(self.cfg.silence_floor);
                target.health.check(longest, now);
            }
        }
    }

    /// Ends a reservation and returns its target's room.
    pub(super) fn release(&mut self, request: &str, now: Instant) -> Option<HeldGrant> {
        let held = self.reservations.swap_remove(request)?;
        self.pending.remove(&held.pending);
        self.note_opening();
        if let Some(counted) = &held.counted {
            self.limits.release(counted);
        }
        if let Some(target) = self.targets.get_mut(&held.target) {
            Self::note_change(&mut self.sharing, target, now);
            target.estimate.ended(held.left, now);
            target.long -= u32::from(held.long);
            if held.trial {
                target.health.trial_over(now);
            }
        }
        self.drop_if_left(&held.target);
        Some(held)
    }

    /// Puts a request on a target.
    pub(super) fn reserve(&mut self, waiting: &Waiting, choice: &Choice, now: Instant) {
        let ask = &waiting.ask;
        let Some(target) = self.targets.get_mut(&choice.target) else {
            return;
        };
        let left = Work {
            decode: work(ask).decode,
            prefill: choice.prefill,
        };
        self.turn += 1;
        target.turn = self.turn;
        let long = choice.prefill > choice::LONG_PROMPT;
        let trial = target.health.granted(target.estimate.running() == 0, now);
        target.estimate.granted(left, now);
        target.sent = target.sent.wrapping_add(1);
        if let Some(limit) = &mut target.rate_limit {
            limit.take(1, now);
        }
        Self::note_change(&mut self.sharing, target, now);
        target.long += u32::from(long);
        let held = HeldGrant {
            ask: ask.ask,
            began: false,
            partial_tokens: ask.partial.map_or(0, |partial| partial.tokens),
            before: target.estimate.outstanding().prefill,
            counted: waiting.counted.clone(),
            entry: Entry {
                incarnation: ask.entry_incarnation,
                vm: ask.entry.clone(),
            },
            expected: Duration::try_from_secs_f64(choice.earliest).unwrap_or(Duration::MAX),
            granted: now,
            left,
            long,
            max_tokens: ask.max_tokens,
            pending: ask.prefix.clone(),
            target: choice.target.clone(),
            tokens: work(ask).tokens(),
            trial,
        };
        self.pending.add(&ask.prefix);
        self.reservations.insert(ask.request.clone(), held);
    }

    /// Grants the ask, or refuses it if even the best target is too slow for its deadline.
    fn settle(&mut self, request: &RequestId, choice: Choice, now: Instant) {
        let deadline = self.waiting[request].deadline;
        let left = deadline.map(|deadline| deadline.saturating_duration_since(now));
        if left.is_some_and(|left| choice.earliest > left.as_secs_f64()) {
            let retry = self.drain.retry_after(0, 0.0, now);
            self.refuse(request, Unmeetable::TooSlow, Some(retry));
            return;
        }
        let prompt = self
            .queue
            .grant(request)
            .map_or(1, |item| item.work.prefill);
        let computed = choice.prefill as f64 / prompt.max(1) as f64;
        self.computed += COMPUTED_GAIN * (computed - self.computed);
        let Some(waiting) = self.waiting.swap_remove(request) else {
            return;
        };
        self.reserve(&waiting, &choice, now);
        self.note_end(&waiting.ask, true);
        if waiting.ask.partial.is_none() {
            self.waits.granted(waiting.ask.tier, now);
        }
        let verdict = self.granted(request, waiting.ask.ask);
        if let Some(waiter) = waiting.waiter {
            // If the call has just ended, its guard gives the grant back.
            let _ = waiter.tx.send(verdict);
        }
    }

    /// The first ask in order that finds an open target.
    fn next(&self, room: Room, now: Instant) -> Option<RequestId> {
        self.queue.standings().find_map(|standing| {
            // Resumed answers go first: what was read and generated for them would be lost.
            let resumed = self.next_of_each(standing, Lane::Resumed, room, now);
            let next = resumed.or_else(|| self.next_new(standing, room, now));
            next.map(|place| place.request.clone())
        })
    }

    /// The first ask that finds an open target, of a lane in which each may find other targets open.
    fn next_of_each(
        &self,
        standing: Standing,
        lane: Lane,
        room: Room,
        now: Instant,
    ) -> Option<&Place> {
        let mut heads = self.queue.heads(standing, lane).take(EACH_SCAN);
        heads.find(|place| self.is_open(&place.request, room, now))
    }

    /// The first ask of a standing that finds an open target and has no partial answer.
    fn next_new(&self, standing: Standing, room: Room, now: Instant) -> Option<&Place> {
        let excluding = self.next_of_each(standing, Lane::Excluding, room, now);
        let lanes = [Lane::Long, Lane::Short].into_iter();
        let firsts = lanes.filter_map(|lane| {
            let mut heads = self.queue.heads(standing, lane).take(DELAY_SCAN).peekable();
            let place = heads.peek()?;
            if !self.is_open(&place.request, room, now) {
                return None;
            }
            heads.find(|place| !self.is_delayed(&place.request, room, now))
        });
        firsts.chain(excluding).min()
    }

    fn is_open(&self, request: &str, room: Room, now: Instant) -> bool {
        let Some(waiting) = self.waiting.get(request) else {
            return false;
        };
        let wanted = self.wanted_by(waiting, now);
        choice::any_open(&self.targets, &wanted, room, now)
    }
}
