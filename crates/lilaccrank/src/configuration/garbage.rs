//! Deletes manifests beyond the history, and sections that no kept manifest names.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::archive::{Archive, Current, Result};
use super::manifest::{self, Manifest};
use super::sections::{self, Digest};
use crate::clock::{self, Clock};
use crate::ids::Generation;
use crate::store::{self, Expect, Store, Version};

/// Collecting reads the whole history, so it is not done at each publication.
const INTERVAL: Generation = 16;
/// Longest search, so that a slow store does not keep a publication waiting for it.
const LIMIT: Duration = Duration::from_secs(2);

/// What is to be deleted once the next manifest is in force.
///
/// The versions are read before that. Another publisher that takes up one of these sections
/// either began before the next manifest, and then fails on it, or begins after it and writes
/// the section again, so that it has another version and is not deleted.
#[derive(Clone, Debug, Default)]
pub(super) struct Garbage {
    manifests: Vec<Generation>,
    sections: IndexMap<Digest, Version>,
}

impl Garbage {
    /// What becomes garbage with `next`; nothing if it can't be found out now.
    pub(super) async fn find<S: Store, C: Clock>(
        store: &S,
        clock: &C,
        current: Option<&Current>,
        next: &Manifest,
    ) -> Self {
        let Some(current) = current else {
            return Self::default();
        };
        if !next.identity.generation.is_multiple_of(INTERVAL) {
            return Self::default();
        }
        let archive = Archive::new(store, clock, LIMIT);
        let search = Self::search(store, &archive, &current.manifest, next);
        match clock::timeout(clock, LIMIT, search).await {
            Some(Ok(garbage)) => garbage,
            Some(Err(e)) => {
                log::warn!("garbage of the configuration is left for later: {e}");
                Self::default()
            }
            None => Self::default(),
        }
    }

    async fn search<S: Store, C: Clock>(
        store: &S,
        archive: &Archive<S, C>,
        current: &Manifest,
        next: &Manifest,
    ) -> Result<Self> {
        let kept = archive.ancestors(next).await?;
        let mut garbage = Self::default();
        let Some(oldest) = kept.last() else {
            return Ok(garbage);
        };
        let doomed = archive.ancestors(oldest).await?;
        let kept = kept.iter().chain([current, next]);
        let in_use: IndexSet<&Digest> = kept.flat_map(|kept| kept.sections.values()).collect();
        for doomed in &doomed {
            garbage.manifests.push(doomed.identity.generation);
            for digest in doomed.sections.values() {
                if in_use.contains(digest) || garbage.sections.contains_key(digest) {
                    continue;
                }
                if let Some(found) = store.get(&sections::key(digest)).await? {
                    garbage.sections.insert(digest.clone(), found.version);
                }
            }
        }
        Ok(garbage)
    }

    /// Deletes it; what fails is found again at the next collection.
    pub(super) async fn delete<S: Store>(self, store: &S) {
        for (digest, version) in self.sections {
            let key = sections::key(&digest);
            match store.delete(&key, Expect::Version(version)).await {
                Ok(()) | Err(store::Error::Conflict { .. }) => (),
                Err(e) => {
                    log::warn!("section {digest} was not deleted: {e}");
                    return;
                }
            }
        }
        for generation in self.manifests {
            let key = manifest::history_key(generation);
            if let Err(e) = store.delete(&key, Expect::Any).await {
                log::warn!("manifest {generation} was not deleted: {e}");
                return;
            }
        }
    }
}
