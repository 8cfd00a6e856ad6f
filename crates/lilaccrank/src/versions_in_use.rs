//! Software versions that may have begun streams which can still be resumed, as the platform's store
//! keeps them.
//!
//! A version is recorded before it gets its first stream. If only one is recorded for a pool, it began
//! every stream of that pool, also those of which no daemon has a record.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::document::Document;
use crate::ids::PoolId;
use crate::software_version::VersionDigest;
use crate::store_revision::Era;
use crate::stream_origins::MAX_TTL;

/// Time without a version after which no stream of it can be resumed: records of streams end before.
pub const RETENTION: Duration = MAX_TTL.saturating_add(Duration::from_secs(60));
/// Number of entries of all pools that are recorded. More come from a list that is not sound.
const MAX_ENTRIES: usize = 1_024;
/// Stands for the routes of a time whose records were lost.
const LOST: u64 = 0;

/// A version as recorded; `None` if a target's version is unknown.
pub type RecordedVersion = Option<VersionDigest>;

/// Pools that the stream rules of a configuration lead to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamRoutes {
    /// Digest of the conditions and pools of these rules.
    digest: u64,
    /// Pools with streams, and whether each of their rules leads to one pool only.
    pools: IndexMap<PoolId, bool>,
}

impl StreamRoutes {
    /// Returns the pools that the stream rules of a document lead to.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let rules = document.rules.iter();
        let rules: Vec<_> = rules.filter(|rule| rule.then.terms.stream).collect();
        let changes_by_itself = rules
            .iter()
            .any(|rule| rule.when.hours.is_some() || rule.when.load.is_some());
        let mut pools = IndexMap::new();
        for rule in &rules {
            let split = rule.then.split.iter().map(|part| &part.pool);
            let led_to: IndexSet<_> = rule.then.pool.iter().chain(split).collect();
            let is_fixed = led_to.len() == 1 && !changes_by_itself;
            for pool in led_to {
                *pools.entry(pool.clone()).or_insert(true) &= is_fixed;
            }
        }
        let routes = rules
            .iter()
            .map(|rule| (&rule.when, &rule.then.pool, &rule.then.split));
        let routes = serde_json::to_vec(&routes.collect::<Vec<_>>()).unwrap_or_default();
        Self {
            digest: xxh3::xxh3_64(&routes).max(LOST + 1),
            pools,
        }
    }

    /// Pools with streams.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Returns `true` if streams may begin at this pool.
    #[must_use]
    pub fn contains(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    fn is_fixed(&self, pool: &str) -> bool {
        self.pools.get(pool).copied().unwrap_or_default()
    }
}

/// One entry of the record.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Entry {
    Routes(u64),
    Version(PoolId, RecordedVersion),
}

/// Versions in use, by pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct VersionsInUse {
    /// Era of the store in which this is complete.
    era: Era,
    pools: IndexMap<PoolId, IndexSet<RecordedVersion>>,
    /// Digests of the stream routes.
    routes: IndexSet<u64>,
}

impl VersionsInUse {
    /// Returns what has to be recorded while these targets may get streams.
    #[must_use]
    pub fn needed(
        routes: &StreamRoutes,
        versions: impl IntoIterator<Item = (PoolId, RecordedVersion)>,
    ) -> Self {
        let mut needed = Self::default();
        needed.routes.insert(routes.digest);
        for (pool, version) in versions {
            if routes.contains(&pool) {
                needed.pools.entry(pool).or_default().insert(version);
            }
        }
        needed
    }

    /// Returns what the store holds, as read in this era; `None` for an object that is missing or can't be
    /// decoded. What an earlier era recorded may be missing from it.
    #[must_use]
    pub fn read(stored: Option<Self>, era: Era, is_missing: bool) -> Self {
        let is_complete = match &stored {
            Some(stored) => stored.era == era,
            None => is_missing && era == Era::default(),
        };
        let mut read = stored.unwrap_or_default();
        read.era = era;
        if !is_complete {
            read.routes.insert(LOST);
        }
        read
    }

