//! The prefix cache: a bounded set of blocks, the least recently used leaving first.

use indexmap::IndexSet;
use lilaccrank::prompt::BLOCK_TOKENS;

use super::cache_events::{CacheEvents, Kind};

/// Blocks by digest, in order of their last use.
pub(crate) struct PrefixCache {
    blocks: IndexSet<u64>,
    limit: usize,
}

impl PrefixCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            blocks: IndexSet::new(),
            limit,
        }
    }

    /// Tokens at the start of a prompt that need no prefill.
    pub(crate) fn cached_tokens(&self, digests: &[u64]) -> u32 {
        let hits = digests.iter().take_while(|d| self.blocks.contains(*d));
        u32::try_from(hits.count() * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Stores a prompt's blocks, the last one first: a prefix's early blocks are worth most, so
    /// they are to leave last.
    pub(crate) fn store(&mut self, digests: &[u64], events: &mut CacheEvents) {
        let kept = &digests[..digests.len().min(self.limit)];
        for digest in kept.iter().rev() {
            if !self.blocks.shift_remove(digest) {
                events.push(Kind::Stored, *digest);
            }
            self.blocks.insert(*digest);
        }
        while self.blocks.len() > self.limit {
            if let Some(digest) = self.blocks.shift_remove_index(0) {
                events.push(Kind::Evicted, digest);
            }
        }
    }
}
