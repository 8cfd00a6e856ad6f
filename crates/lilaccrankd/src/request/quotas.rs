//! The quotas of customers at this daemon, and what they count.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use lilaccrank::backoff;
use lilaccrank::cells::Cell;
use lilaccrank::document::{Customer, Quota, QuotaUnit};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::{CustomerId, Incarnation, Tier, VmId};
use lilaccrank::quota::{self, CellDemand, Spent, Wish};
use lilaccrank::request::Facts;

use crate::callers::refusal::{Refusal, Result};

/// Shortest time after which a caller over its quota is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The quotas at this daemon.
pub struct Quotas {
    inner: RefCell<quota::Quotas>,
}

/// A request that wants to pass.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest<'a> {
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
    pub is_nearly_exhausted: bool,
    customer: CustomerId,
    units: u64,
}

impl Quotas {
    /// Nothing is known; `assumed` other daemons are taken to be there until they are heard.
    #[must_use]
    pub fn new(assumed_peers: usize, reserve: f64) -> Self {
        let inner = quota::Quotas::new(assumed_peers, Instant::now());
        Self {
            inner: RefCell::new(inner.with_reserve(reserve)),
        }
    }

    /// Takes a request out of its customer's quota; `None` if it has none.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::RateLimited`] beyond the quota.
    pub fn charge(&self, req: QuotaRequest<'_>) -> Result<Option<Charge>> {
        let customer = req.customer.and_then(|c| Some((c, c.quota?)));
        let Some((customer, quota)) = customer else {
            return Ok(None);
        };
        let tier = req.tier;
        let units = units(&quota, req.facts);
        let mut inner = self.inner.borrow_mut();
        let debit = Wish { tier, units };
        let spent = inner.spend(&customer.id, quota, debit, Instant::now());
        let is_nearly_exhausted = spent.map_err(|e| {
            log::info!(
                customer = customer.id,
                left:% = e.left.round(),
                max_tokens = req.facts.max_tokens,
                part:% = e.part,
                prompt_tokens = req.facts.prompt_tokens,
                request = req.request,
                retry_ms = e.retry_after.as_millis() as u64,
                tier,
                units,
                wanted:% = e.wanted.round();
                "beyond the quota"
            );
            // Who was refused together should not come back together.
            let after = e.retry_after.max(MIN_RETRY_AFTER);
            let after = after + backoff::full_jitter(after);
            Refusal::new(ErrorKind::RateLimited, "your quota is used up").retry_after(after)
        })?;
        Ok(Some(Charge {
            is_nearly_exhausted,
            customer: customer.id.clone(),
            units,
        }))
    }

    /// Gives back what a request took that did not run.
    pub fn refund(&self, charge: &Charge) {
        let mut inner = self.inner.borrow_mut();
        inner.refund(&charge.customer, charge.units, Instant::now());
    }

    /// Has to be called often, see [`quota::Quotas::look`].
    pub fn tick(&self) {
        self.inner.borrow_mut().look(Instant::now());
    }

    /// Sets the cell, and all daemons that are known to live.
    pub fn set_cell(&self, cell: &Cell, live: &IndexSet<VmId>) {
        let mut inner = self.inner.borrow_mut();
        inner.set_cell(cell.id(), cell.mates(), live, Instant::now());
    }

    /// Sets the time between two words of another cell.
    pub fn set_report_interval(&self, report_interval: Duration) {
        self.inner.borrow_mut().set_pace(report_interval);
    }

    /// What the other daemons of the cell are to know by now.
    #[must_use]
    pub fn report(&self) -> Vec<(CustomerId, Spent)> {
        self.inner.borrow_mut().news(Instant::now())
    }

    /// What all daemons are to know of what is asked of this cell.
    #[must_use]
    pub fn cell_demand(&self) -> CellDemand<CustomerId> {
        self.inner.borrow_mut().cell_demand(Instant::now())
    }

    /// Takes in what is asked of a cell.
    pub fn merge_cell_demand(&self, demand: CellDemand<CustomerId>) {
        self.inner.borrow_mut().heard_cell(demand, Instant::now());
    }

    /// Takes in what another daemon of the cell let pass.
    pub fn merge_spent(&self, vm: &VmId, incarnation: Incarnation, spent: &[(CustomerId, Spent)]) {
        let mut inner = self.inner.borrow_mut();
        inner.heard(vm, incarnation, spent, Instant::now());
    }

    /// Another daemon ends.
    pub fn remove_peer(&self, vm: &VmId) {
        self.inner.borrow_mut().left(vm);
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