    /// Era of the store.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns `true` if a version is recorded for a pool.
    #[must_use]
    pub fn contains(&self, pool: &str, version: RecordedVersion) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|versions| versions.contains(&version))
    }

    /// Returns `true` if all of `needed` is recorded.
    #[must_use]
    pub fn contains_all(&self, needed: &Self) -> bool {
        needed.entries().all(|entry| self.has(&entry))
    }

    /// Adds what is needed. Returns `false` if there is too much of it; it is left as it is then.
    pub fn add(&mut self, needed: &Self) -> bool {
        let missing = needed.entries().filter(|entry| !self.has(entry)).count();
        if self.entries().count() + missing > MAX_ENTRIES {
            return false;
        }
        self.routes.extend(&needed.routes);
        for (pool, versions) in &needed.pools {
            let recorded = self.pools.entry(pool.clone()).or_default();
            recorded.extend(versions);
        }
        true
    }

    /// Takes over what another daemon knows to be recorded. Returns `false` if that is of an earlier era, or too
    /// much.
    pub fn learn(&mut self, told: &Self) -> bool {
        if told.era > self.era {
            *self = told.clone();
        }
        told.era == self.era && self.add(told)
    }

    /// Returns the version that began every stream of a pool; `None` if there may be several.
    #[must_use]
    pub fn only_version(&self, pool: &str, routes: &StreamRoutes, era: Era) -> RecordedVersion {
        let is_present = self.era == era && self.routes.iter().eq([&routes.digest]);
        let versions = self.pools.get(pool)?;
        let only = versions.first().copied().flatten();
        only.filter(|_| is_present && versions.len() == 1 && routes.is_fixed(pool))
    }

    /// Returns `true` if each pool with streams has one version only.
    #[must_use]
    pub fn has_one_version(&self, routes: &StreamRoutes, era: Era) -> bool {
        routes
            .pools()
            .filter(|pool| self.pools.contains_key(*pool))
            .all(|pool| self.only_version(pool, routes, era).is_some())
    }

    fn entries(&self) -> impl Iterator<Item = Entry> {
        let versions = self.pools.iter().flat_map(|(pool, versions)| {
            let versions = versions.iter();
            versions.map(|version| Entry::Version(pool.clone(), *version))
        });
        let routes = self.routes.iter().copied().map(Entry::Routes);
        routes.chain(versions)
    }

    fn has(&self, entry: &Entry) -> bool {
        match entry {
            Entry::Routes(digest) => self.routes.contains(digest),
            Entry::Version(pool, version) => self.contains(pool, *version),
        }
    }

    fn remove(&mut self, entry: &Entry) {
        match entry {
            Entry::Routes(digest) => {
                self.routes.shift_remove(digest);
            }
            Entry::Version(pool, version) => {
                if let Some(versions) = self.pools.get_mut(pool) {
                    versions.shift_remove(version);
                }
                self.pools.retain(|_, versions| !versions.is_empty());
            }
        }
    }
}

/// Entries that are no longer needed, by the monotonic clock of one daemon.
#[derive(Debug, Default)]
pub struct Unneeded {
    /// When the lists that it is counted by were last too old.
    counted_from: Option<Instant>,
    /// Era of the store in which they were recorded.
    era: Era,
    since: IndexMap<Entry, Instant>,
}

impl Unneeded {
    /// Notes what is recorded and not needed. What is needed again after a long time is taken out of
    /// `recorded`, since another daemon may have removed it.
    pub fn note(&mut self, recorded: &mut VersionsInUse, needed: &VersionsInUse, now: Instant) {
        let again = self.since.iter();
        let again = again.filter(|(entry, since)| needed.has(entry) && is_doubtful(**since, now));
        again.for_each(|(entry, _)| recorded.remove(entry));
        if self.era != recorded.era {
            self.since.clear();
            self.era = recorded.era;
        }
        let unneeded = recorded.entries().filter(|entry| !needed.has(entry));
        let since = unneeded.map(|entry| {
            let since = self.since.get(&entry).copied().unwrap_or(now);
            (entry, since)
        });
        self.since = since.collect();
    }

    /// Counts the time until a removal anew, since a version may have been in use unseen.
    pub fn restart(&mut self, now: Instant) {
        self.counted_from = Some(now);
    }

    /// Returns `true` if a version has not been needed for so long that another daemon may have removed it.
    #[must_use]
    pub fn is_doubtful(&self, pool: &PoolId, version: RecordedVersion, now: Instant) -> bool {
        let since = self.since.get(&Entry::Version(pool.clone(), version));
        since.is_some_and(|since| is_doubtful(*since, now))
    }

    /// Returns what is recorded and needed. Of the rest, a daemon that counts from an earlier list may have
    /// removed some.
    #[must_use]
    pub fn needed(&self, recorded: &VersionsInUse) -> VersionsInUse {
        let mut needed = recorded.clone();
        self.since.keys().for_each(|entry| needed.remove(entry));
        needed
    }

    /// Returns `true` if something has not been needed for [`RETENTION`].
    #[must_use]
    pub fn has_expired(&self, now: Instant) -> bool {
        self.expired(now).next().is_some()
    }

    /// Removes what has not been needed for [`RETENTION`] in the era of the record.
    pub fn remove_expired(&self, recorded: &mut VersionsInUse, now: Instant) {
        if recorded.era == self.era {
            self.expired(now).for_each(|entry| recorded.remove(entry));
        }
    }

    fn expired(&self, now: Instant) -> impl Iterator<Item = &Entry> {
        let since = self.since.iter();
        let expired = since.filter(move |(_, since)| {
            let counted_from = self.counted_from.max(Some(**since));
            counted_from.is_some_and(|from| now.duration_since(from) >= RETENTION)
        });
        expired.map(|(entry, _)| entry)
    }
}

/// Another daemon may have counted from an earlier list.
fn is_doubtful(unneeded_since: Instant, now: Instant) -> bool {
    now.duration_since(unneeded_since) >= RETENTION / 2
}
