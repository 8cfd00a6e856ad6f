//! Grants: which submission is next, and which target it gets.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::choice::{self, Choice, Occupancy};
use super::delay::DELAY_SCAN_LIMIT;
use super::fair::Position;
use super::health::Health;
use super::message::{Entry, SubmissionNumber, Unmeetable};
use super::queue::{Priority, RequestClass};
use super::sharing::Observation;
use super::state::{ActiveGrant, State, Waiting, work};
use super::work::Work;
use crate::ids::{CustomerId, RequestId};
use crate::software_version::Origin;

/// EWMA weight of a new sample in the cache miss ratio.
const CACHE_MISS_GAIN: f64 = 0.05;
/// Maximum number of submissions tried in a request class whose submissions differ in the targets
/// they may use.
const RESTRICTED_SCAN_LIMIT: usize = 32;
/// Time after which an unconfirmed grant expires, because the entry daemon has failed or never
/// received it. A late entry daemon may still use the grant: the target then runs one request more
/// than is counted. No request runs twice, since the entry daemon alone decides on sending.
const GRANT_TIMEOUT: Duration = Duration::from_secs(10);

impl State {
    /// Grants submissions in order until none has an eligible target.
    pub(super) fn dispatch(&mut self, now: Instant) {
        if self.handover.is_some() {
            return;
        }
        self.expire_waiting(now);
        while !self.queue.is_empty() {
            let occupancy = Occupancy::of(&self.targets, now);
            let Some(request) = self.next_request(occupancy, now) else {
                return;
            };
            let needs = self.needs_of(&self.waiting[&request], now);
            let choice = choice::choose(&self.targets, &self.affinity, &needs, occupancy, now);
            let Some(choice) = choice else {
                return;
            };
            self.grant_or_refuse(&request, choice, now);
        }
    }

    /// Releases grants that were not confirmed in time.
    pub(super) fn expire_grants(&mut self, now: Instant) {
        let expired = self.active_grants.iter().filter(|(_, active_grant)| {
            !active_grant.began
                && now.saturating_duration_since(active_grant.granted) > GRANT_TIMEOUT
        });
        let expired: Vec<RequestId> = expired.map(|(request, _)| request.clone()).collect();
        for request in expired {
            self.release(&request, now);
        }
    }

    /// Marks targets with running requests as unresponsive if they have been silent for too long.
    pub(super) fn check_health(&mut self, now: Instant) {
        self.note_capacity_change();
        for target in self.targets.values_mut() {
            if target.estimate.running() > 0 {
                let timeout = target.estimate.hang_timeout(now);
                let timeout = timeout.max(self.cfg.min_hang_timeout);
                let check = |health: &mut Health| health.check_silence(timeout, now);
                if target.observe(&self.cfg.vm, now, check) {
                    self.sharing.record(target.digest, Observation::Silent);
                }
            }
        }
    }

    /// Ends a grant and frees its slot on the target.
    pub(super) fn release(&mut self, request: &str, now: Instant) -> Option<ActiveGrant> {
        let active_grant = self.active_grants.swap_remove(request)?;
        self.inflight.remove(&active_grant.inflight);
        self.note_capacity_change();
        if let Some(counter_key) = &active_grant.counter_key {
            self.limits.release(counter_key);
        }
        if let Some(target) = self.targets.get_mut(&active_grant.target) {
            Self::note_load_change(&mut self.sharing, target, now);
            target.estimate.record_end(active_grant.remaining_work, now);
            target.long_prefills -= u32::from(active_grant.long_prefill);
            if active_grant.trial {
                target.health.cancel_trial(now);
            }
            if active_grant.pushback_trial
                && let Some(pushback) = &mut target.pushback
            {
                pushback.set_trial(false);
            }
        }
        self.remove_if_drained(&active_grant.target);
        Some(active_grant)
    }

    /// Ends a grant for good: a late copy of its submission is not granted again.
    pub(super) fn end(&mut self, request: &str, now: Instant) -> Option<ActiveGrant> {
        let active_grant = self.release(request, now)?;
        if active_grant.has_unique_number {
            self.ended.record(request, active_grant.submission, now);
        }
        Some(active_grant)
    }

    /// Ends a grant that has not reached its entry daemon.
    pub(super) fn withdraw(&mut self, request: &str, submission: SubmissionNumber, now: Instant) {
        if self.is_granted(request, submission) {
            self.release(request, now);
            self.dispatch(now);
        }
    }

    /// Records a grant and its load on the target.
    pub(super) fn reserve(&mut self, waiting: &Waiting, choice: &Choice, now: Instant) {
        let submission = &waiting.submission;
        let Some(target) = self.targets.get_mut(&choice.target) else {
            return;
        };
        let remaining_work = Work {
            decode: work(submission).decode,
            prefill: choice.prefill,
        };
        self.grant_sequence += 1;
        target.grant_sequence = self.grant_sequence;
        let long_prefill = choice.prefill > choice::LONG_PROMPT_TOKENS;
        let trial = target
            .health
            .record_grant(target.estimate.running() == 0, now);
        let pushback_trial = target.pushback.is_some();
        if let Some(pushback) = &mut target.pushback {
            pushback.set_trial(true);
        }
        target.estimate.record_grant(remaining_work, now);
        target.sent = target.sent.wrapping_add(1);
        if let Some(limit) = &mut target.rate_limit {
            limit.take(1, now);
        }
        Self::note_load_change(&mut self.sharing, target, now);
        target.long_prefills += u32::from(long_prefill);
        let active_grant = ActiveGrant {
            submission: submission.submission,
            began: false,
            is_delivered: false,
            partial_tokens: submission.partial.map_or(0, |partial| partial.tokens),
            prefill_ahead: target.estimate.outstanding().prefill,
            counter_key: waiting.counter_key.clone(),
            entry: Entry {
                incarnation: submission.entry_incarnation,
                vm: submission.entry.clone(),
            },
            has_unique_number: submission.has_unique_number,
            expected: Duration::try_from_secs_f64(choice.earliest_completion)
                .unwrap_or(Duration::MAX),
            granted: now,
            remaining_work,
            long_prefill,
            max_tokens: submission.max_tokens,
            inflight: submission.prefix.clone(),
            pushback_trial,
            target: choice.target.clone(),
            tokens: work(submission).tokens(),
            trial,
        };
        self.inflight.add(&submission.prefix);
        self.active_grants
            .insert(submission.request.clone(), active_grant);
    }

