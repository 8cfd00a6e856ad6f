//! Delay scheduling: an ask waits for a target that holds its prefix, but not for long.
//!
//! In a full pool one slot comes free at a time. Were the first ask always put there, the cache
//! would hardly ever be met: prompts are read again and push each other out. So an ask whose
//! holder is full lets others pass for a few times as long as the reading that it saves would
//! take. A prefix that some target is just reading is waited for in the
//! same way. Urgent asks don't wait, nor do those with many holders, of
//! which one is soon free.

use std::time::{Duration, Instant};

use super::choice::{self, Room};
use super::health;
use super::state::State;

/// Asks that are looked at for one that suits the free targets.
pub(super) const DELAY_SCAN: usize = 8;
/// Times longer than the reading that it saves that an ask waits for a holder at most. In a burst
/// the holder is busy for longer than one reading; giving up early costs the whole pool another
/// one.
const PATIENCE: u32 = 3;
/// Savings below this, in tokens, are not worth a delay.
const SAVING_FLOOR: u64 = 256;

/// The wait of one ask for a holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delay {
    /// Count of openings at which it was judged; until the next one no holder can come free.
    openings: u64,
    since: Instant,
    until: Instant,
}

impl State {
    /// Room may have come free somewhere.
    pub(super) fn note_opening(&mut self) {
        self.openings += 1;
    }

    /// Whether the ask waits for a holder of its prefix.
    pub(super) fn is_delayed(&self, request: &str, room: Room, now: Instant) -> bool {
        let Some(waiting) = self.waiting.get(request) else {
            return false;
        };
        if waiting.ask.prefix.is_empty() || choice::is_urgent(waiting.ask.tier) {
            return false;
        }
        let earlier = waiting.delayed.get();
        if let Some(delay) = earlier.filter(|delay| delay.openings == self.openings) {
            return now < delay.until;
        }
        let gain = self.gain(request, room, now);
        if gain.is_zero() {
            return false;
        }
        let since = earlier.map_or(now, |delay| delay.since);
        let delay = Delay {
            openings: self.openings,
            since,
            until: since + gain * PATIENCE,
        };
        waiting.delayed.set(Some(delay));
        now < delay.until
    }

    /// Time of reading that a full holder saves over the best open target.
    fn gain(&self, request: &str, room: Room, now: Instant) -> Duration {
        let wanted = self.wanted_by(&self.waiting[request], now);
        let (mut open, mut full, mut rate) = (0, 0, f64::INFINITY);
        let holders = self.affinity.holders(wanted.prefix, choice::HOLDERS);
        if holders.len() >= choice::HOLDERS {
            return Duration::ZERO;
        }
        let pending = self.pending.blocks(wanted.prefix) as u64;
        for holder in holders {
            let Some(target) = self.targets.get(holder.target) else {
                continue;
            };
            let held = holder.blocks as u64 * u64::from(wanted.block_tokens);
            let saved = held.min(wanted.work.prefill);
            let well = target.live && target.health.state() == health::State::Well;
            if choice::is_open(target, &wanted, room, now) {
                open = open.max(saved);
            } else if well && !wanted.exclusions.contains(holder.target) && saved > full {
                full = saved;
                rate = target.estimate.prefill_rate(now);
            }
        }
        let pending = (pending * u64::from(wanted.block_tokens)).min(wanted.work.prefill);
        if pending > full {
            full = pending;
            rate = rate.min(self.slowest_prefill(now));
        }
        let saved = full.saturating_sub(open);
        if saved < SAVING_FLOOR {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(saved as f64 / rate).unwrap_or_default()
    }

    /// Prefill rate of the slowest target that is well: who reads a pending prefix isn't known.
    fn slowest_prefill(&self, now: Instant) -> f64 {
        let well = self
            .targets
            .values()
            .filter(|target| target.live && target.health.state() == health::State::Well);
        let rates = well.map(|target| target.estimate.prefill_rate(now));
        rates.fold(f64::INFINITY, f64::min)
    }
}
