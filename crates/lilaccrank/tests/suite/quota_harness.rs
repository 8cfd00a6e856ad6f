//! A simulated fleet whose daemons share one quota, and callers that exceed it.

use std::time::{Duration, Instant};

use lilaccrank::document::{Quota, QuotaUnit};
use lilaccrank::quota::{Debit, Quotas};

/// The customer whose quota is spent.
pub const CUSTOMER: &str = "depot";
/// Time between two reports of a daemon.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Tokens of one request.
pub const REQUEST_TOKENS: u64 = 3_000;
/// 100,000 tokens per second, with a burst of the same size.
pub const QUOTA: Quota = Quota {
    burst: 100_000.0,
    per_s: 100_000.0,
    plain_tokens: 200,
    unit: QuotaUnit::Tokens,
};

/// Daemons that share one quota, and the requests that passed at them.
pub struct Fleet {
    pub daemons: Vec<Quotas>,
    pub now: Instant,
    /// Time and units of each request that passed.
    pub passed: Vec<(Instant, u64)>,
    pub start: Instant,
}

impl Fleet {
    /// Creates `count` daemons, each of which assumes three peers.
    pub fn new(count: usize) -> Self {
        let start = Instant::now();
        Self {
            daemons: (0..count).map(|_| Quotas::new(3, start)).collect(),
            now: start,
            passed: Vec::new(),
            start,
        }
    }

    /// A request of this tier and size.
    pub fn debit(tier: u8, units: u64) -> Debit {
        Debit {
            is_plain: false,
            tier,
            units,
        }
    }

    /// Refunds the last request that passed, at the daemon that let it pass.
    pub fn refund(&mut self, at: usize) {
        let (_, units) = self.passed.pop().unwrap();
        self.daemons[at].refund(&CUSTOMER.to_owned(), units, self.now);
    }

    /// Sends a request to the daemon at this index. Returns `true` if it passes.
    pub fn spend(&mut self, at: usize, debit: Debit) -> bool {
        self.spend_of(QUOTA, at, debit)
    }

    /// The same under other figures.
    pub fn spend_of(&mut self, quota: Quota, at: usize, debit: Debit) -> bool {
        let spent = self.daemons[at].spend(&CUSTOMER.to_owned(), quota, debit, self.now);
        if spent.is_ok() {
            self.passed.push((self.now, debit.units));
        }
        spent.is_ok()
    }

    /// Each daemon reports to all others for which `reaches(from, to)` returns `true`.
    pub fn exchange_reports(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        for from in 0..self.daemons.len() {
            let spent = self.daemons[from].spent(self.now);
            for to in (0..self.daemons.len()).filter(|to| *to != from) {
                if reaches(from, to) {
                    self.daemons[to].merge_spent(&format!("vm{from}"), 1, &spent, self.now);
                }
            }
        }
    }

    /// Sends three times the quota for `time`, evenly to all daemons, which report to the others
    /// for which `reaches(from, to)` returns `true`.
    pub fn apply_load(&mut self, time: Duration, reaches: impl Fn(usize, usize) -> bool) {
        let until = self.now + time;
        let mut at = 0;
        while self.now < until {
            let units_per_step = QUOTA.per_s * 3.0 * REPORT_INTERVAL.as_secs_f64();
            for _ in 0..(units_per_step / REQUEST_TOKENS as f64) as usize {
                at = (at + 1) % self.daemons.len();
                self.spend(at, Self::debit(0, REQUEST_TOKENS));
            }
            self.exchange_reports(&reaches);
            self.now += REPORT_INTERVAL;
        }
    }

    /// Maximum number of units that passed in any window of this length.
    pub fn max_passed_in(&self, window: Duration) -> u64 {
        let starts = self.passed.iter().map(|(at, _)| *at);
        let in_window = |start: Instant| {
            let passed = self.passed.iter();
            let passed = passed.filter(|(at, _)| *at >= start && *at < start + window);
            passed.map(|(_, units)| units).sum()
        };
        starts.map(in_window).max().unwrap_or(0)
    }
}

/// Units that the quota allows in a window.
pub fn allowed(window: Duration) -> f64 {
    QUOTA.per_s * window.as_secs_f64() + QUOTA.burst
}

/// Window over which the units that passed are summed.
pub const WINDOW: Duration = Duration::from_secs(8);
