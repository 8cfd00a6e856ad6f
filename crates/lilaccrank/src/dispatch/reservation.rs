//! Slots of a target that a request leaves free for the tiers before its own.
//!
//! An engine's slot is held for seconds by a long answer. Filled up with these, a target makes urgent work
//! wait for the end of one, which is mostly longer than its caller does. A request that gives its slot back
//! well within the objective of an earlier tier hardly delays it. Where its own tier is served least, it
//! leaves accordingly less, so that short work of a last tier does not starve behind reservations.

use std::time::Duration;

/// Part of a target's slots that is reserved for each tier before a request's own.
const RESERVED_FRACTION: f64 = 1.0 / 7.0;
/// Most tiers for which slots are reserved.
const RESERVED_TIERS: usize = 2;

/// What the tiers before a request's own reserve.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reservation {
    /// Whether the request leaves less the shorter it holds a slot.
    scales_with_hold: bool,
    objectives: [Duration; RESERVED_TIERS],
    /// Tiers for which slots are reserved.
    tiers: usize,
}

impl Reservation {
    /// What tiers with these objectives, the most urgent first, reserve.
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

    /// The same without the tier just before the request's own.
    #[must_use]
    pub fn without_last(self) -> Self {
        Self {
            tiers: self.tiers.saturating_sub(1),
            ..self
        }
    }

    /// Slots out of `slots` that a request leaves free if it will hold one for `hold_s` seconds: at least one,
    /// if any tier is before its own.
    #[must_use]
    pub fn slots(&self, slots: u32, hold_s: f64) -> u32 {
        let objectives = &self.objectives[..self.tiers];
        let tiers: f64 = objectives.iter().map(|o| self.weight(*o, hold_s)).sum();
        let reserved = |tiers: f64| (f64::from(slots) * RESERVED_FRACTION * tiers).round() as u32;
        reserved(tiers).max(reserved(self.tiers as f64).min(1))
    }

    /// Requests that are left to earlier tiers where a target takes only so many a second.
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
