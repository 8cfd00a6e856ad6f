//! Waiting between tries: exponential, with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// How long to wait before each further try.
///
/// After an outage all clients see the store come back at once. Equal waits would bring them
/// back together, again and again; a wait drawn from the whole interval spreads them evenly.
#[derive(Clone, Debug)]
pub struct Backoff {
    ceiling: Duration,
    first: Duration,
    limit: Duration,
}

impl Backoff {
    /// Waits grow from `first` to at most `limit`.
    #[must_use]
    pub fn new(first: Duration, limit: Duration) -> Self {
        Self {
            ceiling: first,
            first,
            limit,
        }
    }

    /// The next wait, drawn from zero to the current ceiling, which then doubles.
    pub fn next_wait(&mut self) -> Duration {
        let wait = full_jitter(self.ceiling);
        self.ceiling = (self.ceiling * 2).min(self.limit);
        wait
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.ceiling = self.first;
    }
}

/// A duration drawn evenly from zero to `ceiling`.
#[must_use]
pub fn full_jitter(ceiling: Duration) -> Duration {
    full_jitter_with(&mut rand::rng(), ceiling)
}

/// A duration drawn by `rng` evenly from zero to `ceiling`.
pub fn full_jitter_with(rng: &mut impl Rng, ceiling: Duration) -> Duration {
    ceiling.mul_f64(rng.random::<f64>())
}
