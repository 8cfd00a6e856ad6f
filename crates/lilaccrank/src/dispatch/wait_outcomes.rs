//! Outcomes of recent waits by tier, which predict whether a new wait is worthwhile.
//!
//! In heavy overload, nearly every submission of a later tier waits as long as its first token
//! could be in time and is then refused. Its caller has lost that time and retries with too little
//! left. Once most waits of a tier time out, its new submissions are refused at once. One
//! submission keeps waiting; its grant shows that capacity is available again.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::Tier;

/// Time constant of the decay of outcomes, equal to the usual length of a wait.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Decayed number of timeouts needed for a prediction.
const MIN_TIMEOUTS: f64 = 3.0;
/// Minimum share of waits ending in a grant for which waiting is worthwhile. A caller that is
/// refused at once has about the same chance at another daemon.
const MIN_GRANT_RATIO: f64 = 0.2;

/// Outcomes of recent waits, by tier.
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
    /// Returns the counts decayed to `now`.
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
    /// Records a wait that ended with a grant.
    pub(super) fn record_grant(&mut self, tier: Tier, now: Instant) {
        self.outcomes(tier, now).granted += 1.0;
    }

    /// Records a wait that timed out.
    pub(super) fn timed_out(&mut self, tier: Tier, now: Instant) {
        self.outcomes(tier, now).timed_out += 1.0;
    }

    /// Returns `true` if hardly any recent wait of this tier has ended with a grant.
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
