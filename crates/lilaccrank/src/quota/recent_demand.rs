//! Demand of one customer on one daemon in the last moments, where an average would come too late.

use std::time::{Duration, Instant};

/// Length of a period. The present one and the one before count.
const PERIOD: Duration = Duration::from_millis(250);
/// Fewest requests from which a demand is inferred: requests of one customer come in bursts.
const MIN_REQUESTS: u32 = 4;

/// Requests and units of one period.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    units: u64,
}

/// Demand in the present period and the one before.
#[derive(Debug)]
pub(super) struct RecentDemand {
    began: Instant,
    before: Count,
    count: Count,
}

impl RecentDemand {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            began: now,
            before: Count::default(),
            count: Count::default(),
        }
    }

    /// Adds a request, whether it passes or not.
    pub(super) fn add(&mut self, units: u64, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age >= PERIOD {
            let is_adjacent = age < 2 * PERIOD;
            self.before = if is_adjacent {
                self.count
            } else {
                Count::default()
            };
            self.count = Count::default();
            self.began = if is_adjacent {
                self.began + PERIOD
            } else {
                now
            };
        }
        self.count.requests = self.count.requests.saturating_add(1);
        self.count.units = self.count.units.saturating_add(units);
    }

    /// Units per second; `None` if too few requests came to tell.
    pub(super) fn per_s(&self, now: Instant) -> Option<f64> {
        let requests = self.before.requests.saturating_add(self.count.requests);
        if requests < MIN_REQUESTS {
            return None;
        }
        let age = now.saturating_duration_since(self.began);
        let time = match self.before.requests {
            0 => age.max(PERIOD),
            _ => age + PERIOD,
        };
        let units = self.before.units.saturating_add(self.count.units);
        Some(units as f64 / time.as_secs_f64())
    }
}
