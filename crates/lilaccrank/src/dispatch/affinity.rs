//! Which target probably holds which prefix in its cache.
//!
//! Our own dispatch history is believed at once; cache events come late and correct it. An event
//! that is missing may be an eviction: a gap drops all that was believed of the target, since a
//! wrong belief sends long prompts to a target that has to read them again.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;

use super::message::CacheEvent;
use crate::ids::TargetId;

/// Most digests of one ask that are looked at.
pub const DIGESTS_LIMIT: usize = 256;
/// Most blocks believed of one target.
const TARGET_BLOCKS: usize = 4096;
/// Most blocks believed of all targets together, which bounds the memory.
const ALL_BLOCKS: usize = 1 << 18;

/// Digests of a prompt: one for each whole block, each over all blocks up to its own, so that
/// equal digests mean equal prefixes.
#[must_use]
pub fn digests(prompt: &[u8], block: usize) -> Vec<u64> {
    let blocks = prompt.chunks_exact(block.max(1)).take(DIGESTS_LIMIT);
    let chain = blocks.scan(0, |seed, block| {
        *seed = xxh3::xxh3_64_with_seed(block, *seed);
        Some(*seed)
    });
    chain.collect()
}

/// Blocks believed of one target, the least recently used first.
#[derive(Debug, Default)]
struct Belief {
    by_use: BTreeMap<u64, u64>,
    stamps: IndexMap<u64, u64>,
}

/// Beliefs about all targets of a pool.
#[derive(Debug, Default)]
pub struct Affinity {
    beliefs: IndexMap<TargetId, Belief>,
    holders: IndexMap<u64, IndexSet<TargetId>>,
    sequences: IndexMap<TargetId, u64>,
    stamp: u64,
}

impl Affinity {
    /// A request with this prefix was sent to a target.
    pub fn sent(&mut self, target: &TargetId, prefix: &[u64]) {
        // The last block is stamped first: a prefix without its beginning has no use, so the
        // beginning has to be evicted last.
        for digest in prefix.iter().take(DIGESTS_LIMIT).rev() {
            self.store(target, *digest);
        }
    }

    /// Takes in cache events; `sequence` numbers the batches of one target without gaps.
    pub fn events(&mut self, target: &TargetId, sequence: u64, events: &[CacheEvent]) {
        let last = self.sequences.get(target).copied();
        if last.is_some_and(|last| sequence <= last) {
            return;
        }
        if last.is_some_and(|last| sequence != last + 1) {
            self.clear(target);
        }
        self.sequences.insert(target.clone(), sequence);
        for event in events {
            match event {
                CacheEvent::Cleared => self.clear(target),
                CacheEvent::Evicted(digest) => self.drop_block(target, *digest),
                CacheEvent::Stored(digest) => self.store(target, *digest),
            }
        }
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &str) {
        self.clear(target);
        self.sequences.swap_remove(target);
    }

    /// Blocks from the start of the prefix that the target probably holds.
    #[must_use]
    pub fn held(&self, target: &TargetId, prefix: &[u64]) -> usize {
        let Some(belief) = self.beliefs.get(target) else {
            return 0;
        };
        // Blocks are evicted from the end of a chain, so that the held ones form a beginning.
        let prefix = &prefix[..prefix.len().min(DIGESTS_LIMIT)];
        prefix.partition_point(|digest| belief.stamps.contains_key(digest))
    }

    /// Targets that hold the most of the prefix, at most `limit`.
    #[must_use]
    pub fn holders(&self, prefix: &[u64], limit: usize) -> IndexSet<&TargetId> {
        let mut found = IndexSet::new();
        for digest in prefix.iter().take(DIGESTS_LIMIT).rev() {
            for target in self.holders.get(digest).into_iter().flatten() {
                if found.len() >= limit {
                    return found;
                }
                found.insert(target);
            }
        }
        found
    }

    /// Blocks believed of a target.
    #[must_use]
    pub fn blocks(&self, target: &TargetId) -> usize {
        self.beliefs.get(target).map_or(0, |b| b.stamps.len())
    }

    fn store(&mut self, target: &TargetId, digest: u64) {
        self.stamp += 1;
        let limit = TARGET_BLOCKS.min(ALL_BLOCKS / self.beliefs.len().max(1));
        let belief = self.beliefs.entry(target.clone()).or_default();
        if let Some(old) = belief.stamps.insert(digest, self.stamp) {
            belief.by_use.remove(&old);
        }
        belief.by_use.insert(self.stamp, digest);
        self.holders
            .entry(digest)
            .or_default()
            .insert(target.clone());
        while let Some(oldest) = self.oldest_over(target, limit) {
            self.drop_block(target, oldest);
        }
    }

    fn oldest_over(&self, target: &TargetId, limit: usize) -> Option<u64> {
        let belief = self.beliefs.get(target)?;
        let (_, oldest) = belief.by_use.first_key_value()?;
        (belief.stamps.len() > limit).then_some(*oldest)
    }

    fn drop_block(&mut self, target: &str, digest: u64) {
        let Some(belief) = self.beliefs.get_mut(target) else {
            return;
        };
        if let Some(stamp) = belief.stamps.swap_remove(&digest) {
            belief.by_use.remove(&stamp);
        }
        if let Some(holders) = self.holders.get_mut(&digest) {
            holders.swap_remove(target);
            if holders.is_empty() {
                self.holders.swap_remove(&digest);
            }
        }
    }

    fn clear(&mut self, target: &str) {
        let belief = self.beliefs.get(target);
        let held: Vec<u64> = belief.map_or(Vec::new(), |b| b.stamps.keys().copied().collect());
        for digest in held {
            self.drop_block(target, digest);
        }
        self.beliefs.swap_remove(target);
    }
}
