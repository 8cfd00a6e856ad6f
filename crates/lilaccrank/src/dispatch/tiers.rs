//! Which tiers use a pool, how soon their callers expect a first token, and how many are served.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::Tier;

/// Time after which a tier without requests no longer counts: urgent work may be rare, and still has to
/// find room when it comes.
const TIER_TTL: Duration = Duration::from_secs(600);
/// Weight of a new request in a tier's usual objective.
const OBJECTIVE_GAIN: f64 = 0.1;
/// Weight of a new request in the share of a tier that is served.
const SERVED_GAIN: f64 = 0.05;

/// The tiers that use a pool.
///
/// A pool keeps room for the tiers before another one. Kept for tiers that never come, it would
/// stand empty.
#[derive(Debug, Default)]
pub(super) struct Tiers {
    tiers: IndexMap<Tier, Usage>,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    objective: Duration,
    last_request: Instant,
    /// Share of its requests that got a target, from 0 to 1.
    served: f64,
}

impl Tiers {
    /// Notes a request of a tier; without an objective it counts as one that can't wait.
    pub(super) fn record_request(&mut self, tier: Tier, objective: Option<Duration>, now: Instant) {
        let objective = objective.unwrap_or_default();
        let usage = self.tiers.entry(tier).or_insert(Usage {
            objective,
            last_request: now,
            served: 1.0,
        });
        usage.last_request = now;
        usage.objective =
            usage.objective.mul_f64(1.0 - OBJECTIVE_GAIN) + objective.mul_f64(OBJECTIVE_GAIN);
        let is_recent =
            |usage: &Usage| now.saturating_duration_since(usage.last_request) < TIER_TTL;
        self.tiers.retain(|_, usage| is_recent(usage));
        self.tiers.sort_unstable_keys();
    }

    /// Notes whether a request of a tier got a target.
    pub(super) fn record_outcome(&mut self, tier: Tier, served: bool) {
        if let Some(usage) = self.tiers.get_mut(&tier) {
            let sample = f64::from(u8::from(served));
            usage.served += SERVED_GAIN * (sample - usage.served);
        }
    }

    /// Number of the tiers before this one.
    pub(super) fn count_before(&self, tier: Tier) -> usize {
        self.usages_before(tier).count()
    }

    /// Usual objectives of the tiers before this one, the most urgent first.
    pub(super) fn objectives_before(&self, tier: Tier) -> impl Iterator<Item = Duration> + '_ {
        self.usages_before(tier).map(|usage| usage.objective)
    }

    /// Whether no tier before this one is served less often.
    pub(super) fn is_served_least(&self, tier: Tier) -> bool {
        let own = self.tiers.get(&tier).map_or(1.0, |usage| usage.served);
        self.usages_before(tier).all(|usage| usage.served >= own)
    }

    fn usages_before(&self, tier: Tier) -> impl Iterator<Item = &Usage> + '_ {
        let before = self
            .tiers
            .iter()
            .take_while(move |(other, _)| **other < tier);
        before.map(|(_, usage)| usage)
    }
}
