//! Tiers that use a pool, with their usual objectives and the share of requests served.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::Tier;

/// Time without requests after which a tier no longer counts. Urgent requests may be rare, and must
/// still find free slots.
const TIER_TTL: Duration = Duration::from_secs(600);
/// EWMA weight of a new request in the usual objective of a tier.
const OBJECTIVE_GAIN: f64 = 0.1;
/// EWMA weight of a new request in the served share of a tier.
const SERVED_GAIN: f64 = 0.05;

/// Active tiers of a pool.
///
/// Slots are reserved only for earlier tiers in this list; reserved for a tier without requests,
/// they would stay unused.
#[derive(Debug, Default)]
pub(super) struct Tiers {
    tiers: IndexMap<Tier, Usage>,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    objective: Duration,
    last_request: Instant,
    /// Share of requests that were granted, from 0 to 1.
    served: f64,
}

impl Tiers {
    /// Records a request of a tier; a request without an objective counts with an objective of
    /// zero.
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

    /// Records whether a request of a tier was granted.
    pub(super) fn record_outcome(&mut self, tier: Tier, served: bool) {
        if let Some(usage) = self.tiers.get_mut(&tier) {
            let sample = f64::from(u8::from(served));
            usage.served += SERVED_GAIN * (sample - usage.served);
        }
    }

    /// Number of active tiers before this one.
    pub(super) fn count_before(&self, tier: Tier) -> usize {
        self.usages_before(tier).count()
    }

    /// Usual objectives of the active tiers before this one, most urgent first.
    pub(super) fn objectives_before(&self, tier: Tier) -> impl Iterator<Item = Duration> + '_ {
        self.usages_before(tier).map(|usage| usage.objective)
    }

    /// Returns `true` if no earlier tier has a lower served share.
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
