//! Which tiers use a pool.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::Tier;

/// Time after which a tier of which nothing came no longer counts: urgent work may be rare, and
/// still has to find room when it comes.
const FORGOTTEN: Duration = Duration::from_secs(600);

/// The tiers of which something came.
///
/// A pool keeps room for the tiers before another one. Kept for tiers that never come, it would
/// stand empty.
#[derive(Debug, Default)]
pub(super) struct Tiers {
    seen: IndexMap<Tier, Instant>,
}

impl Tiers {
    /// Something of a tier came.
    pub(super) fn note(&mut self, tier: Tier, now: Instant) {
        self.seen.insert(tier, now);
        let lives = |seen: &Instant| now.saturating_duration_since(*seen) < FORGOTTEN;
        self.seen.retain(|_, seen| lives(seen));
    }

    /// Tiers before this one.
    pub(super) fn before(&self, tier: Tier) -> usize {
        self.seen.keys().filter(|seen| **seen < tier).count()
    }
}
