//! Whether an ask can meet its deadline.
//!
//! A request that can't is refused before it costs prefill. Each guess is taken from the good
//! side: a request that is refused wrongly is lost, one that is kept wrongly is found out at its
//! grant or its deadline.

use std::time::{Duration, Instant};

use super::choice::{self, Occupancy, Requirements};
use super::message::Ask;
use super::state::{self, State};
use super::work::Work;

/// Time after which the capacity is worked out anew.
const CAPACITY_TTL: Duration = Duration::from_millis(50);

/// What all live targets do together, in tokens a second.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    updated: Option<Instant>,
    decode: f64,
    prefill: f64,
}

impl State {
    /// Whether no target can meet the ask's deadline after the work ahead in tier order. Lower
    /// tiers don't count: they would be passed, and refusing for them would be an inversion.
    pub(super) fn is_infeasible(&mut self, ask: &Ask, now: Instant) -> bool {
        let Some(left) = ask.deadline else {
            return false;
        };
        let left = left.as_secs_f64();
        self.refresh_capacity(now);
        let needs = self.needs(ask, ask.deadline);
        if !self.can_meet(&needs, left, now) {
            return true;
        }
        // A resumed answer goes before what waits in its tier.
        if ask.partial.is_some() {
            return false;
        }
        // The whole of the own tier is more than goes ahead in fair order, and cheap to know.
        let priority = state::priority(ask);
        let upper_bound = self.queue.work_up_to(priority);
        if self.can_meet(&needs, left - self.min_drain_time(upper_bound), now) {
            return false;
        }
        let work_ahead = self.queue.work_ahead(priority, &ask.customer, ask.weight);
        if self.can_meet(&needs, left - self.min_drain_time(work_ahead), now) {
            return false;
        }
        let occupancy = Occupancy::of(&self.targets, now);
        !choice::any_eligible(&self.targets, &needs, occupancy, now)
    }

    /// Shortest time that this work takes all targets together, in seconds. They read and
    /// generate at once, so that the longer of the two is the least.
    pub(super) fn min_drain_time(&self, work: Work) -> f64 {
        let prefill = work.prefill as f64 * self.cache_miss_ratio / self.capacity.prefill.max(1.0);
        let decode = work.decode as f64 * self.length_ratio / self.capacity.decode.max(1.0);
        prefill.max(decode)
    }

    fn can_meet(&self, needs: &Requirements<'_>, left: f64, now: Instant) -> bool {
        let mut live = self.targets.values().filter(|target| target.live);
        live.any(|target| {
            if choice::earliest_completion(target, needs, 0, now) <= left {
                return true;
            }
            let blocks = self.affinity.matched_blocks(&target.life, needs.prefix) as u64;
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

    /// The targets have changed.
    pub(super) fn invalidate_capacity(&mut self) {
        self.capacity.updated = None;
    }
}
