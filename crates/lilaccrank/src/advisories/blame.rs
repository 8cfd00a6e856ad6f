//! Which part of a prompt is to blame for crashes.
//!
//! A target that ends takes along sound requests, whose parts are then in flight at the crash as well. One
//! part is enough to explain a crash, so a part is not blamed if another one was in flight at all of its
//! crashes: one at the same place in the prompts that was in flight at more crashes, or one behind it, since
//! the parts at the beginning are common to many prompts.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::{Advisories, Fact, QUARANTINE_CRASHES};
use crate::ids::ContentDigest;
use crate::target_instance::InstanceDigest;

/// The crashes at which one part was in flight.
#[derive(Debug, Default)]
struct Crashes {
    depth: u8,
    targets: IndexSet<InstanceDigest>,
}

impl Crashes {
    /// Returns `true` if these crashes explain all of the other part.
    fn explain(&self, other: &Self) -> bool {
        let is_closer = self.depth > other.depth
            || (self.depth == other.depth && self.targets.len() > other.targets.len());
        is_closer && other.targets.is_subset(&self.targets)
    }
}

impl Advisories {
    /// Returns `true` if `part` is repeatedly in flight at crashes and is to blame for them, though not yet
    /// quarantined.
    #[must_use]
    pub fn is_repeated_suspect(&self, part: ContentDigest, now: Instant) -> bool {
        let count = self.crashes(part, now).count();
        count >= QUARANTINE_CRASHES - 1 && !self.is_explained(part, now)
    }

    /// Returns `true` if another part explains all crashes of `part`. Whole contents are not explained.
    pub(super) fn is_explained(&self, part: ContentDigest, now: Instant) -> bool {
        let mut all: IndexMap<ContentDigest, Crashes> = IndexMap::new();
        let current = self.facts.values();
        let current = current.filter(|record| !record.is_cleared && record.is_current(now));
        for record in current {
            if let Fact::PartCrash {
                depth,
                part,
                target,
            } = record.fact
            {
                let crashes = all.entry(part).or_default();
                crashes.depth = crashes.depth.max(depth);
                crashes.targets.insert(target);
            }
        }
        let Some(own) = all.get(&part) else {
            return false;
        };
        let mut others = all.iter().filter(|(other, _)| **other != part);
        others.any(|(_, other)| other.explain(own))
    }
}
