//! What customers ask of this cell and of the others, by which cells divide quotas.
//!
//! In a large fleet a bucket for all daemons would be overspent by whatever comes until they hear of each
//! other. The parts that cells have of what is asked hardly change when a customer sends more to all of
//! them, so that each cell stays within its own. One daemon of each cell tells all others what its
//! cell is asked, so that the messages grow with the cells and not with the square of the daemons.
//!
//! Parts add up to the quota only if all daemons divide by the same figures. A cell that knew its own demand
//! at once and that of the others seconds later would take a multiple of its part at each surge; so a cell
//! divides by what it told of itself. A cell that is not heard is taken to be asked as much as the others: by
//! its last word, a daemon that is cut off would find its own demand grown against that of all others.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::cells::CellId;
use crate::ids::{CustomerId, VmId};

/// Time between two samples of what was asked. Requests of one customer come in clumps: over a second
/// a few dozen daemons see a like number of them.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the newest sample.
const EWMA_WEIGHT: f64 = 0.5;
/// Part of the quotas that is divided by the number of daemons, so that a cell of which nothing was
/// asked so far has something to begin with.
const EVEN_FRACTION: f64 = 0.2;
/// Time after a start or a change of the cell until the parts are by demand. What is asked is known
/// of most cells after two samples, and is mostly chance before: of cells that have just started, one
/// that had heard only of the others took a fortieth of its quotas for two seconds.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time for which a daemon that vanished keeps its part: it may be cut off and spending. A vm that was
/// replaced must give its part back soon.
const SHARE_RETENTION: Duration = Duration::from_secs(20);
/// Paces without a word after which a cell counts as not heard.
const STALE_AFTER_INTERVALS: f64 = 2.5;
/// A cell tells of a customer that asks it for more than this part of what it has of the quota by number. Of
/// the others, the cells assume this part.
const REPORT_THRESHOLD: f64 = 0.5;

/// What is asked of one cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CellDemand<C> {
    /// The cell.
    pub cell: CellId,
    /// Its daemons.
    pub members: u32,
    /// Units a second by customer, of those that ask for much.
    pub rates: Vec<(C, u32)>,
}

/// What is asked of all cells.
#[derive(Debug)]
pub(super) struct Demand {
    cell: CellId,
    /// What cells told, this one included, by their index.
    cells: IndexMap<u16, CellReport>,
    /// Daemons that are known to live, this one included.
    live: IndexSet<VmId>,
    /// Daemons that vanished without a farewell.
    lost: IndexMap<VmId, Instant>,
    /// Daemons of the cell beside this one.
    mates: usize,
    /// Units asked of the cell, by daemon; this one has no name.
    rates_by_daemon: IndexMap<Option<VmId>, IndexMap<CustomerId, Rate>>,
    /// Time between two words of a cell.
    report_interval: Duration,
    last_sample: Instant,
    /// When this daemon started or its cell last changed.
    cell_changed: Instant,
}

#[derive(Debug)]
struct CellReport {
    last_heard: Instant,
    members: u32,
    rates: IndexMap<CustomerId, f64>,
}

/// Units asked for.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// Since that daemon started.
    asked: u64,
    per_s: f64,
}

