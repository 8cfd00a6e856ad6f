//! Overload: expiry and load shedding of waiting submissions.

use std::time::{Duration, Instant};

use super::message::Unmeetable;
use super::state::State;
use super::work::Work;
use crate::error_kind::ErrorKind;

impl State {
    /// Refuses the submissions that have waited too long.
    pub(super) fn expire_waiting(&mut self, now: Instant) {
        while let Some(request) = self.queue.expired(now).cloned() {
            let retry = self.retry_after(&request, now);
            if let Some(waiting) = self.waiting.get(&request)
                && waiting.submission.partial.is_none()
            {
                self.wait_outcomes.timed_out(waiting.submission.tier, now);
            }
            self.refuse(&request, Unmeetable::TimedOut, Some(retry));
        }
    }

    /// Sheds submissions, lowest tier first, until the queue is within its limit. During a
    /// handover, entry daemons that have not resynced may still bring lower tiers; only the
    /// configuration's lowest tier is shed then, unless the queue exceeds twice its limit.
    pub(super) fn shed(&mut self, now: Instant) {
        while self.queue.len() > self.cfg.waiting_limit {
            let Some(victim) = self.queue.victim() else {
                return;
            };
            let is_protected =
                self.handover.is_some() && victim.priority.tier < self.cfg.lowest_tier;
            if is_protected && self.queue.len() <= 2 * self.cfg.waiting_limit {
                return;
            }
            let request = victim.request.clone();
            let retry = self.retry_after(&request, now);
            self.refuse(&request, ErrorKind::Overloaded, Some(retry));
        }
    }

    pub(super) fn retry_after(&mut self, request: &str, now: Instant) -> Duration {
        let item = self.queue.get(request);
        let work_ahead = item.map_or(Work::default(), |item| {
            self.queue
                .work_ahead(item.priority, &item.customer, item.weight)
        });
        self.retry_after_work(work_ahead, now)
    }

    pub(super) fn retry_after_work(&mut self, work_ahead: Work, now: Instant) -> Duration {
        self.refresh_capacity(now);
        let estimated_wait = self.min_drain_time(work_ahead);
        self.drain
            .retry_after(work_ahead.tokens(), estimated_wait, now)
    }
}
