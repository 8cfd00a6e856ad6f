//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Exponential backoff with full jitter.
///
/// After an outage all clients see the store recover at the same moment. Equal waits would make
/// them retry in step each time; waits drawn from the whole interval spread the retries evenly.
#[derive(Clone, Debug)]
pub struct Backoff {
    ceiling: Duration,
    first: Duration,
    limit: Duration,
}

impl Backoff {
    /// Creates a backoff whose ceiling starts at `first` and doubles up to `limit`.
    #[must_use]
    pub fn new(first: Duration, limit: Duration) -> Self {
        Self {
            ceiling: first,
            first,
            limit,
        }
    }

    /// Returns the next wait, drawn uniformly from zero to the current ceiling, and doubles the
    /// ceiling.
    pub fn next_wait(&mut self) -> Duration {
        let wait = full_jitter(self.ceiling);
        self.ceiling = (self.ceiling * 2).min(self.limit);
        wait
    }

    /// Resets the ceiling after a success.
    pub fn reset(&mut self) {
        self.ceiling = self.first;
    }
}

/// Returns a duration drawn uniformly from zero to `ceiling`.
#[must_use]
pub fn full_jitter(ceiling: Duration) -> Duration {
    full_jitter_with(&mut rand::rng(), ceiling)
}

/// Like [`full_jitter`], with the given random number generator.
pub fn full_jitter_with(rng: &mut impl Rng, ceiling: Duration) -> Duration {
    ceiling.mul_f64(rng.random::<f64>())
}
