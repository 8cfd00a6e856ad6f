//! Which target probably holds which prefix in its cache.
//!
//! Our own dispatch history is believed at once; cache events come late and correct it. An event
//! that is missing may be an eviction: a gap drops as many of the least recently used blocks as it
//! can hide, since a wrong belief sends long prompts to a target that has to read them again, and
//! so does a forgotten one.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::message::CacheEvent;
use crate::prompt;
use crate::target_instance::TargetInstance;

/// Most blocks believed of one target.
const TARGET_BLOCKS: usize = 4096;
/// Most blocks believed of all targets together, which bounds the memory.
const ALL_BLOCKS: usize = 1 << 18;

/// Names a target by a number, which is cheaper to compare than its name.
type Number = u32;

/// Blocks believed of one target, the least recently used first.
#[derive(Debug, Default)]
struct Belief {
    by_use: BTreeMap<u64, u64>,
    /// Events in the largest batch so far: what a lost batch can have held.
    largest_batch: usize,
    sequence: Option<u64>,
    stamps: IndexMap<u64, u64>,
    target: TargetInstance,
}

/// A target that probably holds the beginning of a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder<'a> {
    /// Blocks that it holds.
    pub blocks: usize,
    /// The target.
    pub target: &'a TargetInstance,
}

/// Beliefs about all targets of a pool.
#[derive(Debug, Default)]
pub struct Affinity {
    beliefs: IndexMap<Number, Belief>,
    holders: IndexMap<u64, Vec<Number>>,
    next: Number,
    numbers: IndexMap<TargetInstance, Number>,
    stamp: u64,
}

impl Affinity {
    /// A request with this prefix was sent to a target.
    pub fn sent(&mut self, target: &TargetInstance, prefix: &[u64]) {
        let number = self.number(target);
        // The last block is stamped first: a prefix without its beginning has no use, so the
        // beginning has to be evicted last.
        for digest in prefix.iter().take(prompt::MAX_BLOCKS).rev() {
            self.store(number, *digest);
        }
    }

    /// Takes in cache events; `sequence` numbers the batches of one target without gaps.
    pub fn events(&mut self, target: &TargetInstance, sequence: u64, events: &[CacheEvent]) {
        let number = self.number(target);
        let Some(belief) = self.beliefs.get_mut(&number) else {
            return;
        };
        let last = belief.sequence;
        if last.is_some_and(|last| sequence <= last) {
            return;
        }
        belief.sequence = Some(sequence);
        belief.largest_batch = belief.largest_batch.max(events.len());
        let missing = last.map_or(0, |last| sequence - last - 1);
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        let hidden = missing.saturating_mul(belief.largest_batch);
        self.drop_oldest(number, hidden);
        for event in events {
            match event {
                CacheEvent::Cleared => self.clear(number),
                CacheEvent::Evicted(digest) => self.drop_block(number, *digest),
                CacheEvent::Stored(digest) => self.store(number, *digest),
            }
        }
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &TargetInstance) {
        if let Some(number) = self.numbers.swap_remove(target) {
            self.clear(number);
            self.beliefs.swap_remove(&number);
        }
    }

    /// Blocks from the start of the prefix that the target probably holds.
    #[must_use]
    pub fn held(&self, target: &TargetInstance, prefix: &[u64]) -> usize {
        let Some(belief) = self.belief(target) else {
            return 0;
        };
        // Blocks are evicted from the end of a chain, so that the held ones form a beginning.
        let prefix = &prefix[..prefix.len().min(prompt::MAX_BLOCKS)];
        prefix.partition_point(|digest| belief.stamps.contains_key(digest))
    }

    /// Targets that hold the most of the prefix, at most `limit`.
    #[must_use]
    pub fn holders(&self, prefix: &[u64], limit: usize) -> Vec<Holder<'_>> {
        let mut found: Vec<(Number, usize)> = Vec::new();
        for (i, digest) in prefix.iter().take(prompt::MAX_BLOCKS).enumerate().rev() {
            let numbers = self.holders.get(digest).map_or(&[][..], Vec::as_slice);
            // Who holds a longer beginning holds this one, so the same count is the same targets.
            if numbers.len() == found.len() {
                continue;
            }
            for number in numbers {
                if found.len() >= limit {
                    break;
                }
                if !found.iter().any(|(other, _)| other == number) {
                    found.push((*number, i + 1));
                }
            }
        }
        let holders = found.into_iter().map(|(number, blocks)| Holder {
            blocks,
            target: &self.beliefs[&number].target,
        });
        holders.collect()
    }

    /// Blocks believed of a target.
    #[must_use]
    pub fn blocks(&self, target: &TargetInstance) -> usize {
        self.belief(target).map_or(0, |belief| belief.stamps.len())
    }

    fn belief(&self, target: &TargetInstance) -> Option<&Belief> {
        self.beliefs.get(self.numbers.get(target)?)
    }

    fn number(&mut self, target: &TargetInstance) -> Number {
        if let Some(number) = self.numbers.get(target) {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(target.clone(), number);
        let belief = Belief {
            target: target.clone(),
            ..Belief::default()
        };
        self.beliefs.insert(number, belief);
        number
    }

    fn store(&mut self, number: Number, digest: u64) {
        self.stamp += 1;
        let limit = TARGET_BLOCKS.min(ALL_BLOCKS / self.beliefs.len().max(1));
        let Some(belief) = self.beliefs.get_mut(&number) else {
            return;
        };
        let old = belief.stamps.insert(digest, self.stamp);
        belief.by_use.insert(self.stamp, digest);
        match old {
            Some(old) => {
                belief.by_use.remove(&old);
            }
            None => self.holders.entry(digest).or_default().push(number),
        }
        while let Some(oldest) = self.oldest_over(number, limit) {
            self.drop_block(number, oldest);
        }
    }

    fn oldest_over(&self, number: Number, limit: usize) -> Option<u64> {
        let belief = self.beliefs.get(&number)?;
        let (_, oldest) = belief.by_use.first_key_value()?;
        (belief.stamps.len() > limit).then_some(*oldest)
    }

    fn drop_block(&mut self, number: Number, digest: u64) {
        let Some(belief) = self.beliefs.get_mut(&number) else {
            return;
        };
        let Some(stamp) = belief.stamps.swap_remove(&digest) else {
            return;
        };
        belief.by_use.remove(&stamp);
        if let Some(holders) = self.holders.get_mut(&digest) {
            holders.retain(|other| *other != number);
            if holders.is_empty() {
                self.holders.swap_remove(&digest);
            }
        }
    }

    /// Drops the least recently used blocks, the first that an engine evicts.
    fn drop_oldest(&mut self, number: Number, count: usize) {
        let belief = self.beliefs.get(&number);
        let oldest: Vec<u64> = belief.map_or(Vec::new(), |belief| {
            belief.by_use.values().take(count).copied().collect()
        });
        for digest in oldest {
            self.drop_block(number, digest);
        }
    }

    fn clear(&mut self, number: Number) {
        let belief = self.beliefs.get(&number);
        let held: Vec<u64> = belief.map_or(Vec::new(), |b| b.stamps.keys().copied().collect());
        for digest in held {
            self.drop_block(number, digest);
        }
    }
}
