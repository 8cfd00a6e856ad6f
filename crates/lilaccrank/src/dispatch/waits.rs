//! What became of asks that waited, by tier: whether a new one has a chance.
//!
//! In a burst far over what the targets can do, nearly every ask of a later tier waits for as long
//! as its first token could still come in time, and is refused then. Its caller has lost that time
//! and comes back with too little left. Once a tier's waits mostly end so, its asks are told at
//! once; one goes on waiting, by whose grant it is seen that there is room again.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::Tier;

/// Time after which an outcome counts for 1/e: as long as the waits themselves.
const MEMORY: Duration = Duration::from_secs(1);
/// Waits that must have run out of late before any conclusion.
const FEWEST: f64 = 3.0;
/// Part of the waits that end with a grant below which waiting is no use. A caller that is told at
/// once has about as good a chance at another daemon.
const CHANCE: f64 = 0.2;

/// What became of the waits of each tier.
#[derive(Debug, Default)]
pub(super) struct Waits {
    tiers: IndexMap<Tier, Outcomes>,
}

#[derive(Clone, Copy, Debug)]
struct Outcomes {
    at: Instant,
    granted: f64,
    ran_out: f64,
}

impl Outcomes {
    /// The outcomes as they count now.
    fn at(self, now: Instant) -> Self {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        let left = (-since / MEMORY.as_secs_f64()).exp();
        Self {
            at: now,
            granted: self.granted * left,
            ran_out: self.ran_out * left,
        }
    }
}

impl Waits {
    /// An ask of this tier got a target.
    pub(super) fn granted(&mut self, tier: Tier, now: Instant) {
        self.outcomes(tier, now).granted += 1.0;
    }

    /// An ask of this tier waited for nothing.
    pub(super) fn ran_out(&mut self, tier: Tier, now: Instant) {
        self.outcomes(tier, now).ran_out += 1.0;
    }

    /// Whether hardly any wait of this tier ends well.
    pub(super) fn are_vain(&self, tier: Tier, now: Instant) -> bool {
        self.tiers.get(&tier).is_some_and(|outcomes| {
            let Outcomes {
                granted, ran_out, ..
            } = outcomes.at(now);
            ran_out >= FEWEST && granted < CHANCE * (granted + ran_out)
        })
    }

    fn outcomes(&mut self, tier: Tier, now: Instant) -> &mut Outcomes {
        let none = Outcomes {
            at: now,
            granted: 0.0,
            ran_out: 0.0,
        };
        let outcomes = self.tiers.entry(tier).or_insert(none);
        *outcomes = outcomes.at(now);
        outcomes
    }
}
