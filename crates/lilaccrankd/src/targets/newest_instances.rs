//! Remembers the newest instance of each target.
//!
//! A target that restarts keeps its id, and entries of the earlier instance may arrive late, from a
//! store that was slow or from a daemon that read it. Taken for the newest, they would bring back
//! the address or the draining state of a process that is gone. The instance that started last
//! therefore always wins.

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::Target;
use lilaccrank::ids::{StartTimeMs, TargetId};
use lilaccrank::target_instance::TargetInstance;

use crate::targets::live_list::Listing;

/// Number of ids remembered beside those that are listed. At the planned size, targets are replaced
/// some hundred times a day, and a late entry arrives within minutes.
const MAX_UNLISTED: usize = 4_096;

/// The newest known instance of each target.
#[derive(Debug, Default)]
pub struct NewestInstances {
    newest: IndexMap<TargetId, StartTimeMs>,
}

impl NewestInstances {
    /// Returns `true` if a later instance of the same target is known.
    #[must_use]
    pub fn is_superseded(&self, instance: &TargetInstance) -> bool {
        self.newest.get(&instance.id) > Some(&instance.started_ms)
    }

    /// Number of ids that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// Returns `true` if no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    /// Replaces earlier instances in `listing` by the newest known ones, and remembers new
    /// instances. An earlier instance whose target is no longer known is removed.
    pub fn resolve(&mut self, listing: &mut Listing, known: &Listing) {
        for (pool, targets) in &mut listing.targets {
            let resolved = std::mem::take(targets).into_iter();
            let resolved = resolved.filter_map(|target| self.resolved(pool, target, known));
            *targets = resolved.collect();
        }
        for (_, target) in listing.all() {
            let newest = self.newest.entry(target.id.clone()).or_default();
            *newest = target.started_ms.max(*newest);
        }
        self.forget(listing);
    }

    fn resolved(&self, pool: &str, target: Target, known: &Listing) -> Option<Target> {
        let instance = TargetInstance::of(&target);
        if !self.is_superseded(&instance) {
            return Some(target);
        }
        let mut later = known.targets.get(pool).into_iter().flatten();
        let later =
            later.find(|later| later.id == instance.id && later.started_ms > instance.started_ms);
        log::info!(
            born = instance.started_ms,
            kept = later.is_some(),
            target_id = instance.id;
            "an earlier life of a target was heard late"
        );
        later.cloned()
    }

    fn forget(&mut self, listing: &Listing) {
        let listed = listing.all().count();
        let excess = self.newest.len().saturating_sub(listed + MAX_UNLISTED);
        if excess == 0 {
            return;
        }
        let mut remaining = excess;
        let listed: IndexSet<&TargetId> = listing.all().map(|(_, target)| &target.id).collect();
        self.newest.retain(|id, _| {
            let is_kept = remaining == 0 || listed.contains(id);
            remaining -= usize::from(!is_kept);
            is_kept
        });
    }
}
