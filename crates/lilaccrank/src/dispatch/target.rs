//! One target of the pool.

use std::time::Instant;

use super::estimate::Estimate;
use super::health::Health;
use crate::ids::TargetId;

/// A target and what is known of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Load and speed.
    pub estimate: Estimate,
    /// Signs of life.
    pub health: Health,
    /// Its name.
    pub id: TargetId,
    /// Whether it may get new work.
    pub live: bool,
    /// Long prompts sent whose first token has not come.
    pub long: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Number of the last grant, over all targets.
    pub turn: u64,
}

impl Target {
    /// A live target that was never seen.
    #[must_use]
    pub fn new(id: TargetId, slots: u32, now: Instant) -> Self {
        Self {
            estimate: Estimate::new(now),
            health: Health::new(now),
            id,
            live: true,
            long: 0,
            slots,
            turn: 0,
        }
    }

    /// A target that is known only from a request that runs there.
    #[must_use]
    pub fn leaving(id: TargetId, now: Instant) -> Self {
        Self {
            live: false,
            ..Self::new(id, 0, now)
        }
    }

    /// Slots that are used at its present speed: a slowed target gets less, but at least one
    /// request, by which it can show that it is well again.
    #[must_use]
    pub fn slots_now(&self, now: Instant) -> u32 {
        let slowness = self.estimate.slowness(now);
        if slowness <= 1.0 {
            return self.slots;
        }
        let slots = f64::from(self.slots) / slowness;
        (slots.round() as u32).clamp(1.min(self.slots), self.slots)
    }
}
