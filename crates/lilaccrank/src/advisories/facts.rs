//! The facts that a daemon holds, in the orders in which they are looked up, so that no look-up takes longer
//! the more facts there are.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::fact::Key;
use super::{Advisory, CAPACITY, Fact, QUARANTINE_CRASHES, Record, Revision};
use crate::ids::ContentDigest;

/// Position in the order of eviction: facts that no quarantine depends on go first, older ones before later
/// ones.
pub(super) type Rank = (bool, Instant, Revision);

/// Facts by their keys.
#[derive(Debug, Default)]
pub(super) struct Facts {
    by_content: IndexMap<ContentDigest, IndexSet<Key>>,
    by_end: BTreeSet<(Instant, Revision)>,
    by_rank: BTreeSet<Rank>,
    by_revision: BTreeMap<Revision, Key>,
    evicted: Evicted,
    records: IndexMap<Key, Record>,
    /// Revisions of the facts that load updates have yet to carry.
    untold: BTreeSet<Revision>,
}

/// Keys that were evicted lately: the last [`CAPACITY`] of them, and at most as many before.
#[derive(Debug, Default)]
struct Evicted {
    before: IndexSet<Key>,
    lately: IndexSet<Key>,
}

impl Evicted {
    fn insert(&mut self, key: Key) {
        if self.lately.len() == CAPACITY {
            self.before = mem::take(&mut self.lately);
        }
        self.lately.insert(key);
    }

    fn contains(&self, key: &Key) -> bool {
        self.lately.contains(key) || self.before.contains(key)
    }
}

impl Facts {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Contents and parts that facts are about.
    pub(super) fn contents(&self) -> impl Iterator<Item = ContentDigest> {
        self.by_content.keys().copied()
    }

    /// Facts about a content or part.
    pub(super) fn about(&self, content: ContentDigest) -> impl Iterator<Item = &Record> {
        let keys = self.by_content.get(&content).into_iter().flatten();
        keys.filter_map(|key| self.records.get(key))
    }

    /// Facts received after `revision`, in order.
    pub(super) fn after(&self, revision: Revision) -> impl Iterator<Item = &Record> {
        let later = self.by_revision.range(revision.saturating_add(1)..);
        later.filter_map(|(_, key)| self.records.get(key))
    }

    /// Takes at most `limit` facts for a load update, those that were received first before the others.
    pub(super) fn take_untold(&mut self, limit: usize, now: Instant) -> Vec<Advisory> {
        let mut taken = Vec::new();
        let mut told = Vec::new();
        for revision in &self.untold {
            if taken.len() == limit {
                break;
            }
            let key = self.by_revision.get(revision);
            let Some(record) = key.and_then(|key| self.records.get_mut(key)) else {
                continue;
            };
            let is_sendable = record.is_sendable(now);
            if is_sendable {
                record.transmissions += 1;
                taken.push(record.advisory(now));
            }
            // A fact that is not sendable now is cleared or at its end, and stays so.
            if !is_sendable || !record.is_untold() {
                told.push(*revision);
            }
        }
        for revision in told {
            self.untold.remove(&revision);
        }
        taken
    }

    /// Adds a fact or replaces the one with its key.
    pub(super) fn insert(&mut self, record: Record) {
        let key = record.fact.key();
        self.remove(&key);
        self.by_end.insert(record.end());
        self.by_rank.insert(record.rank());
        self.by_revision.insert(record.revision, key);
        if record.is_untold() {
            self.untold.insert(record.revision);
        }
        self.records.insert(key, record);
        if let Some(content) = record.fact.content() {
            self.by_content.entry(content).or_default().insert(key);
            self.rank(content);
        }
    }

    /// Drops the fact with this key.
    pub(super) fn remove(&mut self, key: &Key) {
        let Some(record) = self.records.swap_remove(key) else {
            return;
        };
        self.by_end.remove(&record.end());
        self.by_rank.remove(&record.rank());
        self.by_revision.remove(&record.revision);
        self.untold.remove(&record.revision);
        if let Some(content) = record.fact.content() {
            if let Some(keys) = self.by_content.get_mut(&content) {
                keys.swap_remove(key);
                if keys.is_empty() {
                    self.by_content.swap_remove(&content);
                }
            }
            self.rank(content);
        }
    }

    /// Drops the facts that have reached their end.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((end, revision)) = self.by_end.first().copied()
            && end <= now
        {
            self.remove_revision(revision);
        }
    }

    /// The first fact in the order of eviction.
    pub(super) fn first_to_go(&self) -> Option<&Record> {
        let (.., revision) = self.by_rank.first()?;
        self.records.get(self.by_revision.get(revision)?)
    }

    /// Drops the first fact in the order of eviction.
    pub(super) fn evict(&mut self) {
        let first = self.by_rank.first();
        let key = first.and_then(|(.., revision)| self.by_revision.get(revision));
        if let Some(key) = key.copied() {
            self.remove(&key);
            self.evicted.insert(key);
        }
    }

    /// Returns `true` if a fact with this key was evicted lately.
    pub(super) fn was_evicted(&self, key: &Key) -> bool {
        self.evicted.contains(key)
    }

    /// Returns `true` if a quarantine would depend on `fact`, once added.
    pub(super) fn would_be_held(&self, fact: Fact) -> bool {
        let known = |content| self.about(content).map(weight).sum::<usize>();
        let content = fact.content();
        content.is_some_and(|content| known(content) + weight_of(fact) >= QUARANTINE_CRASHES)
    }

    /// Marks the crashes of a content that a completion at this time clears.
    pub(super) fn clear(&mut self, content: ContentDigest, completed_at: Instant) {
        for key in self.by_content.get(&content).into_iter().flatten() {
            if let Some(record) = self.records.get_mut(key) {
                record.is_cleared |= record.is_crash_before(content, completed_at);
            }
        }
        self.rank(content);
    }

    fn remove_revision(&mut self, revision: Revision) {
        if let Some(key) = self.by_revision.get(&revision).copied() {
            self.remove(&key);
        }
    }

    /// Brings the order of eviction up to date after a change of the facts about a content.
    fn rank(&mut self, content: ContentDigest) {
        let is_held = self.about(content).map(weight).sum::<usize>() >= QUARANTINE_CRASHES;
        for key in self.by_content.get(&content).into_iter().flatten() {
            if let Some(record) = self.records.get_mut(key)
                && record.is_held != is_held
            {
                self.by_rank.remove(&record.rank());
                record.is_held = is_held;
                self.by_rank.insert(record.rank());
            }
        }
    }
}

/// How much a fact adds to a quarantine of its content.
fn weight(record: &Record) -> usize {
    match record.is_cleared {
        true => 0,
        false => weight_of(record.fact),
    }
}

fn weight_of(fact: Fact) -> usize {
    match fact {
        Fact::Quarantined { .. } => QUARANTINE_CRASHES,
        _ => 1,
    }
}
