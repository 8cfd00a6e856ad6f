//! Computes the cell's shares of the rate limits that targets advertise.

use std::cell::RefCell;

use indexmap::IndexMap;
use lilaccrank::cells::CellId;
use lilaccrank::dispatch::rate_limit::{self, Share};
use lilaccrank::document::Pool;
use lilaccrank::target_instance::InstanceDigest;

use crate::daemon::Daemon;
use crate::pools::server;

/// Requests per second, by target.
type Rates = IndexMap<InstanceDigest, f64>;
/// Shares of the cell, by target.
type Shares = IndexMap<InstanceDigest, Share>;

/// Tracks the rate limits that were applied to the dispatchers of this daemon.
#[derive(Default)]
pub struct RateLimits {
    /// Rates and cell as last applied; `None` if the targets have changed since.
    applied: RefCell<Option<(Rates, CellId)>>,
}

impl RateLimits {
    /// Records that the dispatchers have other targets than before.
    pub fn targets_changed(&self) {
        self.applied.take();
    }

    /// Calls `set` with the shares of each pool if they may have changed.
    pub fn apply(&self, daemon: &Daemon, set: impl FnOnce(&dyn Fn(&Pool) -> Shares)) {
        let current = (daemon.advisories.rate_limits(), server::cell(daemon).id());
        if self.applied.borrow().as_ref() == Some(&current) {
            return;
        }
        set(&|pool| shares(daemon, pool, &current.0));
        *self.applied.borrow_mut() = Some(current);
    }
}

fn shares(daemon: &Daemon, pool: &Pool, rates: &Rates) -> Shares {
    let cell = server::cell(daemon);
    let sharing_cells = cell.cells_sharing_targets(server::near_targets(daemon, pool).len());
    let shares = rates.iter().map(|(target, per_s)| {
        let share = rate_limit::share(*per_s, *target, &sharing_cells, cell.id());
        (*target, share)
    });
    shares.collect()
}
