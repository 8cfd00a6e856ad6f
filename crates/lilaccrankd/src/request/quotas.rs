//! The quotas of customers at this daemon, and what they count.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use lilaccrank::backoff;
use lilaccrank::cells::Cell;
use lilaccrank::document::{Customer, Quota, QuotaUnit};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::{CustomerId, Incarnation, Tier, VmId};
use lilaccrank::quota::{self, CellDemand, Debit, Spent};
use lilaccrank::request::Facts;

use crate::callers::refusal::{Refusal, Result};

/// Shortest time after which a caller over its quota is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(200);

/// The quotas at this daemon.
pub struct Quotas {
    inner: RefCell<quota::Quotas>,
}

/// A request that wants to pass.
#[derive(Clone, Copy, Debug)]
pub struct Wanting<'a> {
    /// Whose it is.
    pub customer: Option<&'a Customer>,
    /// What it counts by.
    pub facts: &'a Facts,
    /// What logs call it.
    pub request: &'a str,
    /// Its tier.
    pub tier: Tier,
}

/// What a request took out of its customer's quota.
#[derive(Clone, Debug)]
pub struct Charge {
    /// Whether little is left, so that other daemons have to hear of it at once.
    pub is_short: bool,
    customer: CustomerId,
    units: u64,
}

impl Quotas {
    /// Nothing is known; `assumed` other daemons are taken to be there until they are heard.
    #[must_use]
    pub fn new(assumed: usize, reserve: f64) -> Self {
        let inner = quota::Quotas::new(assumed, Instant::now());
        Self {
            inner: RefCell::new(inner.with_reserve(reserve)),
        }
    }

    /// Takes a request out of its customer's quota; `None` if it has none.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::RateLimited`] beyond the quota.
    pub fn charge(&self, wanting: Wanting<'_>) -> Result<Option<Charge>> {
        let customer = wanting.customer.and_then(|c| Some((c, c.quota?)));
        let Some((customer, quota)) = customer else {
            return Ok(None);
        };
        let tier = wanting.tier;
        let units = units(&quota, wanting.facts);
        let mut inner = self.inner.borrow_mut();
        let wish = Debit { tier, units };
        let spent = inner.spend(&customer.id, quota, wish, Instant::now());
        let is_short = spent.map_err(|e| {
            log::info!(
                customer = customer.id,
                left:% = e.balance.round(),
                max_tokens = wanting.facts.max_tokens,
                part:% = e.share,
                prompt_tokens = wanting.facts.prompt_tokens,
                request = wanting.request,
                retry_ms = e.retry_after.as_millis() as u64,
                tier,
                units,
                wanted:% = e.required.round();
                "beyond the quota"
            );
            // Who was refused together should not come back together.
            let after = e.retry_after.max(SHORTEST_RETRY);
            let after = after + backoff::full_jitter(after);
            Refusal::new(ErrorKind::RateLimited, "your quota is used up").retry_after(after)
        })?;
        Ok(Some(Charge {
            is_short,
            customer: customer.id.clone(),
            units,
        }))
    }

    /// Gives back what a request took that did not run.
    pub fn refund(&self, charge: &Charge) {
        let mut inner = self.inner.borrow_mut();
        inner.refund(&charge.customer, charge.units, Instant::now());
    }

    /// Has to be called often, see [`quota::Quotas::tick`].
    pub fn look(&self) {
        self.inner.borrow_mut().tick(Instant::now());
    }

    /// Sets the cell, and all daemons that are known to live.
    pub fn set_cell(&self, cell: &Cell, live: &IndexSet<VmId>) {
        let mut inner = self.inner.borrow_mut();
        inner.set_cell(cell.id(), cell.peers(), live, Instant::now());
    }

    /// Sets the time between two words of another cell.
    pub fn set_pace(&self, pace: Duration) {
        self.inner.borrow_mut().set_report_interval(pace);
    }

    /// What the other daemons of the cell are to know by now.
    #[must_use]
    pub fn news(&self) -> Vec<(CustomerId, Spent)> {
        self.inner.borrow_mut().report(Instant::now())
    }

    /// What all daemons are to know of what is asked of this cell.
    #[must_use]
    pub fn cell_demand(&self) -> CellDemand<CustomerId> {
        self.inner.borrow_mut().cell_demand(Instant::now())
    }

    /// Takes in what is asked of a cell.
    pub fn heard_cell(&self, demand: CellDemand<CustomerId>) {
        self.inner
            .borrow_mut()
            .merge_cell_demand(demand, Instant::now());
    }

    /// Takes in what another daemon of the cell let pass.
    pub fn heard(&self, vm: &VmId, incarnation: Incarnation, spent: &[(CustomerId, Spent)]) {
        let mut inner = self.inner.borrow_mut();
        inner.merge_spent(vm, incarnation, spent, Instant::now());
    }

    /// Another daemon ends.
    pub fn left(&self, vm: &VmId) {
        self.inner.borrow_mut().remove_peer(vm);
    }
}

/// What a request counts as.
fn units(quota: &Quota, facts: &Facts) -> u64 {
    match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens => {
            let tokens = u64::from(facts.prompt_tokens) + u64::from(facts.max_tokens);
            match tokens {
                0 => quota.plain_tokens.into(),
                tokens => tokens,
            }
        }
    }
}
