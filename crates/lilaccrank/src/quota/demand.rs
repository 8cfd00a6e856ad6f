//! Divides quotas among cells by the demand on each.
//!
//! In a large fleet, a bucket shared by all daemons would be overspent by whatever arrives before
//! they hear from each other. The shares of the cells in the demand hardly change when a customer
//! sends more to all of them, so each cell stays within its own share. One daemon of each cell
//! reports the cell's demand to all others, so the number of messages grows with the number of
//! cells and not with the square of the number of daemons.
//!
//! The shares add up to the quota only if all daemons compute them from the same figures. A cell
//! that used its current demand and the seconds-old reports of the others would take a multiple of
//! its share at each surge, so a cell uses its own last report, too. A cell that is not heard from
//! is assumed to have as much demand per daemon as the others. If the last reports of such cells
//! were used, a partitioned daemon would see its own demand grow against theirs.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::cells::CellId;
use crate::ids::{CustomerId, VmId};

/// Time between two samples of the demand. Requests of one customer arrive in bursts, but over one
/// second a few dozen daemons see similar numbers of them.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the newest sample in the exponential moving average of the demand.
const EWMA_WEIGHT: f64 = 0.5;
/// The same for a sample below the average: callers that have left to another cell need the share there, and a
/// demand that rises again is reported at once.
const FALLING_EWMA_WEIGHT: f64 = 0.75;
/// Fraction of a quota that is divided evenly by number of daemons, so that a cell without demand
/// so far has a share to start with.
const EVEN_FRACTION: f64 = 0.2;
/// The same for a customer whose demand comes up to its quota: the even fraction would take from cells what they
/// need.
const MIN_EVEN_FRACTION: f64 = 0.05;
/// Time after a start or a change of the cell over which shares move from even to proportional. The
/// demand of most cells is known after two samples and is mostly noise before that: in a fleet that
/// had just started, a cell that had heard only from the others took a fortieth of each quota for
/// two seconds.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time for which a lost daemon keeps its share, since it may be partitioned and still spending.
/// The share of a VM that was replaced must become available soon.
const SHARE_RETENTION: Duration = Duration::from_secs(20);
/// Number of report intervals without a report after which a cell's last report is stale.
const STALE_AFTER_INTERVALS: f64 = 2.5;
/// Factor by which a customer's demand on a daemon has to exceed the reported one of its cell for a report at once.
const SURGE_FACTOR: f64 = 1.25;
/// Time for which the demand of a surge counts. By then the average has followed.
const SURGE_TIME: Duration = Duration::from_secs(2);
/// Shortest time between two reports of surges.
const SURGE_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of a cell's even share of a quota from which the demand of that customer is reported.
/// Of customers that are not reported, cells assume a demand of this fraction.
const REPORT_THRESHOLD: f64 = 0.25;

/// Report of the demand on one cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CellDemand<C> {
    /// The cell.
    pub cell: CellId,
    /// Number of daemons in the cell.
    pub members: u32,
    /// Units per second requested by each customer, without those of low demand.
    pub rates: Vec<(C, u32)>,
}

/// Demand on all cells.
#[derive(Debug)]
pub(super) struct Demand {
    cell: CellId,
    /// Last report of each cell by its index, this cell included.
    cells: IndexMap<u16, CellReport>,
    /// Live daemons, this one included.
    live: IndexSet<VmId>,
    /// Daemons that are no longer live but announced no shutdown, with the time of their loss.
    lost: IndexMap<VmId, Instant>,
    /// Number of other daemons in the cell.
    cell_peers: usize,
    /// Demand by daemon of the cell; the key of this daemon is `None`.
    rates_by_daemon: IndexMap<Option<VmId>, IndexMap<CustomerId, Rate>>,
    /// Time between two demand reports of a cell.
    report_interval: Duration,
    last_sample: Instant,
    /// Demand on this cell that rose faster than its average, with the time at which it was noticed.
    surges: IndexMap<CustomerId, (f64, Instant)>,
    /// Set while a surge at this daemon is to be reported.
    has_new_surge: bool,
    last_surge_report: Option<Instant>,
    /// Time at which this daemon started or its cell last changed.
    cell_changed: Instant,
}

/// The last report of a cell.
#[derive(Debug)]
struct CellReport {
    last_heard: Instant,
    members: u32,
    rates: IndexMap<CustomerId, f64>,
}

/// Demand of one customer at one daemon.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// Units requested since the daemon started.
    asked: u64,
    /// Moving average in units per second.
    per_s: f64,
}

impl Rate {
    fn add_sample(&mut self, asked: u64, elapsed: Duration) {
        let new = asked.saturating_sub(self.asked) as f64 / elapsed.as_secs_f64();
        let weight = match new < self.per_s {
            true => FALLING_EWMA_WEIGHT,
            false => EWMA_WEIGHT,
        };
        self.per_s += weight * (new - self.per_s);
        self.asked = self.asked.max(asked);
    }
}

