//! How often requests are sent to a second target, as a share of all requests.
//!
//! Each daemon spends what its own requests earn, and its part of the reserve, so that all of
//! them together stay within the bounds without a word to each other.

use std::cell::RefCell;
use std::time::Instant;

use lilaccrank::ids::PoolId;
use lilaccrank::retry_budget::{RetryBudgets, Settings};

use crate::daemon::Daemon;

/// Budgets of second sends, by pool.
pub struct SecondSends {
    budgets: RefCell<RetryBudgets>,
}

impl SecondSends {
    /// A budget of `share` second sends for each first one, and a part of `reserve`.
    #[must_use]
    pub fn new(share: f64, reserve: f64) -> Self {
        let settings = Settings {
            per_second: 0.0,
            reserve,
            share,
        };
        Self {
            budgets: RefCell::new(RetryBudgets::new(settings)),
        }
    }

    /// Counts a request.
    pub fn first(&self, pool: &PoolId) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.get(pool, Instant::now()).record_call();
    }

    /// Takes a second send out of the budget; false if there is none.
    pub fn take(&self, daemon: &Daemon, pool: &PoolId) -> bool {
        let now = Instant::now();
        let allowed = self.budgets.borrow_mut().get(pool, now).try_retry(now);
        if !allowed {
            daemon.metrics.second_sends_denied.inc();
        }
        allowed
    }
}
