//! Slots of a target that a request leaves free for the tiers before its own.
//!
//! A long answer occupies a slot for seconds. On a target full of them, urgent work would wait
//! until one ends, which is mostly longer than its caller waits. A request that frees its slot well
//! within the objective of an earlier tier hardly delays that tier. If its own tier is served
//! least, it therefore leaves correspondingly fewer slots, so that short requests of the last tier
//! don't starve.

use std::time::Duration;

/// Fraction of a target's slots reserved for each earlier tier.
const RESERVED_FRACTION: f64 = 1.0 / 7.0;
/// Maximum number of tiers with reserved slots.
const RESERVED_TIERS: usize = 2;

/// Reservation of the tiers before a request's own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reservation {
    /// If set, the reservation shrinks with the time that the request holds a slot.
    scales_with_hold: bool,
    objectives: [Duration; RESERVED_TIERS],
    /// Number of tiers with reserved slots.
    tiers: usize,
}

impl Reservation {
    /// Creates the reservation of tiers with these objectives, most urgent first.
    #[must_use]
    pub fn new(objectives: impl Iterator<Item = Duration>, scales_with_hold: bool) -> Self {
        let mut reservation = Self {
            scales_with_hold,
            ..Self::default()
        };
        for objective in objectives.take(RESERVED_TIERS) {
            reservation.objectives[reservation.tiers] = objective;
            reservation.tiers += 1;
        }
        reservation
    }

    /// Returns the reservation without the tier just before the request's own.
    #[must_use]
    pub fn without_last(self) -> Self {
        Self {
            tiers: self.tiers.saturating_sub(1),
            ..self
        }
    }

    /// Number of slots out of `slots` to leave free for a request that will hold one for `hold_s`
    /// seconds. At least one if there is an earlier tier, unless the target has too few slots to
    /// reserve any.
    #[must_use]
    pub fn slots(&self, slots: u32, hold_s: f64) -> u32 {
        let objectives = &self.objectives[..self.tiers];
        let tiers: f64 = objectives.iter().map(|o| self.weight(*o, hold_s)).sum();
        let reserved = |tiers: f64| (f64::from(slots) * RESERVED_FRACTION * tiers).round() as u32;
        reserved(tiers).max(reserved(self.tiers as f64).min(1))
    }

    /// Number of requests to leave to earlier tiers under a target's rate limit.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.tiers as u32
    }

    fn weight(&self, objective: Duration, hold_s: f64) -> f64 {
        if self.scales_with_hold && !objective.is_zero() {
            (hold_s / objective.as_secs_f64()).min(1.0)
        } else {
            1.0
        }
    }
}
