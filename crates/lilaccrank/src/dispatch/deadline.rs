//! Deadline feasibility of submissions.
//!
//! A submission that can't meet its deadline is refused before it costs any prefill. All estimates
//! are optimistic: a request that is refused wrongly is lost, while one that is admitted wrongly is
//! refused at its grant or at its deadline.

use std::time::{Duration, Instant};

use super::choice::{self, Occupancy, Requirements};
use super::message::Submission;
use super::state::State;
use super::work::Work;

/// Time after which the capacity is recomputed.
const CAPACITY_TTL: Duration = Duration::from_millis(50);

/// Combined throughput of all live targets, in tokens per second.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    updated: Option<Instant>,
    decode: f64,
    prefill: f64,
}

impl State {
    /// Returns `true` if no target can meet the submission's deadline after the work ahead of it.
    /// Work of lower tiers is ignored: it would be overtaken, and a refusal because of it would be
    /// a priority inversion.
    pub(super) fn is_infeasible(&mut self, submission: &Submission, now: Instant) -> bool {
        let Some(left) = submission.deadline else {
            return false;
        };
        let left = left.as_secs_f64();
        self.refresh_capacity(now);
        let needs = self.needs(submission, submission.deadline);
        if !self.can_meet(&needs, left, now) {
            return true;
        }
        // A resumed answer goes ahead of the waiting submissions of its tier.
        if submission.is_resumed() {
            return false;
        }
        // The backlog up to and including the own priority is an upper bound for the work ahead,
        // and cheap to compute.
        let priority = submission.priority();
        let upper_bound = self.queue.work_up_to(priority);
        if self.can_meet(&needs, left - self.min_drain_time(upper_bound), now) {
            return false;
        }
        let work_ahead = self
            .queue
            .work_ahead(priority, &submission.customer, submission.weight);
        if self.can_meet(&needs, left - self.min_drain_time(work_ahead), now) {
            return false;
        }
        let occupancy = Occupancy::of(&self.targets, now);
        !choice::any_eligible(&self.targets, &needs, occupancy, now)
    }

    /// Lower bound for the time that all targets together need for this work, in seconds. Prefill
    /// and decode overlap, so the longer of the two counts.
    pub(super) fn min_drain_time(&self, work: Work) -> f64 {
        let prefill = work.prefill as f64 * self.cache_miss_ratio / self.capacity.prefill.max(1.0);
        let decode = work.decode as f64 * self.length_ratio.mean() / self.capacity.decode.max(1.0);
        prefill.max(decode)
    }

    fn can_meet(&self, needs: &Requirements<'_>, left: f64, now: Instant) -> bool {
        let targets = self.targets.values();
        let mut live = targets.filter(|target| target.serves(needs.versions));
        live.any(|target| {
            if choice::earliest_completion(target, needs, 0, now) <= left {
                return true;
            }
            let blocks = self.affinity.matched_blocks(&target.instance, needs.prefix) as u64;
            let saved = (blocks * u64::from(needs.block_tokens)).min(needs.work.prefill);
            choice::earliest_completion(target, needs, saved, now) <= left
        })
    }

    pub(super) fn refresh_capacity(&mut self, now: Instant) {
        let age = self
            .capacity
            .updated
            .map(|updated| now.saturating_duration_since(updated));
        if age.is_some_and(|age| age < CAPACITY_TTL) {
            return;
        }
        let mut capacity = Capacity {
            updated: Some(now),
            ..Capacity::default()
        };
        for target in self.targets.values().filter(|target| target.live) {
            let slots = target.effective_slots(now);
            capacity.decode += f64::from(slots) / target.estimate.step(slots, now);
            capacity.prefill += target.estimate.prefill_rate(now);
        }
        self.capacity = capacity;
    }

    /// Forces a recomputation after a change of targets.
    pub(super) fn invalidate_capacity(&mut self) {
        self.capacity.updated = None;
    }
}
