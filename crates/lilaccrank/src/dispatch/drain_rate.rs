//! Drain rate of the pool, and the `Retry-After` derived from it.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::backoff;

/// Maximum `Retry-After` before jitter.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Minimum `Retry-After` before jitter.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Drain rates below this, in tokens per second, mean that no request has ended recently.
const MIN_MEASURED_RATE: f64 = 1.0;
/// Time constant of the exponentially decaying average.
const WINDOW: Duration = Duration::from_secs(5);

/// Completed tokens per second, as an exponentially decaying average.
#[derive(Debug)]
pub struct DrainRate {
    per_s: f64,
    rng: StdRng,
    updated: Instant,
}

impl DrainRate {
    /// Creates a rate of zero; `seed` determines the jitter.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            per_s: 0.0,
            rng: StdRng::seed_from_u64(seed),
            updated: now,
        }
    }

    /// Records completed work.
    pub fn record_end(&mut self, tokens: u64, now: Instant) {
        self.per_s = self.per_s(now) + tokens as f64 / WINDOW.as_secs_f64();
        self.updated = now;
    }

    /// Current rate in tokens per second.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.updated).as_secs_f64();
        self.per_s * (-since / WINDOW.as_secs_f64()).exp()
    }

    /// Delay after which a caller refused behind `tokens_ahead` tokens should retry.
    /// `estimated_wait` in seconds is used while no request has ended, as at the start of a burst.
    ///
    /// With the same delay for all callers, a refused burst would return as one burst and be
    /// refused again. Jitter as wide as the wait spreads the retries over the time that the pool
    /// needs to drain.
    #[must_use]
    pub fn retry_after(
        &mut self,
        tokens_ahead: u64,
        estimated_wait: f64,
        now: Instant,
    ) -> Duration {
        let wait = match self.per_s(now) {
            rate if rate >= MIN_MEASURED_RATE => tokens_ahead as f64 / rate,
            _ => estimated_wait,
        };
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        wait + backoff::full_jitter_with(&mut self.rng, wait)
    }
}
