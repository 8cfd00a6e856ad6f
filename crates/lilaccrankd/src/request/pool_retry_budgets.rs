//! Retry budgets: bound the requests that are sent to a second target, as a share of all requests.
//!
//! Each daemon spends what its own requests earn and its part of a shared reserve, so that all
//! daemons together stay within the bounds without coordination.
//!
//! The number of parts follows the number of members. With a fixed ten parts, seventy daemons would
//! save up seven times the reserve and spend it within seconds on a pool that refuses requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use lilaccrank::ids::PoolId;
use lilaccrank::retry_budget::{RetryBudgets, Settings};

use crate::daemon::Daemon;
use crate::settings::Retries;

/// Parts of the reserve for each member. What is not divided is what restarted daemons start with.
const PARTS_PER_MEMBER: f64 = 1.1;
/// Number of kills of all daemons, within the time over which retries are judged, that the reserve covers.
const KILLS: f64 = 2.0;

/// Retry budgets of this daemon, by pool.
pub struct PoolRetryBudgets {
    budgets: RefCell<RetryBudgets>,
    /// Least number of parts, since some members may not be known yet.
    min_parts: f64,
    /// Reserve of all daemons together.
    reserve: f64,
}

impl PoolRetryBudgets {
    /// Creates budgets from the settings.
    #[must_use]
    pub fn new(cfg: &Retries) -> Self {
        let settings = Settings {
            per_second: 0.0,
            capacity: 0.0,
            initial: 0.0,
            ratio: cfg.share,
        };
        let budgets = Self {
            budgets: RefCell::new(RetryBudgets::new(settings)),
            min_parts: f64::from(cfg.daemons.max(1)),
            reserve: cfg.reserve,
        };
        budgets.set_member_count(1);
        budgets
    }

    /// Divides the reserve for `members` members.
    ///
    /// A kill of all forgets what each has spent of its part. So that all lives together stay within the reserve, a
    /// daemon starts with its share of what is not divided.
    pub fn set_member_count(&self, members: usize) {
        let members = members.max(1) as f64;
        let capacity = self.reserve / (members * PARTS_PER_MEMBER).max(self.min_parts);
        let undivided = self.reserve - members * capacity;
        let initial = (undivided / members / KILLS).min(capacity);
        self.budgets.borrow_mut().set_limits(capacity, initial);
    }

    /// Counts a first send, which earns a share of a retry.
    pub fn record_request(&self, pool: &PoolId) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.get(pool, Instant::now()).record_call();
    }

    /// Returns `true` if the budget of the pool allows a retry.
    pub fn has_budget(&self, pool: &PoolId) -> bool {
        let now = Instant::now();
        self.budgets.borrow_mut().get(pool, now).has_retry(now)
    }

    /// Takes one retry from the budget of the pool. Returns `false` if there is none.
    #[must_use]
    pub fn try_retry(&self, pool: &PoolId) -> bool {
        let now = Instant::now();
        self.budgets.borrow_mut().get(pool, now).try_retry(now)
    }

    fn give_back(&self, pool: &PoolId) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.get(pool, Instant::now()).give_back();
    }
}

/// A retry taken from a budget. Dropping it without [`spend`](Self::spend) gives it back, as when its
/// request is cancelled while it waits for a target.
pub struct RetryPermit {
    daemon: Rc<Daemon>,
    is_spent: bool,
    pool: PoolId,
}

impl RetryPermit {
    /// Takes a retry from the budget of the pool. Returns `None` and counts the denial if there is
    /// none.
    #[must_use]
    pub fn take(daemon: &Rc<Daemon>, pool: &PoolId) -> Option<Self> {
        if !daemon.retry_budgets.try_retry(pool) {
            daemon.metrics.second_sends_denied.inc();
            return None;
        }
        Some(Self {
            daemon: Rc::clone(daemon),
            is_spent: false,
            pool: pool.clone(),
        })
    }

    /// Records that the retry is made.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.daemon.retry_budgets.give_back(&self.pool);
        }
    }
}
