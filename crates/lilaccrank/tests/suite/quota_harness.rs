//! Daemons that tell each other what they let pass of a quota, and callers that send more than it allows.

use std::time::{Duration, Instant};

use lilaccrank::document::{Quota, QuotaUnit};
use lilaccrank::quota::{Debit, Quotas};

pub const CUSTOMER: &str = "depot";
/// Time between two messages of a daemon.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Tokens of one request: a review of a contract.
pub const REQUEST_TOKENS: u64 = 3_000;
/// A hundred thousand tokens a second, and as many at once.
pub const QUOTA: Quota = Quota {
    burst: 100_000.0,
    per_s: 100_000.0,
    plain_tokens: 200,
    unit: QuotaUnit::Tokens,
};

/// Daemons that get more requests than the quota allows, in turn.
pub struct Fleet {
    pub daemons: Vec<Quotas>,
    pub now: Instant,
    pub passed: Vec<(Instant, u64)>,
    pub start: Instant,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        let start = Instant::now();
        Self {
            daemons: (0..count).map(|_| Quotas::new(3, start)).collect(),
            now: start,
            passed: Vec::new(),
            start,
        }
    }

    pub fn debit(tier: u8, units: u64) -> Debit {
        Debit { tier, units }
    }

    /// Gives the last request that passed back at the daemon that let it pass.
    pub fn refund(&mut self, at: usize) {
        let (_, units) = self.passed.pop().unwrap();
        self.daemons[at].refund(&CUSTOMER.to_owned(), units, self.now);
    }

    pub fn spend(&mut self, at: usize, debit: Debit) -> bool {
        let spent = self.daemons[at].spend(&CUSTOMER.to_owned(), QUOTA, debit, self.now);
        if spent.is_ok() {
            self.passed.push((self.now, debit.units));
        }
        spent.is_ok()
    }

    /// Each daemon of `tellers` tells all those that `hears` lets it reach.
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

    /// Three times the quota comes for `time`, evenly over the daemons; each tells the others that
    /// `hears` lets it reach.
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

    /// The most that passed in any window of this length.
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

/// What a window may hold of the quota alone.
pub fn allowed(window: Duration) -> f64 {
    QUOTA.per_s * window.as_secs_f64() + QUOTA.burst
}

pub const WINDOW: Duration = Duration::from_secs(8);
