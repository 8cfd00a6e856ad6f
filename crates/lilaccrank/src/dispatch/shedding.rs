//! How fast the pool drains, and when a refused caller should come back.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::backoff;

/// Longest `Retry-After` before jitter.
pub const LONGEST_RETRY: Duration = Duration::from_secs(60);
/// Shortest `Retry-After` before jitter.
pub const SHORTEST_RETRY: Duration = Duration::from_millis(500);
/// Slower drain rates, in tokens a second, mean that nothing has ended of late.
const MEASURED_FLOOR: f64 = 1.0;
/// Time over which the drain rate is averaged.
const WINDOW: Duration = Duration::from_secs(5);

/// Tokens of ended work in a second, averaged with exponential decay.
#[derive(Debug)]
pub struct DrainRate {
    per_s: f64,
    rng: StdRng,
    seen: Instant,
}

impl DrainRate {
    /// A rate of zero; `seed` decides the jitter of what callers are told.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            per_s: 0.0,
            rng: StdRng::seed_from_u64(seed),
            seen: now,
        }
    }

    /// Counts ended work.
    pub fn ended(&mut self, tokens: u64, now: Instant) {
        self.per_s = self.per_s(now) + tokens as f64 / WINDOW.as_secs_f64();
        self.seen = now;
    }

    /// Tokens in a second.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.seen).as_secs_f64();
        self.per_s * (-since / WINDOW.as_secs_f64()).exp()
    }

    /// When a caller refused behind `ahead` tokens should come back; `modelled` is the wait to
    /// assume while nothing has ended, as at the start of a burst.
    ///
    /// With the same answer for all, a refused burst returns as one burst, and is refused again;
    /// a jitter as wide as the wait spreads it over the time that the pool needs to drain.
    #[must_use]
    pub fn retry_after(&mut self, ahead: u64, modelled: f64, now: Instant) -> Duration {
        let wait = match self.per_s(now) {
            rate if rate >= MEASURED_FLOOR => ahead as f64 / rate,
            _ => modelled,
        };
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(LONGEST_RETRY);
        let wait = wait.clamp(SHORTEST_RETRY, LONGEST_RETRY);
        wait + backoff::full_jitter_with(&mut self.rng, wait)
    }
}
