//! Delay scheduling: a submission waits a bounded time for a target that holds its prefix.
//!
//! In a full pool, slots become free one at a time. If the first submission always took the free
//! slot, it would hardly ever hit the cache: prompts would be prefilled again and evict each other.
//! A submission whose holder is full therefore lets later ones go first, for a multiple of the
//! prefill time that it saves. It waits in the same way for a prefix whose prefill is in progress.
//! Urgent submissions don't wait, nor do submissions with many holders, one of which soon has a
//! free slot.

use std::time::{Duration, Instant};

use super::choice::{self, Occupancy};
use super::health;
use super::state::State;

/// Maximum number of submissions examined for one that needs no delay.
pub(super) const DELAY_SCAN_LIMIT: usize = 8;
/// Maximum delay as a multiple of the prefill time saved. In a burst, a holder is busy for longer
/// than one prefill, and giving up early costs the whole pool another prefill.
const MAX_DELAY_FACTOR: u32 = 3;
/// Savings below this number of tokens are not worth a delay.
const MIN_SAVED_TOKENS: u64 = 256;

/// Delay of one submission for a holder of its prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delay {
    /// Capacity epoch of the last evaluation; no holder can become eligible within the same epoch.
    capacity_epoch: u64,
    since: Instant,
    until: Instant,
}

impl State {
    /// Records that capacity may have become free.
    pub(super) fn note_capacity_change(&mut self) {
        self.capacity_epoch += 1;
    }

    /// Returns `true` if the submission still waits for a holder of its prefix.
    pub(super) fn is_delayed(&self, request: &str, occupancy: Occupancy, now: Instant) -> bool {
        let Some(waiting) = self.waiting.get(request) else {
            return false;
        };
        if waiting.submission.prefix.is_empty() || choice::is_urgent(waiting.submission.tier) {
            return false;
        }
        let previous = waiting.delayed.get();
        if let Some(delay) = previous.filter(|delay| delay.capacity_epoch == self.capacity_epoch) {
            return now < delay.until;
        }
        let saved_prefill_time = self.saved_prefill_time(request, occupancy, now);
        if saved_prefill_time.is_zero() {
            return false;
        }
        let since = previous.map_or(now, |delay| delay.since);
        let delay = Delay {
            capacity_epoch: self.capacity_epoch,
            since,
            until: since + saved_prefill_time * MAX_DELAY_FACTOR,
        };
        waiting.delayed.set(Some(delay));
        now < delay.until
    }

    /// Prefill time that a full holder saves compared to the best eligible target.
    fn saved_prefill_time(&self, request: &str, occupancy: Occupancy, now: Instant) -> Duration {
        let needs = self.needs_of(&self.waiting[request], now);
        let (mut eligible_saving, mut busy_saving, mut rate) = (0, 0, f64::INFINITY);
        let holders = self.affinity.holders(needs.prefix, choice::MAX_HOLDERS);
        if holders.len() >= choice::MAX_HOLDERS {
            return Duration::ZERO;
        }
        let inflight = self.inflight.blocks(needs.prefix) as u64;
        for holder in holders {
            let Some(target) = self.targets.get(holder.target) else {
                continue;
            };
            let cached = holder.blocks as u64 * u64::from(needs.block_tokens);
            let saving = cached.min(needs.work.prefill);
            let healthy = target.live && target.health.state() == health::State::Healthy;
            if choice::is_eligible(target, &needs, occupancy, now) {
                eligible_saving = eligible_saving.max(saving);
            } else if healthy && !needs.exclusions.contains(holder.target) && saving > busy_saving {
                busy_saving = saving;
                rate = target.estimate.prefill_rate(now);
            }
        }
        let inflight = (inflight * u64::from(needs.block_tokens)).min(needs.work.prefill);
        if inflight > busy_saving {
            busy_saving = inflight;
            rate = rate.min(self.slowest_prefill_rate(now));
        }
        let saving = busy_saving.saturating_sub(eligible_saving);
        if saving < MIN_SAVED_TOKENS {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(saving as f64 / rate).unwrap_or_default()
    }

    /// Prefill rate of the slowest healthy target, used for a pending prefill whose target is
    /// unknown.
    fn slowest_prefill_rate(&self, now: Instant) -> f64 {
        let healthy = self
            .targets
            .values()
            .filter(|target| target.live && target.health.state() == health::State::Healthy);
        let rates = healthy.map(|target| target.estimate.prefill_rate(now));
        rates.fold(f64::INFINITY, f64::min)
    }
}
