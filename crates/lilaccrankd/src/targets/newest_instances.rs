//! Which life of each target is the newest.
//!
//! A target that starts again keeps its name, and words of its earlier life may come late: from a
//! store that took them late, or from a daemon that heard them there. Taken for the newest, they
//! would bring back the address or the leaving of a process that is gone. A life that began later
//! therefore stays, whatever is heard afterwards.

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::Target;
use lilaccrank::ids::{StartTimeMs, TargetId};
use lilaccrank::target_instance::TargetInstance;

use crate::targets::live_list::Listing;

/// Names that are remembered beside those that are listed. Targets of two years' size are replaced
/// some hundred times a day: a late word of one comes within minutes.
const MAX_UNLISTED: usize = 4_096;

/// The newest life of each target that was heard of.
#[derive(Debug, Default)]
pub struct NewestInstances {
    newest: IndexMap<TargetId, StartTimeMs>,
}

impl NewestInstances {
    /// Whether a later life of the same target was heard of.
    #[must_use]
    pub fn is_superseded(&self, instance: &TargetInstance) -> bool {
        self.newest.get(&instance.id) > Some(&instance.started_ms)
    }

    /// Names that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    /// Puts the newest known life in the place of earlier ones in `listing`, and remembers those that
    /// are new. An earlier life whose target is known no more is left out.
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
