//! Cache affinity: which targets probably hold which prefixes in their caches.
//!
//! Prompts that this daemon has sent count as cached without waiting for an event from the target;
//! cache events arrive late and correct this. A missing event may be an eviction, so a gap in the
//! sequence drops as many of the least recently used blocks as the lost batches may have evicted.
//! Both errors cost a repeated prefill: a block that is wrongly assumed sends long prompts to a
//! target without it, and one that is wrongly dropped sends them elsewhere.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::message::CacheEvent;
use crate::prompt;
use crate::target_instance::TargetInstance;

/// Maximum number of blocks tracked per target.
const MAX_BLOCKS_PER_TARGET: usize = 4096;
/// Maximum number of blocks tracked for all targets together, which bounds the memory.
const MAX_BLOCKS: usize = 1 << 18;

/// Index of a target, which is cheaper to compare than its name.
type TargetIndex = u32;

/// Assumed cache content of one target, in LRU order.
#[derive(Debug, Default)]
struct CacheModel {
    lru: BTreeMap<u64, u64>,
    /// Events in the largest batch so far, an upper bound for a lost batch.
    largest_batch: usize,
    sequence: Option<u64>,
    last_used: IndexMap<u64, u64>,
    target: TargetInstance,
}

/// Target that probably holds the start of a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder<'a> {
    /// Number of blocks it holds.
    pub blocks: usize,
    /// The target.
    pub target: &'a TargetInstance,
}

/// Assumed cache contents of all targets of a pool.
#[derive(Debug, Default)]
pub struct Affinity {
    caches: IndexMap<TargetIndex, CacheModel>,
    holders: IndexMap<u64, Vec<TargetIndex>>,
    next_index: TargetIndex,
    indices: IndexMap<TargetInstance, TargetIndex>,
    use_counter: u64,
}

impl Affinity {
    /// Records that a target has computed this prefix.
    pub fn record_prefill(&mut self, target: &TargetInstance, prefix: &[u64]) {
        let index = self.index(target);
        // Blocks are stored last to first, so that the start of the prefix is evicted last: later
        // blocks are useless without it.
        for digest in prefix.iter().take(prompt::MAX_PREFIX_BLOCKS).rev() {
            self.store(index, *digest);
        }
    }

    /// Applies cache events; `sequence` numbers the batches of one target without gaps.
    pub fn apply_events(&mut self, target: &TargetInstance, sequence: u64, events: &[CacheEvent]) {
        let index = self.index(target);
        let Some(cache) = self.caches.get_mut(&index) else {
            return;
        };
        let last = cache.sequence;
        if last.is_some_and(|last| sequence <= last) {
            return;
        }
        cache.sequence = Some(sequence);
        cache.largest_batch = cache.largest_batch.max(events.len());
        let missing = last.map_or(0, |last| sequence - last - 1);
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        let max_lost_events = missing.saturating_mul(cache.largest_batch);
        self.drop_oldest(index, max_lost_events);
        for event in events {
            match event {
                CacheEvent::Cleared => self.clear(index),
                CacheEvent::Evicted(digest) => self.drop_block(index, *digest),
                CacheEvent::Stored(digest) => self.store(index, *digest),
            }
        }
    }

    /// Removes a target.
    pub fn forget(&mut self, target: &TargetInstance) {
        if let Some(index) = self.indices.swap_remove(target) {
            self.clear(index);
            self.caches.swap_remove(&index);
        }
    }

    /// Number of leading blocks of the prefix that the target probably holds.
    #[must_use]
    pub fn matched_blocks(&self, target: &TargetInstance, prefix: &[u64]) -> usize {
        let Some(cache) = self.cache(target) else {
            return 0;
        };
        // Engines evict a chain from its end, so the cached blocks are always a leading part of it.
        let prefix = &prefix[..prefix.len().min(prompt::MAX_PREFIX_BLOCKS)];
        prefix.partition_point(|digest| cache.last_used.contains_key(digest))
    }

