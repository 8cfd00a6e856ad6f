//! How often requests are sent to a second target, as a share of all requests.
//!
//! Each daemon spends what its own requests earn, and its part of the reserve, so that all of
//! them together stay within the bounds without a word to each other.
//!
//! The parts follow the members: with parts for ten, seventy daemons would together save up seven
//! times the reserve, and spend it within seconds on a pool that turns them away.

use std::cell::RefCell;
use std::time::Instant;

use lilaccrank::ids::PoolId;
use lilaccrank::retry_budget::{RetryBudgets, Settings};

use crate::daemon::Daemon;
use crate::settings::Retries;

/// Parts of the reserve for each member. A daemon that starts anew has its part whole again: what
/// is left over is for one in ten that do.
const PARTS: f64 = 1.1;

/// Budgets of second sends, by pool.
pub struct SecondSends {
    budgets: RefCell<RetryBudgets>,
    /// Parts of the reserve at least, for members that are not known yet.
    fewest_parts: f64,
    /// Of all daemons.
    reserve: f64,
}

impl SecondSends {
    /// Budgets as the settings have them.
    #[must_use]
    pub fn new(cfg: &Retries) -> Self {
        let fewest_parts = f64::from(cfg.daemons.max(1));
        let settings = Settings {
            per_second: 0.0,
            capacity: cfg.reserve / fewest_parts,
            ratio: cfg.share,
        };
        Self {
            budgets: RefCell::new(RetryBudgets::new(settings)),
            fewest_parts,
            reserve: cfg.reserve,
        }
    }

    /// The members are now so many.
    pub fn divide(&self, members: usize) {
        let parts = (members as f64 * PARTS).max(self.fewest_parts);
        self.budgets.borrow_mut().set_capacity(self.reserve / parts);
    }

    /// Counts a request.
    pub fn first(&self, pool: &PoolId) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.get(pool, Instant::now()).record_call();
    }

    /// Whether there is a second send in the budget.
    pub fn has(&self, pool: &PoolId) -> bool {
        let now = Instant::now();
        self.budgets.borrow_mut().get(pool, now).has_retry(now)
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