impl Demand {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            cell: CellId::default(),
            cells: IndexMap::new(),
            live: IndexSet::new(),
            lost: IndexMap::new(),
            cell_peers: 0,
            rates_by_daemon: IndexMap::new(),
            report_interval: SAMPLE_INTERVAL,
            last_sample: now,
            surges: IndexMap::new(),
            has_new_surge: false,
            last_surge_report: None,
            cell_changed: now,
        }
    }

    /// Sets the time between two demand reports of a cell.
    pub(super) fn set_report_interval(&mut self, report_interval: Duration) {
        self.report_interval = report_interval;
    }

    /// Sets the cell, the number of its other daemons, and all live daemons.
    pub(super) fn set_cell(
        &mut self,
        cell: CellId,
        cell_peers: usize,
        live: &IndexSet<VmId>,
        now: Instant,
    ) {
        if cell_peers != self.cell_peers || cell != self.cell {
            self.cell_changed = now;
        }
        if cell.count != self.cell.count {
            self.cells.clear();
        }
        self.cell = cell;
        self.cell_peers = cell_peers;
        let lost = self.live.difference(live).cloned();
        self.lost.extend(lost.map(|vm| (vm, now)));
        self.lost.retain(|vm, _| !live.contains(vm));
        self.live.clone_from(live);
    }

    /// Samples the units requested from this daemon and the others of its cell, each counted since
    /// its start.
    pub(super) fn tick<'a>(
        &mut self,
        own: impl Iterator<Item = (&'a CustomerId, u64)>,
        cell_peers: impl Iterator<Item = (&'a VmId, &'a CustomerId, u64)>,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(self.last_sample);
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        self.last_sample = now;
        self.surges
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < SURGE_TIME);
        self.lost
            .retain(|_, at| now.saturating_duration_since(*at) < SHARE_RETENTION);
        let own = own.map(|(customer, asked)| (None, customer, asked));
        let cell_peers =
            cell_peers.map(|(vm, customer, asked)| (Some(vm.clone()), customer, asked));
        let mut before = std::mem::take(&mut self.rates_by_daemon);
        for (vm, customer, asked) in own.chain(cell_peers) {
            let known = before
                .get_mut(&vm)
                .and_then(|rates| rates.swap_remove(customer));
            let mut rate = known.unwrap_or(Rate { asked, per_s: 0.0 });
            rate.add_sample(asked, elapsed);
            let rates = self.rates_by_daemon.entry(vm).or_default();
            rates.insert(customer.clone(), rate);
        }
    }

    /// Builds the report of this cell, and merges it like those of other cells. `quota` returns a
    /// customer's quota in units per second.
    pub(super) fn report_own(
        &mut self,
        quota: impl Fn(&CustomerId) -> Option<f64>,
        now: Instant,
    ) -> CellDemand<CustomerId> {
        self.surges
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < SURGE_TIME);
        let even_share = self.even_share();
        let rates = self.customers().into_iter().filter_map(|customer| {
            let cell_rate = self.cell_per_s(customer).max(self.surge_per_s(customer));
            let is_reported = cell_rate > REPORT_THRESHOLD * even_share * quota(customer)?;
            is_reported.then(|| (customer.clone(), cell_rate.min(u32::MAX.into()) as u32))
        });
        let demand = CellDemand {
            cell: self.cell,
            members: u32::try_from(1 + self.cell_peers).unwrap_or(u32::MAX),
            rates: rates.collect(),
        };
        self.store(demand.clone(), now);
        demand
    }

    /// Records the units per second that a customer requests from this daemon, where its quota runs short. A surge
    /// is reported at once: the share of this cell would follow it only after seconds.
    ///
    /// Nothing is reported of a demand that is below what other cells assume of a customer with this quota.
    pub(super) fn note_demand(
        &mut self,
        customer: &CustomerId,
        quota_per_s: f64,
        per_s: f64,
        now: Instant,
    ) {
        let assumed = REPORT_THRESHOLD * self.even_share() * quota_per_s;
        let known = SURGE_FACTOR * self.reported_per_s(customer);
        if self.cell.count < 2 || per_s <= known.max(assumed) {
            return;
        }
        self.surges.insert(customer.clone(), (per_s, now));
        self.has_new_surge = true;
    }

    /// Returns `true` while a surge is to be reported.
    pub(super) fn has_new_surge(&self) -> bool {
        self.has_new_surge
    }

    /// Returns `true` once for each surge that is to be reported.
    pub(super) fn take_surge(&mut self, now: Instant) -> bool {
        let last = self.last_surge_report;
        let is_due =
            last.is_none_or(|at| now.saturating_duration_since(at) >= SURGE_REPORT_INTERVAL);
        if !self.has_new_surge || !is_due {
            return false;
        }
        self.has_new_surge = false;
        self.last_surge_report = Some(now);
        true
    }

    /// Merges the report of a cell. Reports for a different number of cells are out of date.
    pub(super) fn merge(&mut self, demand: CellDemand<CustomerId>, now: Instant) {
        if demand.cell == self.cell {
            // The next report of this daemon must not take back what another one of the cell has noticed.
            for (customer, per_s) in &demand.rates {
                let per_s = f64::from(*per_s);
                if per_s > SURGE_FACTOR * self.cell_per_s(customer) {
                    self.surges.insert(customer.clone(), (per_s, now));
                }
            }
        }
        self.store(demand, now);
    }

    fn store(&mut self, demand: CellDemand<CustomerId>, now: Instant) {
        if demand.cell.count != self.cell.count {
            return;
        }
        let rates = demand.rates.into_iter();
        let report = CellReport {
            last_heard: now,
            members: demand.members,
            rates: rates.map(|(id, per_s)| (id, per_s.into())).collect(),
        };
        self.cells.insert(demand.cell.index, report);
    }

    /// Removes a daemon that announced its shutdown and leaves its share to the others.
    pub(super) fn remove_peer(&mut self, vm: &VmId) {
        self.live.swap_remove(vm);
        self.lost.swap_remove(vm);
        self.rates_by_daemon.swap_remove(&Some(vm.clone()));
    }

    /// Share of a customer's quota of `per_s` units per second that this cell may spend.
    pub(super) fn cell_share(&self, customer: &CustomerId, per_s: f64, now: Instant) -> f64 {
        let even_share = self.even_share();
        if self.cell.count < 2 {
            return even_share;
        }
        let daemon_count = self.daemon_count() as f64;
        // Demand assumed per daemon of a cell that does not report the customer.
        let unreported = REPORT_THRESHOLD * per_s / daemon_count;
        let rate = |report: &CellReport| match report.rates.get(customer) {
            Some(rate) => *rate,
            None => unreported * f64::from(report.members),
        };
        let fresh = self
            .cells
            .values()
            .filter(|report| self.is_fresh(report, now));
        let (members, sum) = fresh.fold((0.0, 0.0), |(members, sum), report| {
            (members + f64::from(report.members), sum + rate(report))
        });
        let own = self.cells.get(&self.cell.index);
        let Some(own) = own.filter(|report| self.is_fresh(report, now)) else {
            return even_share;
        };
        let estimated = sum / members * (daemon_count - members).max(0.0);
        let total = sum + estimated;
        if total <= 0.0 {
            return even_share;
        }
        let age = now.saturating_duration_since(self.cell_changed);
        let settled = (age.as_secs_f64() / SETTLING_TIME.as_secs_f64()).min(1.0);
        let used = total / per_s;
        let demand_weight = used.clamp(1.0 - EVEN_FRACTION, 1.0 - MIN_EVEN_FRACTION) * settled;
        even_share * (1.0 - demand_weight) + demand_weight * rate(own) / total
    }

    /// Number of other daemons in the cell.
    pub(super) fn cell_peers(&self) -> usize {
        self.cell_peers
    }

    /// This cell's share by number of daemons.
    fn even_share(&self) -> f64 {
        (1 + self.cell_peers) as f64 / self.daemon_count() as f64
    }

    /// Number of daemons that may spend.
    fn daemon_count(&self) -> usize {
        (self.live.len() + self.lost.len()).max(1 + self.cell_peers)
    }

    fn is_fresh(&self, report: &CellReport, now: Instant) -> bool {
        now.saturating_duration_since(report.last_heard)
            < self.report_interval.mul_f64(STALE_AFTER_INTERVALS)
    }

    /// Customers with demand on this cell.
    fn customers(&self) -> IndexSet<&CustomerId> {
        let daemons = self.rates_by_daemon.values();
        let sampled = daemons.flat_map(IndexMap::keys);
        sampled.chain(self.surges.keys()).collect()
    }

    /// Units per second of a customer in the last report of this cell.
    fn reported_per_s(&self, customer: &CustomerId) -> f64 {
        let own = self.cells.get(&self.cell.index);
        let rate = own.and_then(|report| report.rates.get(customer));
        rate.copied().unwrap_or_default()
    }

    /// Units per second of a surge on this cell; 0 without one.
    fn surge_per_s(&self, customer: &CustomerId) -> f64 {
        self.surges.get(customer).map_or(0.0, |(per_s, _)| *per_s)
    }

    /// Units per second that a customer requests from this cell.
    fn cell_per_s(&self, customer: &CustomerId) -> f64 {
        let rates = self
            .rates_by_daemon
            .values()
            .filter_map(|rates| rates.get(customer));
        rates.map(|rate| rate.per_s).sum()
    }
}
