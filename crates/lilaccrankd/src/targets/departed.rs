//! Targets that have left, for the time after a restore of the platform's store.
//!
//! The copy that it comes back from may name them as they were before. What they wrote since is written
//! again, but only after a while, and requests would reach them meanwhile.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::{Target, TargetState};
use lilaccrank::store_revision::Era;
use lilaccrank::target_instance::TargetInstance;

use crate::targets::lapsed::Missing;
use crate::targets::live_list::Listing;

/// Time after a restore in which removals are written again. An entry that is still there has come back.
pub const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Number of targets that are remembered.
const LIMIT: usize = 4_096;

/// How a target left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    era: Era,
    /// Set if its entry was removed without a word of its own, which a lapse does as well.
    is_removal: bool,
}

/// Targets that have left, in the order in which they did.
#[derive(Debug, Default)]
pub struct Departed {
    departures: RefCell<IndexMap<TargetInstance, Departure>>,
    /// When the first list of the present era came, if one of another era came before.
    restored_at: Cell<Option<Instant>>,
}

impl Departed {
    /// Notes the first list of an era.
    pub fn note_restore(&self, now: Instant) {
        self.restored_at.set(Some(now));
    }

    /// Notes what `listing` says that `known` did not.
    pub fn update(&self, known: &Listing, listing: &Listing, missing: Missing) {
        let era = listing.revision.era;
        let mut departures = self.departures.borrow_mut();
        let listed = listing.all().map(|(_, target)| TargetInstance::of(target));
        let listed: IndexSet<TargetInstance> = listed.collect();
        let is_back = |instance: &TargetInstance, departure: &Departure| {
            departure.is_removal && departure.era == era && listed.contains(instance)
        };
        departures.retain(|instance, departure| !is_back(instance, departure));
        let draining = listing.all().map(|(_, target)| target);
        let draining = draining.filter(|target| target.state == TargetState::Draining);
        let removed = known.all().map(|(_, target)| target);
        let removed = removed.filter(|target| !listed.contains(&TargetInstance::of(target)));
        let removed = removed.filter(|_| missing != Missing::MayLapse);
        let departed = draining.map(|target| (target, false));
        for (target, is_removal) in departed.chain(removed.map(|target| (target, true))) {
            let departure = departures.entry(TargetInstance::of(target));
            departure.or_insert(Departure { era, is_removal });
        }
        let excess = departures.len().saturating_sub(LIMIT);
        departures.drain(..excess);
    }

    /// Returns `true` if a target that a list of `era` names has left in an earlier one.
    #[must_use]
    pub fn contains(&self, target: &Target, era: Era, now: Instant) -> bool {
        let departures = self.departures.borrow();
        let departure = departures.get(&TargetInstance::of(target));
        departure.is_some_and(|departure| {
            departure.era < era && (!departure.is_removal || self.is_recovering(now))
        })
    }

    /// Targets that were removed since a recent restore, out of a list of `era`.
    #[must_use]
    pub fn removed_since_restore(&self, era: Era, now: Instant) -> Vec<TargetInstance> {
        if !self.is_recovering(now) {
            return Vec::new();
        }
        let departures = self.departures.borrow();
        let of_era = departures
            .iter()
            .filter(|(_, departure)| departure.era == era);
        let removed = of_era.filter(|(_, departure)| departure.is_removal);
        removed.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns `true` while entries that the store has lost by a restore are written again.
    #[must_use]
    pub fn is_recovering(&self, now: Instant) -> bool {
        let restored_at = self.restored_at.get();
        restored_at.is_some_and(|at| now.saturating_duration_since(at) < RECOVERY_TIME)
    }
}
