//! Targets that have left, for the time after a restore of the platform's store.
//!
//! The copy that it comes back from may name them as they were before. What they wrote since is written
//! again, but only after a while, and requests would reach them meanwhile.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::{Target, TargetState};
use lilaccrank::store_revision::Era;
use lilaccrank::target_instance::TargetInstance;

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
    restored_at: RefCell<Option<Instant>>,
}

impl Departed {
    /// Notes what `listing` says that `known` did not. With `may_lapse`, targets that are missing may come
    /// back.
    pub fn update(&self, known: &Listing, listing: &Listing, may_lapse: bool, now: Instant) {
        if listing.is_restored(known) {
            self.restored_at.replace(Some(now));
        }
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
        let missing = known.all().map(|(_, target)| target);
        let missing = missing.filter(|target| !listed.contains(&TargetInstance::of(target)));
        let missing = missing.filter(|_| !may_lapse);
        let departed = draining.map(|target| (target, false));
        for (target, is_removal) in departed.chain(missing.map(|target| (target, true))) {
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
            let is_recovering = || {
                let restored_at = *self.restored_at.borrow();
                restored_at.is_some_and(|at| now.saturating_duration_since(at) < RECOVERY_TIME)
            };
            departure.era < era && (!departure.is_removal || is_recovering())
        })
    }
}
