//! Retries as a bounded share of calls, for each destination by itself.
//!
//! A fixed number of tries per call multiplies the load on a destination just when it fails.
//! With a budget, retries add at most a set share, however many calls fail.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Share and reserve of retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retries saved up at most.
    pub capacity: f64,
    /// Retries per second besides the share, so that rare calls can be retried as well.
    pub per_second: f64,
    /// Retries per call.
    pub ratio: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 5.0,
            per_second: 0.1,
            ratio: 0.1,
        }
    }
}

/// Budget of one destination.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
    cfg: Settings,
    filled_at: Instant,
}

impl RetryBudget {
    /// A budget with a full reserve.
    #[must_use]
    pub fn new(cfg: Settings, now: Instant) -> Self {
        Self {
            balance: cfg.capacity,
            cfg,
            filled_at: now,
        }
    }

    /// Counts a first try.
    pub fn record_call(&mut self) {
        self.deposit(self.cfg.ratio);
    }

    /// Whether there is a retry in the budget.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.deposit(passed.as_secs_f64() * self.cfg.per_second);
        self.balance >= 1.0
    }

    /// Takes one retry out of the budget; false if there is none.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let allowed = self.has_retry(now);
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }

    fn deposit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.cfg.capacity);
    }

    fn idle_since(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.filled_at)
    }
}

/// How long the budget of an unused destination is kept.
const IDLE_TTL: Duration = Duration::from_secs(600);

/// Budgets by destination.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    budgets: IndexMap<String, RetryBudget>,
    cfg: Settings,
}

impl RetryBudgets {
    /// Budgets that all have these settings.
    #[must_use]
    pub fn new(cfg: Settings) -> Self {
        Self {
            budgets: IndexMap::new(),
            cfg,
        }
    }

    /// Changes how many retries are saved up at most, in all budgets.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.cfg.capacity = capacity;
        for budget in self.budgets.values_mut() {
            budget.cfg.capacity = capacity;
            budget.balance = budget.balance.min(capacity);
        }
    }

    /// The budget of `destination`. Destinations come and go with replaced vms, so a new one
    /// drops those that were last retried long ago.
    pub fn get(&mut self, destination: &str, now: Instant) -> &mut RetryBudget {
        if !self.budgets.contains_key(destination) {
            self.budgets
                .retain(|_, budget| budget.idle_since(now) < IDLE_TTL);
        }
        self.budgets
            .entry(destination.to_owned())
            .or_insert_with(|| RetryBudget::new(self.cfg.clone(), now))
    }
}