    /// Grants a submission, or refuses it if the best target can't meet its deadline.
    fn grant_or_refuse(&mut self, request: &RequestId, choice: Choice, now: Instant) {
        let deadline = self.waiting[request].deadline;
        let left = deadline.map(|deadline| deadline.saturating_duration_since(now));
        if left.is_some_and(|left| choice.earliest_completion > left.as_secs_f64()) {
            let retry = self.drain.retry_after(0, 0.0, now);
            self.refuse(request, Unmeetable::TooSlow, Some(retry));
            return;
        }
        let prompt = self
            .queue
            .grant(request)
            .map_or(1, |item| item.work.prefill);
        let cache_miss_ratio = choice.prefill as f64 / prompt.max(1) as f64;
        self.cache_miss_ratio += CACHE_MISS_GAIN * (cache_miss_ratio - self.cache_miss_ratio);
        let Some(waiting) = self.waiting.swap_remove(request) else {
            return;
        };
        self.reserve(&waiting, &choice, now);
        self.record_outcome(&waiting.submission, true);
        if waiting.submission.partial.is_none() {
            self.wait_outcomes
                .record_grant(waiting.submission.tier, now);
        }
        let verdict = self.grant_verdict(request, waiting.submission.submission);
        if let Some(waiter) = waiting.waiter {
            // If the receiver has just been dropped, its guard cancels the grant.
            let _ = waiter.tx.send(verdict);
        }
    }

    /// Returns the first submission in order that has an eligible target.
    fn next_request(&self, occupancy: Occupancy, now: Instant) -> Option<RequestId> {
        self.queue.priorities().find_map(|priority| {
            // Resumed answers go first: otherwise their completed prefill and generated tokens
            // would be lost.
            let resumed = self.next_resumed(priority, occupancy, now);
            resumed.or_else(|| {
                let next = self.next_unstarted(priority, occupancy, now);
                next.map(|position| position.request.clone())
            })
        })
    }

    /// Returns the first resumed answer with an eligible target. One that waits for its software
    /// version holds up those of its customer that wait for the same version, and no others.
    fn next_resumed(
        &self,
        priority: Priority,
        occupancy: Occupancy,
        now: Instant,
    ) -> Option<RequestId> {
        let positions = self.queue.in_class(priority, RequestClass::Resumed);
        let mut heads: IndexSet<(&CustomerId, Origin)> = IndexSet::new();
        let mut scanned: IndexMap<Origin, usize> = IndexMap::new();
        let next = positions.into_iter().find(|position| {
            let Some(waiting) = self.waiting.get(&position.request) else {
                return false;
            };
            let origin = waiting.submission.origin;
            if !heads.insert((&waiting.submission.customer, origin)) {
                return false;
            }
            let count = scanned.entry(origin).or_default();
            *count += 1;
            *count <= RESTRICTED_SCAN_LIMIT && self.is_eligible(&position.request, occupancy, now)
        });
        next.map(|position| position.request)
    }

    /// Returns the first submission with an eligible target among those that exclude some.
    fn next_excluding(
        &self,
        priority: Priority,
        occupancy: Occupancy,
        now: Instant,
    ) -> Option<&Position> {
        let mut heads = self
            .queue
            .heads(priority, RequestClass::Excluding)
            .take(RESTRICTED_SCAN_LIMIT);
        heads.find(|position| self.is_eligible(&position.request, occupancy, now))
    }

    /// Returns the first submission of a priority that has an eligible target and no partial
    /// answer.
    fn next_unstarted(
        &self,
        priority: Priority,
        occupancy: Occupancy,
        now: Instant,
    ) -> Option<&Position> {
        let excluding = self.next_excluding(priority, occupancy, now);
        let request_classes = [RequestClass::Long, RequestClass::Short].into_iter();
        let candidates = request_classes.filter_map(|request_class| {
            let mut heads = self
                .queue
                .heads(priority, request_class)
                .take(DELAY_SCAN_LIMIT)
                .peekable();
            let position = heads.peek()?;
            if !self.is_eligible(&position.request, occupancy, now) {
                return None;
            }
            heads.find(|position| !self.is_delayed(&position.request, occupancy, now))
        });
        candidates.chain(excluding).min()
    }

    fn is_eligible(&self, request: &str, occupancy: Occupancy, now: Instant) -> bool {
        let Some(waiting) = self.waiting.get(request) else {
            return false;
        };
        let needs = self.needs_of(waiting, now);
        choice::any_eligible(&self.targets, &needs, occupancy, now)
    }
}
