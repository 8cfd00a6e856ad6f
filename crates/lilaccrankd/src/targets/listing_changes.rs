//! Changes between two lists of targets, so that a poll need not transfer a whole list.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::Target;
use lilaccrank::ids::{PoolId, TargetId, VmId};
use lilaccrank::store_revision::StoreRevision;
use serde::{Deserialize, Serialize};

use crate::targets::live_list::Listing;

/// Number of changed entries that are remembered. A daemon that lacks more gets the whole list.
const LIMIT: usize = 4_096;

/// An entry of a list. Ids of targets are unique within a pool.
type Key = (PoolId, TargetId);

/// What a list has that an earlier one lacks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// VMs that are leaving, all of them.
    pub leaving: IndexSet<VmId>,
    /// Targets that are no longer listed, by pool.
    pub removed: IndexMap<PoolId, Vec<TargetId>>,
    /// Revision of the list.
    pub revision: StoreRevision,
    /// Revision of the earlier list. They apply to any list between the two as well, since each entry is
    /// given as it is in the later one.
    pub since: StoreRevision,
    /// Targets that are new or have changed, by pool.
    pub targets: IndexMap<PoolId, Vec<Target>>,
    /// Entries that name no usable target, all of them.
    pub unusable: IndexMap<String, String>,
}

/// The entries that the last updates of a list have changed.
#[derive(Debug, Default)]
pub struct History {
    /// Revision since which all changes are known.
    since: StoreRevision,
    /// Changed entries, each with the revision of the list that changed it.
    changed: VecDeque<(StoreRevision, Key)>,
}

impl Changes {
    /// Returns the list that these changes make of `known`; `None` if they belong to another one.
    #[must_use]
    pub fn apply(self, known: &Listing) -> Option<Listing> {
        let is_between = self.since <= known.revision && known.revision < self.revision;
        if !is_between || known.revision.era != self.revision.era {
            return None;
        }
        let mut targets = known.targets.clone();
        let changed = self.targets.iter().flat_map(|(pool, changed)| {
            let ids = changed.iter().map(|target| &target.id);
            ids.map(move |id| (pool, id))
        });
        let removed = self.removed.iter();
        let removed = removed.flat_map(|(pool, ids)| ids.iter().map(move |id| (pool, id)));
        let outdated: IndexSet<(&PoolId, &TargetId)> = changed.chain(removed).collect();
        for (pool, listed) in &mut targets {
            listed.retain(|target| !outdated.contains(&(pool, &target.id)));
        }
        drop(outdated);
        for (pool, changed) in self.targets {
            let listed = targets.entry(pool).or_default();
            listed.extend(changed);
            listed.sort_by(|a, b| a.id.cmp(&b.id));
        }
        targets.retain(|_, listed| !listed.is_empty());
        Some(Listing {
            leaving: self.leaving,
            revision: self.revision,
            targets,
            unusable: self.unusable,
        })
    }
}

impl History {
    /// Notes the entries that differ between `known` and the list that replaces it.
    pub fn record(&mut self, known: &Listing, listing: &Listing) {
        let is_counted = known.revision.number > 0;
        if !is_counted || known.revision.era != listing.revision.era {
            self.changed.clear();
            self.since = listing.revision;
            return;
        }
        let keys = differing(known, listing).into_iter();
        self.changed.extend(keys.map(|key| (listing.revision, key)));
        while self.changed.len() > LIMIT {
            if let Some((revision, _)) = self.changed.pop_front() {
                self.since = revision;
            }
        }
    }

    /// Returns what `listing`, the last one recorded, has that the one with revision `since` lacks; `None`
    /// if not all of it is known.
    #[must_use]
    pub fn changes(&self, since: StoreRevision, listing: &Listing) -> Option<Changes> {
        let is_known = since >= self.since && since.era == listing.revision.era;
        if !is_known || since.number == 0 {
            return None;
        }
        let later = self.changed.iter().filter(|(at, _)| *at > since);
        let mut removed: IndexSet<(&PoolId, &TargetId)> =
            later.map(|(_, (pool, id))| (pool, id)).collect();
        let mut targets: IndexMap<PoolId, Vec<Target>> = IndexMap::new();
        for (pool, target) in listing.all() {
            if removed.swap_remove(&(pool, &target.id)) {
                let changed = targets.entry(pool.clone()).or_default();
                changed.push(target.clone());
            }
        }
        let mut by_pool: IndexMap<PoolId, Vec<TargetId>> = IndexMap::new();
        for (pool, id) in removed {
            by_pool.entry(pool.clone()).or_default().push(id.clone());
        }
        Some(Changes {
            leaving: listing.leaving.clone(),
            removed: by_pool,
            revision: listing.revision,
            since,
            targets,
            unusable: listing.unusable.clone(),
        })
    }
}

/// Returns the entries that only one of the lists has, or that differ.
fn differing(known: &Listing, listing: &Listing) -> Vec<Key> {
    let entries = known.all();
    let entries = entries.map(|(pool, target)| ((pool, &target.id), target));
    let mut missing: IndexMap<(&PoolId, &TargetId), &Target> = entries.collect();
    let mut keys = Vec::new();
    for (pool, target) in listing.all() {
        let key = (pool, &target.id);
        if missing.swap_remove(&key) != Some(target) {
            keys.push(key);
        }
    }
    keys.extend(missing.into_keys());
    let keys = keys.into_iter();
    keys.map(|(pool, id)| (pool.clone(), id.clone())).collect()
}
