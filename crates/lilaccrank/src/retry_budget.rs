//! Retry budgets, which limit retries to a share of the calls to a destination.
//!
//! A fixed number of attempts per call multiplies the load on a destination exactly when it
//! fails. With a budget, retries add at most a fixed share, however many calls fail.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Settings of a retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of retries that accumulate.
    pub capacity: f64,
    /// Retries that a new budget grants before any call has earned one.
    pub initial: f64,
    /// Retries per second in addition to `ratio`, so that infrequent calls can be retried too.
    pub per_second: f64,
    /// Retries per call.
    pub ratio: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 5.0,
            initial: 5.0,
            per_second: 0.1,
            ratio: 0.1,
        }
    }
}

/// Retry budget of one destination.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that calls have earned.
    balance: f64,
    cfg: Settings,
    filled_at: Instant,
    /// What is left of the retries granted at the start.
    grant: f64,
}

impl RetryBudget {
    /// Creates a budget with the initial retries.
    #[must_use]
    pub fn new(cfg: Settings, now: Instant) -> Self {
        Self {
            balance: 0.0,
            filled_at: now,
            grant: cfg.initial.min(cfg.capacity),
            cfg,
        }
    }

    /// Records the first attempt of a call.
    pub fn record_call(&mut self) {
        self.deposit(self.cfg.ratio);
    }

    /// Returns `true` if the budget allows a retry.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.deposit(passed.as_secs_f64() * self.cfg.per_second);
        self.balance + self.grant >= 1.0
    }

    /// Takes one retry from the budget. Returns `false` if there is none.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let allowed = self.has_retry(now);
        if allowed {
            let granted = self.grant.min(1.0);
            self.grant -= granted;
            self.balance -= 1.0 - granted;
        }
        allowed
    }

    /// Returns a retry that was taken and not made.
    pub fn give_back(&mut self) {
        self.deposit(1.0);
    }

    fn deposit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.cfg.capacity - self.grant);
    }

    fn set_limits(&mut self, capacity: f64, initial: f64) {
        self.cfg.capacity = capacity;
        self.cfg.initial = initial;
        self.grant = self.grant.min(initial);
        self.balance = self.balance.min(capacity - self.grant);
    }

    fn idle_since(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.filled_at)
    }
}

/// Time after which the budget of an unused destination is dropped.
const IDLE_TTL: Duration = Duration::from_secs(600);

/// Retry budgets by destination.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    budgets: IndexMap<String, RetryBudget>,
    cfg: Settings,
}

impl RetryBudgets {
    /// Creates an empty collection whose budgets all get these settings.
    #[must_use]
    pub fn new(cfg: Settings) -> Self {
        Self {
            budgets: IndexMap::new(),
            cfg,
        }
    }

    /// Changes the capacity and the initial retries of all budgets, and drops what budgets have above them.
    pub fn set_limits(&mut self, capacity: f64, initial: f64) {
        self.cfg.capacity = capacity;
        self.cfg.initial = initial;
        for budget in self.budgets.values_mut() {
            budget.set_limits(capacity, initial.min(capacity));
        }
    }

    /// Returns the budget of `destination`. Destinations come and go with replaced VMs, so adding
    /// one drops the budgets that have not been used for `IDLE_TTL`.
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
