//! What the cache tells of itself: late, and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

/// Events kept for readers that lag behind.
const LIMIT: usize = 20_000;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    Evicted,
    Stored,
}

/// One published event; a gap in the sequence is an event that was lost.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    digest: u64,
    kind: Kind,
    seq: u64,
    #[serde(skip)]
    since: Instant,
}

/// The events of one cache.
pub(crate) struct CacheEvents {
    delay: Duration,
    events: VecDeque<CacheEvent>,
    loss: f64,
    rng: StdRng,
    seq: u64,
}

impl CacheEvents {
    pub(crate) fn new(delay: Duration, loss: f64, seed: u64) -> Self {
        Self {
            delay,
            events: VecDeque::new(),
            loss,
            rng: StdRng::seed_from_u64(seed),
            seq: 0,
        }
    }

    pub(super) fn push(&mut self, kind: Kind, digest: u64) {
        self.seq += 1;
        if self.rng.random::<f64>() < self.loss {
            return;
        }
        if self.events.len() == LIMIT {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            digest,
            kind,
            seq: self.seq,
            since: Instant::now(),
        });
    }

    /// Events after `seq` that are old enough to be seen.
    pub(super) fn published(&self, seq: u64) -> Vec<CacheEvent> {
        let first = self.events.partition_point(|event| event.seq <= seq);
        let later = self.events.range(first..);
        let seen = later.take_while(|event| event.since.elapsed() >= self.delay);
        seen.cloned().collect()
    }
}
