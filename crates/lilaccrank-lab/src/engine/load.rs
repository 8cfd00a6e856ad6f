//! The load that an engine reports: how it was a while ago.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Samples closer together than this are one.
const SAMPLE: Duration = Duration::from_millis(5);

/// One report.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Load {
    /// Wall time at which it was so.
    pub(super) at_ms: u64,
    /// Prompt tokens still to read, of waiting and of running requests.
    pub(super) prefill_tokens_waiting: u64,
    pub(super) running: usize,
    pub(super) waiting: usize,
}

struct Past {
    load: Load,
    since: Instant,
}

/// Reports of the last while.
pub(super) struct LoadHistory {
    lag: Duration,
    past: VecDeque<Past>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            past: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, load: Load) {
        while self
            .past
            .get(1)
            .is_some_and(|p| p.since.elapsed() >= self.lag)
        {
            self.past.pop_front();
        }
        match self.past.back_mut() {
            Some(last) if last.since.elapsed() < SAMPLE => last.load = load,
            _ => self.past.push_back(Past {
                load,
                since: Instant::now(),
            }),
        }
    }

    /// The load as callers see it now; an engine that is new reports none.
    pub(super) fn reported(&self) -> Load {
        let mut past = self.past.iter().rev();
        let seen = past.find(|past| past.since.elapsed() >= self.lag);
        seen.map(|past| past.load).unwrap_or_default()
    }
}
