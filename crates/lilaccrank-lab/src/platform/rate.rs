//! A rate limit by token bucket.

use std::time::Instant;

/// Holds at most one second's calls.
pub(super) struct Bucket {
    filled: Instant,
    left: f64,
    rate: f64,
}

impl Bucket {
    pub(super) fn new(per_second: u32) -> Self {
        let rate = f64::from(per_second);
        Self {
            filled: Instant::now(),
            left: rate,
            rate,
        }
    }

    /// Takes one call; false if none is left now.
    pub(super) fn take(&mut self) -> bool {
        let gained = self.filled.elapsed().as_secs_f64() * self.rate;
        self.filled = Instant::now();
        self.left = (self.left + gained).min(self.rate);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