impl Rate {
    fn add_sample(&mut self, asked: u64, elapsed: Duration) {
        let new = asked.saturating_sub(self.asked) as f64 / elapsed.as_secs_f64();
        self.per_s += EWMA_WEIGHT * (new - self.per_s);
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
            mates: 0,
            rates_by_daemon: IndexMap::new(),
            report_interval: SAMPLE_INTERVAL,
            last_sample: now,
            cell_changed: now,
        }
    }

    /// Sets the time between two words of a cell.
    pub(super) fn set_report_interval(&mut self, report_interval: Duration) {
        self.report_interval = report_interval;
    }

    /// Sets the cell, the number of its daemons beside this one, and all daemons that are known to live.
    pub(super) fn set_cell(
        &mut self,
        cell: CellId,
        mates: usize,
        live: &IndexSet<VmId>,
        now: Instant,
    ) {
        if mates != self.mates || cell != self.cell {
            self.cell_changed = now;
        }
        if cell.count != self.cell.count {
            self.cells.clear();
        }
        self.cell = cell;
        self.mates = mates;
        let lost = self.live.difference(live).cloned();
        self.lost.extend(lost.map(|vm| (vm, now)));
        self.lost.retain(|vm, _| !live.contains(vm));
        self.live.clone_from(live);
    }

    /// Takes in all that was asked of this daemon and of the others of its cell since each of them
    /// started.
    pub(super) fn tick<'a>(
        &mut self,
        own: impl Iterator<Item = (&'a CustomerId, u64)>,
        mates: impl Iterator<Item = (&'a VmId, &'a CustomerId, u64)>,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(self.last_sample);
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        self.last_sample = now;
        self.lost
            .retain(|_, at| now.saturating_duration_since(*at) < SHARE_RETENTION);
        let own = own.map(|(customer, asked)| (None, customer, asked));
        let mates = mates.map(|(vm, customer, asked)| (Some(vm.clone()), customer, asked));
        let mut before = std::mem::take(&mut self.rates_by_daemon);
        for (vm, customer, asked) in own.chain(mates) {
            let known = before
                .get_mut(&vm)
                .and_then(|rates| rates.swap_remove(customer));
            let mut rate = known.unwrap_or(Rate { asked, per_s: 0.0 });
            rate.add_sample(asked, elapsed);
            let rates = self.rates_by_daemon.entry(vm).or_default();
            rates.insert(customer.clone(), rate);
        }
    }

    /// What the other daemons are to know of this cell; `quotas` are the customers' quotas in units a second.
    pub(super) fn report_own(
        &mut self,
        quotas: impl Iterator<Item = (CustomerId, f64)>,
        now: Instant,
    ) -> CellDemand<CustomerId> {
        let even_share = self.even_share();
        let rates = quotas.filter_map(|(customer, per_s)| {
            let cell_rate = self.cell_per_s(&customer);
            let is_reported = cell_rate > REPORT_THRESHOLD * even_share * per_s;
            is_reported.then(|| (customer, cell_rate.min(u32::MAX.into()) as u32))
        });
        let demand = CellDemand {
            cell: self.cell,
            members: u32::try_from(1 + self.mates).unwrap_or(u32::MAX),
            rates: rates.collect(),
        };
        self.merge(demand.clone(), now);
        demand
    }

    /// Takes in what a cell told. Words about another division of the fleet are out of date.
    pub(super) fn merge(&mut self, demand: CellDemand<CustomerId>, now: Instant) {
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

    /// A daemon ends, and leaves its part to the others.
    pub(super) fn remove_peer(&mut self, vm: &VmId) {
        self.live.swap_remove(vm);
        self.lost.swap_remove(vm);
        self.rates_by_daemon.swap_remove(&Some(vm.clone()));
    }

    /// The part of a customer's quota of `per_s` units a second that this cell may spend.
    pub(super) fn cell_share(&self, customer: &CustomerId, per_s: f64, now: Instant) -> f64 {
        let even_share = self.even_share();
        if self.cell.count < 2 {
            return even_share;
        }
        let daemon_count = self.daemon_count() as f64;
        // What cells are assumed to be asked of which nothing is told, for each of their daemons.
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
        let demand_weight = (1.0 - EVEN_FRACTION) * settled;
        even_share * (1.0 - demand_weight) + demand_weight * rate(own) / total
    }

    fn even_share(&self) -> f64 {
        (1 + self.mates) as f64 / self.daemon_count() as f64
    }

    /// Daemons that may spend.
    fn daemon_count(&self) -> usize {
        (self.live.len() + self.lost.len()).max(1 + self.mates)
    }

    fn is_fresh(&self, report: &CellReport, now: Instant) -> bool {
        now.saturating_duration_since(report.last_heard)
            < self.report_interval.mul_f64(STALE_AFTER_INTERVALS)
    }

    fn cell_per_s(&self, customer: &CustomerId) -> f64 {
        let rates = self
            .rates_by_daemon
            .values()
            .filter_map(|rates| rates.get(customer));
        rates.map(|rate| rate.per_s).sum()
    }
}
