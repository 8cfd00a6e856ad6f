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
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Waits that must have run out of late before any conclusion.
const MIN_TIMEOUTS: f64 = 3.0;
/// Part of the waits that end with a grant below which waiting is no use. A caller that is told at
/// once has about as good a chance at another daemon.
const MIN_GRANT_RATIO: f64 = 0.2;

/// What became of the waits of each tier.
#[derive(Debug, Default)]
pub(super) struct WaitOutcomes {
    tiers: IndexMap<Tier, Outcomes>,
}

#[derive(Clone, Copy, Debug)]
struct Outcomes {
    updated: Instant,
    granted: f64,
    timed_out: f64,
}

impl Outcomes {
    /// The outcomes as they count now.
    fn decayed(self, now: Instant) -> Self {
        let since = now.saturating_duration_since(self.updated).as_secs_f64();
        let left = (-since / DECAY_TIME.as_secs_f64()).exp();
        Self {
            updated: now,
            granted: self.granted * left,
            timed_out: self.timed_out * left,
        }
    }
}

impl WaitOutcomes {
    /// An ask of this tier got a target.
    pub(super) fn record_grant(&mut self, tier: Tier, now: Instant) {
        self.outcomes(tier, now).granted += 1.0;
    }

    /// An ask of this tier waited for nothing.
    pub(super) fn timed_out(&mut self, tier: Tier, now: Instant) {
        self.outcomes(tier, now).timed_out += 1.0;
    }

    /// Whether hardly any wait of this tier ends well.
    pub(super) fn mostly_time_out(&self, tier: Tier, now: Instant) -> bool {
        self.tiers.get(&tier).is_some_and(|outcomes| {
            let Outcomes {
                granted, timed_out, ..
            } = outcomes.decayed(now);
            timed_out >= MIN_TIMEOUTS && granted < MIN_GRANT_RATIO * (granted + timed_out)
        })
    }

    fn outcomes(&mut self, tier: Tier, now: Instant) -> &mut Outcomes {
        let none = Outcomes {
            updated: now,
            granted: 0.0,
            timed_out: 0.0,
        };
        let outcomes = self.tiers.entry(tier).or_insert(none);
        *outcomes = outcomes.decayed(now);
        outcomes
    }
}
