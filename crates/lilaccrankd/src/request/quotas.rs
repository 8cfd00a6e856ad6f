//! Quotas of customers at this daemon, and the units that requests cost.

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

/// Shortest `retry_after` for a request over its quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Quotas of all customers at this daemon.
pub struct Quotas {
    inner: RefCell<quota::Quotas>,
}

/// A request that is charged to a quota.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest<'a> {
    /// Customer that sent it; `None` for an anonymous caller.
    pub customer: Option<&'a Customer>,
    /// Facts that determine its cost.
    pub facts: &'a Facts,
    /// Id of the request in logs.
    pub request: &'a str,
    /// Tier of the request.
    pub tier: Tier,
}

/// What a request took from its customer's quota.
#[derive(Clone, Debug)]
pub struct Charge {
    /// Whether the quota is nearly used up, so that other daemons must learn of it at once.
    pub is_nearly_exhausted: bool,
    customer: CustomerId,
    units: u64,
}

impl Quotas {
    /// Creates empty quotas of the daemon `incarnation`. `assumed_peers` other daemons are assumed until reports arrive;
    /// `reserve` is added to each burst, see [`quota::Quotas::with_reserve`]; `window` is the time over
    /// which quotas are judged.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        assumed_peers: usize,
        reserve: f64,
        window: Duration,
    ) -> Self {
        let inner = quota::Quotas::new(assumed_peers, Instant::now());
        let inner = inner.with_incarnation(incarnation);
        Self {
            inner: RefCell::new(inner.with_reserve(reserve).with_window(window)),
        }
    }

    /// Puts the quotas of a new configuration in force.
    pub fn adopt(&self, customers: &[Customer]) {
        let quotas = customers.iter();
        let quotas = quotas.filter_map(|customer| Some((&customer.id, customer.quota?)));
        let mut inner = self.inner.borrow_mut();
        inner.adopt_all(quotas, Instant::now());
    }

    /// Charges a request to its customer's quota; `None` if the customer has no quota.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::RateLimited`] if the quota is used up.
    pub fn charge(&self, req: QuotaRequest<'_>) -> Result<Option<Charge>> {
        let customer = req.customer.and_then(|c| Some((c, c.quota?)));
        let Some((customer, quota)) = customer else {
            return Ok(None);
        };
        let tier = req.tier;
        let debit = debit(&quota, req);
        let units = debit.units;
        let mut inner = self.inner.borrow_mut();
        let spent = inner.spend(&customer.id, quota, debit, Instant::now());
        let is_nearly_exhausted = spent.map_err(|e| {
            log::info!(
                customer = customer.id,
                left:% = e.balance.round(),
                max_tokens = req.facts.max_tokens,
                part:% = e.share,
                prompt_tokens = req.facts.prompt_tokens,
                request = req.request,
                retry_ms = e.retry_after.as_millis() as u64,
                tier,
                units,
                wanted:% = e.required.round();
                "beyond the quota"
            );
            // The jitter keeps requests that were refused together from returning together.
            let after = e.retry_after.max(MIN_RETRY_AFTER);
            let after = after + backoff::full_jitter(after);
            let message = match e.is_too_large {
                true => "the request is larger than your quota",
                false => "your quota is used up",
            };
            Refusal::new(ErrorKind::RateLimited, message).retry_after(after)
        })?;
        Ok(Some(Charge {
            is_nearly_exhausted,
            customer: customer.id.clone(),
            units,
        }))
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&self, charge: &Charge) {
        let mut inner = self.inner.borrow_mut();
        inner.refund(&charge.customer, charge.units, Instant::now());
    }

    /// Must be called regularly, see [`quota::Quotas::tick`].
    pub fn tick(&self) {
        self.inner.borrow_mut().tick(Instant::now());
    }

    /// Sets this daemon's cell and the daemons that are known to be live.
    pub fn set_cell(&self, cell: &Cell, live: &IndexSet<VmId>) {
        let mut inner = self.inner.borrow_mut();
        inner.set_cell(cell.id(), cell.peers(), live, Instant::now());
    }

    /// Sets the time between two reports of another cell.
    pub fn set_report_interval(&self, report_interval: Duration) {
        self.inner.borrow_mut().set_report_interval(report_interval);
    }

    /// Returns the spending that is due to be reported to the other daemons of the cell.
    #[must_use]
    pub fn report(&self) -> Vec<(CustomerId, Spent)> {
        self.inner.borrow_mut().report(Instant::now())
    }

    /// Returns the demand of this cell, for all daemons.
    #[must_use]
    pub fn cell_demand(&self) -> CellDemand<CustomerId> {
        self.inner.borrow_mut().cell_demand(Instant::now())
    }

    /// Returns `true` while the demand on this daemon is to be reported at once.
    #[must_use]
    pub fn has_surge(&self) -> bool {
        self.inner.borrow().has_surge()
    }

    /// Returns the demand of this cell if it is to be reported at once, for all daemons.
    #[must_use]
    pub fn surge_demand(&self) -> Option<CellDemand<CustomerId>> {
        self.inner.borrow_mut().surge_demand(Instant::now())
    }

    /// Merges the reported demand of a cell.
    pub fn merge_cell_demand(&self, demand: CellDemand<CustomerId>) {
        self.inner
            .borrow_mut()
            .merge_cell_demand(demand, Instant::now());
    }

    /// Merges the spending that another daemon of the cell reported.
    pub fn merge_spent(&self, vm: &VmId, incarnation: Incarnation, spent: &[(CustomerId, Spent)]) {
        let mut inner = self.inner.borrow_mut();
        inner.merge_spent(vm, incarnation, spent, Instant::now());
    }

    /// Removes a daemon that leaves.
    pub fn remove_peer(&self, vm: &VmId) {
        self.inner.borrow_mut().remove_peer(vm);
    }
}

/// What a request takes from the quota.
fn debit(quota: &Quota, req: QuotaRequest<'_>) -> Debit {
    let facts = req.facts;
    let tokens = u64::from(facts.prompt_tokens) + u64::from(facts.max_tokens);
    let is_plain = quota.unit == QuotaUnit::Tokens && tokens == 0;
    let units = match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens if is_plain => quota.plain_tokens,
        QuotaUnit::Tokens => tokens,
    };
    Debit {
        is_plain,
        tier: req.tier,
        units,
    }
}