    /// Targets that hold the longest parts of the prefix, at most `limit`.
    #[must_use]
    pub fn holders(&self, prefix: &[u64], limit: usize) -> Vec<Holder<'_>> {
        let mut found: Vec<(TargetIndex, usize)> = Vec::new();
        for (i, digest) in prefix
            .iter()
            .take(prompt::MAX_PREFIX_BLOCKS)
            .enumerate()
            .rev()
        {
            let indices = self.holders.get(digest).map_or(&[][..], Vec::as_slice);
            // Holders of a longer part also hold this one, so an equal count means the same
            // targets.
            if indices.len() == found.len() {
                continue;
            }
            for index in indices {
                if found.len() >= limit {
                    break;
                }
                if !found.iter().any(|(other, _)| other == index) {
                    found.push((*index, i + 1));
                }
            }
        }
        let holders = found.into_iter().map(|(index, blocks)| Holder {
            blocks,
            target: &self.caches[&index].target,
        });
        holders.collect()
    }

    /// Number of blocks tracked for a target.
    #[must_use]
    pub fn block_count(&self, target: &TargetInstance) -> usize {
        self.cache(target).map_or(0, |cache| cache.last_used.len())
    }

    fn cache(&self, target: &TargetInstance) -> Option<&CacheModel> {
        self.caches.get(self.indices.get(target)?)
    }

    fn index(&mut self, target: &TargetInstance) -> TargetIndex {
        if let Some(index) = self.indices.get(target) {
            return *index;
        }
        let index = self.next_index;
        self.next_index += 1;
        self.indices.insert(target.clone(), index);
        let cache = CacheModel {
            target: target.clone(),
            ..CacheModel::default()
        };
        self.caches.insert(index, cache);
        index
    }

    fn store(&mut self, index: TargetIndex, digest: u64) {
        self.use_counter += 1;
        let limit = MAX_BLOCKS_PER_TARGET.min(MAX_BLOCKS / self.caches.len().max(1));
        let Some(cache) = self.caches.get_mut(&index) else {
            return;
        };
        let old = cache.last_used.insert(digest, self.use_counter);
        cache.lru.insert(self.use_counter, digest);
        match old {
            Some(old) => {
                cache.lru.remove(&old);
            }
            None => self.holders.entry(digest).or_default().push(index),
        }
        while let Some(oldest) = self.oldest_above_limit(index, limit) {
            self.drop_block(index, oldest);
        }
    }

    fn oldest_above_limit(&self, index: TargetIndex, limit: usize) -> Option<u64> {
        let cache = self.caches.get(&index)?;
        let (_, oldest) = cache.lru.first_key_value()?;
        (cache.last_used.len() > limit).then_some(*oldest)
    }

    fn drop_block(&mut self, index: TargetIndex, digest: u64) {
        let Some(cache) = self.caches.get_mut(&index) else {
            return;
        };
        let Some(last_use) = cache.last_used.swap_remove(&digest) else {
            return;
        };
        cache.lru.remove(&last_use);
        if let Some(holders) = self.holders.get_mut(&digest) {
            holders.retain(|other| *other != index);
            if holders.is_empty() {
                self.holders.swap_remove(&digest);
            }
        }
    }

    /// Drops the least recently used blocks, which engines evict first.
    fn drop_oldest(&mut self, index: TargetIndex, count: usize) {
        let cache = self.caches.get(&index);
        let oldest: Vec<u64> = cache.map_or(Vec::new(), |cache| {
            cache.lru.values().take(count).copied().collect()
        });
        for digest in oldest {
            self.drop_block(index, digest);
        }
    }

    fn clear(&mut self, index: TargetIndex) {
        let cache = self.caches.get(&index);
        let digests: Vec<u64> = cache.map_or(Vec::new(), |b| b.last_used.keys().copied().collect());
        for digest in digests {
            self.drop_block(index, digest);
        }
    }
}
