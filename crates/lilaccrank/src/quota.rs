//! Enforces the quotas of customers across all daemons.
//!
//! Each daemon keeps a token bucket per customer for the whole fleet. It withdraws the units that
//! it lets pass itself and those that other daemons report. So a customer can use its whole rate
//! at one daemon, and no request waits for a reply from another daemon.
//!
//! Lower tiers leave headroom in the bucket for higher ones, so that the urgent requests of a
//! customer at its limit pass, not those that happen to arrive first. Requests that are small
//! against the burst need no headroom, since refusing them would free too little for any other.
//!
//! Only daemons of the same cell report to each other at once; those of other cells are heard from
//! seldom. Each cell therefore has its own share of the quota, which depends on its demand. Where the callers move
//! to another cell, its daemons report the demand at once.
//!
//! Requests of one customer arrive in bursts, and a cell's share of a small quota can be less than
//! one long request. A reserve on top of each burst lets such requests pass as long as the customer
//! is within its quota over a few seconds. For a customer that uses half of 40,000 tokens per
//! second in a fleet of eight cells, 66% of the requests are refused without a reserve and none
//! with a reserve of 36,000 tokens (the test `bursty_requests_within_the_quota`).
//!
//! A daemon that is not heard from may be partitioned and still spending. Both sides leave it its
//! share of the rate, so that the two sides together stay within the quota.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::cells::CellId;
use crate::document::Quota;
use crate::ids::{CustomerId, Incarnation, Tier, VmId};

mod account;
mod demand;
mod recent_demand;

use account::Account;
pub use demand::CellDemand;
use demand::Demand;

/// Result of spending.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Time over which a quota is judged, unless told otherwise.
pub const DEFAULT_WINDOW: Duration = Duration::from_secs(8);

/// Time after its last report from which a peer is stale, and its share is left to it. Peers report
/// four times per second.
const PEER_STALE_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which a peer that is not heard from keeps its share. Partitions between data centres
/// can last for minutes, but the share of a VM that was replaced must become available soon.
const SHARE_RETENTION: Duration = Duration::from_secs(20);
/// Time between two ticks above which this daemon counts as paused. It may never learn what other
/// daemons spent during the pause, so the buckets are not refilled for that time.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time for which the counters of a customer are reported after their last change, since datagrams
/// may be lost.
const REPORT_WINDOW: Duration = Duration::from_millis(1_000);
/// Time without a change after which a customer is skipped when reports are built.
const IDLE_AFTER: Duration = Duration::from_secs(5);
/// Time from its start in which a daemon counts what others spent before it heard of them, if they started with it and
/// can have spent it since then. A kill of all daemons forgets all accounts, and all start at once.
const FIRST_REPORT_TIME: Duration = Duration::from_secs(2);
/// Fraction of the burst that a tier leaves for each tier above it. With three tiers, the last one
/// may use a third of the burst and leaves two thirds.
const HEADROOM_FRACTION_PER_TIER: f64 = 1.0 / 3.0;
/// Maximum fraction of the burst that a tier leaves to the tiers above it.
const MAX_HEADROOM_FRACTION: f64 = 2.0 / 3.0;
/// Fraction of the burst below which a request is small and needs no headroom.
const SMALL_REQUEST_FRACTION: f64 = 0.02;
/// Time between two full reports to the cell, which contain all recently changed counters.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of reports to the cell that carry one change. On a bad link, three in a row are lost once
/// in 64,000 times.
const REPORT_REPEATS: u8 = 3;
/// Fraction of the burst below which the balance is low. Other daemons have to be told at once
/// then: what they let pass until they hear of it comes out of the rest.
const LOW_BALANCE_FRACTION: f64 = 0.5;
/// Number of accounts at which those without recent changes are dropped.
const ACCOUNTS_LIMIT: usize = 50_000;

/// A request exceeds its customer's quota.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("the quota is spent, try again in {retry_after:?}")]
pub struct Error {
    /// Units left in this daemon's bucket.
    pub balance: f64,
    /// Share of the quota that the daemons which hear from each other may spend.
    pub share: f64,
    /// Time until enough units are available, if nothing else is spent.
    pub retry_after: Duration,
    /// Balance that the request requires, headroom for higher tiers included.
    pub required: f64,
    /// Whether the request alone exceeds the quota in any window.
    pub is_too_large: bool,
}

/// The units that a request takes out of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Debit {
    /// Whether the request has no token count, so that the quota's figures decide its size.
    pub is_plain: bool,
    /// Tier of the request among those of its customer; 0 is the most urgent.
    pub tier: Tier,
    /// Size of the request in units of the quota: requests or tokens.
    pub units: u64,
}

impl Debit {
    /// Units that have to be left to higher tiers, in a bucket that can hold `burst` units by now.
    fn headroom(self, burst: f64) -> f64 {
        if (self.units as f64) < burst * SMALL_REQUEST_FRACTION {
            return 0.0;
        }
        burst * (f64::from(self.tier) * HEADROOM_FRACTION_PER_TIER).min(MAX_HEADROOM_FRACTION)
    }
}

/// Units of one customer at one daemon, counted since the daemon started.
///
/// The counters only grow, so reports may be lost or arrive in any order.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Spent {
    /// Units requested, whether they passed or not.
    pub asked: u64,
    /// Units that passed.
    pub passed: u64,
    /// Units that passed and were given back because their requests did not run.
    pub returned: u64,
    /// Those of the units that passed which are due to requests without a token count.
    pub plain: u64,
    /// The quota's figures at the last request.
    pub figures: Figures,
}

/// Digest of the figures of a quota by which units are reckoned; those of a burst make no difference.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Figures(u32);

impl Spent {
    /// Merges two reports of one incarnation into the later counters.
    fn merged(self, other: Self) -> Self {
        Self {
            asked: self.asked.max(other.asked),
            passed: self.passed.max(other.passed),
            returned: self.returned.max(other.returned),
            plain: self.plain.max(other.plain),
            figures: match other.asked >= self.asked {
                true => other.figures,
                false => self.figures,
            },
        }
    }

    /// Net units spent.
    fn units(self) -> f64 {
        self.units_since(Self::default())
    }

    /// Net units spent since an earlier report.
    fn units_since(self, earlier: Self) -> f64 {
        (self.passed - earlier.passed) as f64 - (self.returned - earlier.returned) as f64
    }
}

/// State of all quotas at one daemon.
#[derive(Debug)]
pub struct Quotas {
    accounts: IndexMap<CustomerId, Account>,
    /// Minimum number of peers assumed while fewer are known.
    assumed_peers: usize,
    /// Set once more daemons are known than were assumed. Those of other cells are no peers.
    knows_fleet: bool,
    /// Units per second of each customer's quota in the configuration in force.
    configured: IndexMap<CustomerId, f64>,
    /// Demand on this cell and the others.
    demand: Demand,
    /// Incarnation of this daemon: its start time in milliseconds.
    incarnation: Incarnation,
    last_tick: Instant,
    peers: IndexMap<VmId, Peer>,
    /// Customers whose counters changed recently; only these are scanned for each report.
    recent: IndexSet<CustomerId>,
    /// Units that all daemons together may let pass at once beyond a customer's burst.
    reserve: f64,
    started: Instant,
    /// Time over which the quotas are judged.
    window: Duration,
    /// Time of the last full report to the cell.
    last_full_report: Option<Instant>,
}

/// What another daemon has spent between two reports.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Net units.
    units: f64,
    /// Units due to requests without a token count.
    plain_units: f64,
    /// The figures of both reports.
    figures: [Figures; 2],
}

/// Another daemon of the cell.
#[derive(Debug)]
struct Peer {
    last_heard: Instant,
    incarnation: Incarnation,
    /// Its last reported counters.
    spent: IndexMap<CustomerId, Spent>,
}

impl Peer {
    /// Merges reported counters, and returns what is new. The first report about a customer may include units spent
    /// long ago; it counts up to `recent` units.
    fn merge(&mut self, customer: &CustomerId, spent: Spent, recent: f64) -> Report {
        let first = match spent.units() <= recent {
            true => Spent {
                figures: spent.figures,
                ..Spent::default()
            },
            false => spent,
        };
        let known = self.spent.entry(customer.clone()).or_insert(first);
        let merged = known.merged(spent);
        let before = std::mem::replace(known, merged);
        Report {
            units: merged.units_since(before),
            plain_units: (merged.plain - before.plain) as f64,
            figures: [before.figures, merged.figures],
        }
    }
}

impl Quotas {
    /// Creates an empty state. Until as many peers are heard from, `assumed_peers` are assumed to
    /// be there and spending their shares.
    #[must_use]
    pub fn new(assumed_peers: usize, now: Instant) -> Self {
        Self {
            accounts: IndexMap::new(),
            assumed_peers,
            configured: IndexMap::new(),
            demand: Demand::new(now),
            incarnation: 0,
            knows_fleet: false,
            last_tick: now,
            peers: IndexMap::new(),
            recent: IndexSet::new(),
            reserve: 0.0,
            started: now,
            window: DEFAULT_WINDOW,
            last_full_report: None,
        }
    }

    /// Adds a reserve of units on top of each burst.
    #[must_use]
    pub fn with_reserve(self, reserve: f64) -> Self {
        Self { reserve, ..self }
    }

    /// Sets the incarnation of this daemon, by which peers that started before it are told.
    #[must_use]
    pub fn with_incarnation(self, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..self
        }
    }

    /// Sets the time over which the quotas are judged. A request that exceeds its quota over that time
    /// by itself is refused.
    #[must_use]
    pub fn with_window(self, window: Duration) -> Self {
        Self { window, ..self }
    }

    /// Puts the quotas of a new configuration in force, which replace all earlier ones. What other daemons spend by
    /// them counts from now on, whether or not a customer sends requests here.
    pub fn adopt_all<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a CustomerId, Quota)>,
        now: Instant,
    ) {
        self.configured.clear();
        for (customer, quota) in quotas {
            self.configured.insert(customer.clone(), quota.per_s);
            self.adopt(customer, quota, now);
        }
    }

    /// Puts the quota of a new configuration in force for one customer.
    pub fn adopt(&mut self, customer: &CustomerId, quota: Quota, now: Instant) {
        let quota = self.with_reserved(quota);
        let Some(former) = self.accounts.get(customer).map(|account| account.quota) else {
            return;
        };
        if former == quota {
            return;
        }
        let share = self.share_of(customer, former.per_s, now);
        let new_share = self.share_of(customer, quota.per_s, now);
        if let Some(account) = self.accounts.get_mut(customer) {
            account.refill(share, now);
            account.adopt(quota);
            account.refill(new_share, now);
        }
    }

    fn with_reserved(&self, quota: Quota) -> Quota {
        Quota {
            burst: quota.burst + self.reserve,
            ..quota
        }
    }

    /// Part of a customer's quota that the daemons which hear from each other may spend.
    fn share_of(&mut self, customer: &CustomerId, per_s: f64, now: Instant) -> f64 {
        self.demand.cell_share(customer, per_s, now) * self.share(now)
    }

    /// Withdraws `debit` from a customer's quota. Returns `true` if the balance is low afterwards,
    /// and other daemons have to be told at once.
    ///
    /// # Errors
    ///
    /// Fails if the request exceeds the quota.
    pub fn spend(
        &mut self,
        customer: &CustomerId,
        quota: Quota,
        debit: Debit,
        now: Instant,
    ) -> Result<bool> {
        self.tick(now);
        let share = self.share_of(customer, quota.per_s, now);
        let quota = self.with_reserved(quota);
        if debit.units as f64 > quota.burst + quota.per_s * self.window.as_secs_f64() {
            return Err(self.too_large(customer, debit, share));
        }
        let started = self.started;
        self.recent.insert(customer.clone());
        let account = self.account(customer, quota, now);
        account.adopt(quota);
        account.spent.asked = account.spent.asked.saturating_add(debit.units);
        account.recent_demand.add(debit.units, now);
        account.mark_changed(now);
        account.refill(share, now);
        let burst = quota.burst * share;
        let since_start = now.saturating_duration_since(started).as_secs_f64();
        let filled = burst.min(since_start * quota.per_s * share);
        // A request larger than the whole burst passes when the bucket is full.
        let required = (debit.units as f64 + debit.headroom(filled)).min(burst);
        let spent = match account.balance < required {
            true => {
                let missing_s = account.seconds_until(required) / share;
                Err(Error {
                    balance: account.balance,
                    share,
                    retry_after: Duration::try_from_secs_f64(missing_s).unwrap_or(Duration::MAX),
                    required,
                    is_too_large: false,
                })
            }
            false => {
                account.withdraw(debit);
                Ok(account.balance < burst * LOW_BALANCE_FRACTION)
            }
        };
        let is_short = *spent.as_ref().unwrap_or(&true);
        if let Some(per_s) = account.recent_demand.per_s(now).filter(|_| is_short) {
            self.demand.note_demand(customer, quota.per_s, per_s, now);
        }
        spent
    }

    /// Refuses a request that no window has room for. The next one may be judged by other figures.
    fn too_large(&self, customer: &CustomerId, debit: Debit, share: f64) -> Error {
        let account = self.accounts.get(customer);
        Error {
            balance: account.map_or(0.0, |account| account.balance),
            share,
            retry_after: self.window,
            required: debit.units as f64,
            is_too_large: true,
        }
    }

    /// Gives back units that passed but whose request did not run.
    pub fn refund(&mut self, customer: &CustomerId, units: u64, now: Instant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.charge(-(units as f64), 0.0);
            account.spent.returned = account.spent.returned.saturating_add(units);
            account.mark_changed(now);
            self.recent.insert(customer.clone());
        }
    }

    /// Samples the demand and detects pauses of this daemon. A second without a call counts as a
    /// pause, so it must be called more often.
    pub fn tick(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if elapsed > PAUSE_THRESHOLD {
            for account in self.accounts.values_mut() {
                account.filled_at += elapsed;
            }
        }
        let own = self.accounts.iter();
        let own = own.map(|(customer, account)| (customer, account.spent.asked));
        let cell_peers = self.peers.iter();
        let cell_peers = cell_peers.flat_map(|(vm, peer)| {
            let asked = peer.spent.iter();
            asked.map(move |(customer, spent)| (vm, customer, spent.asked))
        });
        self.demand.tick(own, cell_peers, now);
    }

    /// Sets this daemon's cell, the other daemons of the cell (`cell_peers`) and all live daemons,
    /// this one included. A daemon that left the cell keeps its share, be it in another cell or
    /// partitioned.
    pub fn set_cell(
        &mut self,
        cell: CellId,
        cell_peers: &IndexSet<VmId>,
        live: &IndexSet<VmId>,
        now: Instant,
    ) {
        self.peers.retain(|vm, _| cell_peers.contains(vm));
        self.knows_fleet = live.len() > self.assumed_peers;
        self.demand.set_cell(cell, cell_peers.len(), live, now);
    }

    /// Sets the time between two demand reports of a cell.
    pub fn set_report_interval(&mut self, report_interval: Duration) {
        self.demand.set_report_interval(report_interval);
    }

    /// Builds the report of this cell's demand for all daemons. One daemon of the cell sends it.
    pub fn cell_demand(&mut self, now: Instant) -> CellDemand<CustomerId> {
        let (accounts, configured) = (&self.accounts, &self.configured);
        // The daemon that reports may have served none of these customers itself.
        self.demand.report_own(
            |customer| {
                let account = accounts.get(customer);
                let per_s = account.map(|account| account.quota.per_s);
                per_s.or_else(|| configured.get(customer).copied())
            },
            now,
        )
    }

    /// Builds the same report if a customer's demand on this daemon has risen faster than its cell's share follows.
    /// The daemon sends it itself, at once.
    pub fn surge_demand(&mut self, now: Instant) -> Option<CellDemand<CustomerId>> {
        self.demand.take_surge(now).then(|| self.cell_demand(now))
    }

    /// Returns `true` if [`Self::surge_demand`] has a report, at the latest after a moment.
    #[must_use]
    pub fn has_surge(&self) -> bool {
        self.demand.has_new_surge()
    }

    /// Merges the demand report of a cell.
    pub fn merge_cell_demand(&mut self, demand: CellDemand<CustomerId>, now: Instant) {
        self.demand.merge(demand, now);
    }

    /// Builds the next report to the other daemons of the cell: the counters that have changed, and
    /// periodically all that changed recently.
    pub fn report(&mut self, now: Instant) -> Vec<(CustomerId, Spent)> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_full = self
            .last_full_report
            .is_none_or(|at| age(at) >= FULL_REPORT_INTERVAL);
        if is_full {
            self.last_full_report = Some(now);
            self.drop_idle(now);
        }
        let mut report = Vec::new();
        for customer in &self.recent {
            let Some(account) = self.accounts.get_mut(customer) else {
                continue;
            };
            let changed_recently = age(account.changed_at) < REPORT_WINDOW;
            if account.times_reported < REPORT_REPEATS || (is_full && changed_recently) {
                account.times_reported = account.times_reported.saturating_add(1);
                report.push((customer.clone(), account.spent));
            }
        }
        report
    }

    /// This daemon's counters of the customers for which they changed recently.
    #[must_use]
    pub fn spent(&self, now: Instant) -> Vec<(CustomerId, Spent)> {
        let recent = self.recent.iter();
        let recent = recent.filter_map(|customer| Some((customer, self.accounts.get(customer)?)));
        let recent = recent.filter(|(_, account)| now - account.changed_at < REPORT_WINDOW);
        recent
            .map(|(customer, account)| (customer.clone(), account.spent))
            .collect()
    }

    /// Stops reporting customers without recent changes.
    fn drop_idle(&mut self, now: Instant) {
        let accounts = &self.accounts;
        let is_recent = |account: &Account| now - account.changed_at < IDLE_AFTER;
        self.recent
            .retain(|customer| accounts.get(customer).is_some_and(is_recent));
    }

    /// Merges the counters that another daemon of the cell reported.
    pub fn merge_spent(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        spent: &[(CustomerId, Spent)],
        now: Instant,
    ) {
        self.tick(now);
        let peer = self.peers.entry(vm.clone()).or_insert_with(|| Peer {
            last_heard: now,
            incarnation,
            spent: IndexMap::new(),
        });
        // What the peer spent while it was not heard from came out of its own share.
        let was_silent = peer.incarnation != incarnation
            || now.saturating_duration_since(peer.last_heard) > PEER_STALE_AFTER;
        if was_silent {
            peer.spent.clear();
        }
        peer.last_heard = now;
        peer.incarnation = incarnation;
        let age = now.saturating_duration_since(self.started);
        let is_new = started_with(self.incarnation, incarnation);
        let accounts = &self.accounts;
        let recent = |customer| {
            let account = accounts.get(customer).filter(|_| is_new);
            account.map_or(0.0, |account| units_since_start(account.quota, age))
        };
        let reports: Vec<Report> = spent
            .iter()
            .map(|(customer, spent)| peer.merge(customer, *spent, recent(customer)))
            .collect();
        for ((customer, _), report) in spent.iter().zip(reports) {
            self.withdraw_reported(customer, report, now);
        }
    }

    /// Withdraws what another daemon has spent since its report before.
    fn withdraw_reported(&mut self, customer: &CustomerId, report: Report, now: Instant) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        if report.figures == [account.spent.figures; 2] {
            return account.charge(report.units, report.plain_units);
        }
        let per_s = account.quota.per_s;
        let share = self.share_of(customer, per_s, now);
        if let Some(account) = self.accounts.get_mut(customer) {
            account.refill(share, now);
            account.use_up(report.units);
        }
    }

    /// Removes a daemon that announced its shutdown, whose share is free at once.
    pub fn remove_peer(&mut self, vm: &VmId) {
        self.peers.swap_remove(vm);
        self.demand.remove_peer(vm);
    }

    /// Fraction of the cell's share that the daemons which hear from each other may spend.
    fn share(&mut self, now: Instant) -> f64 {
        let age = |peer: &Peer| now.saturating_duration_since(peer.last_heard);
        self.peers.retain(|_, peer| age(peer) < SHARE_RETENTION);
        let fresh = self
            .peers
            .values()
            .filter(|peer| age(peer) < PEER_STALE_AFTER)
            .count();
        let assumed = match self.knows_fleet {
            true => self.assumed_peers.min(self.demand.cell_peers()),
            false => self.assumed_peers,
        };
        let all = self.peers.len().max(assumed);
        (1 + fresh) as f64 / (1 + all) as f64
    }

    /// Returns the account of a customer, which is created empty as of this daemon's start, less what others have spent
    /// since then.
    fn account(&mut self, customer: &CustomerId, quota: Quota, now: Instant) -> &mut Account {
        if self.accounts.len() >= ACCOUNTS_LIMIT {
            self.accounts
                .retain(|_, account| now - account.changed_at < SHARE_RETENTION);
        }
        let (incarnation, peers, started) = (self.incarnation, &self.peers, self.started);
        let account = self.accounts.entry(customer.clone());
        account.or_insert_with(|| {
            let mut account = Account::new(quota, started, now);
            let recent = units_since_start(quota, now.saturating_duration_since(started));
            let peers = peers.values();
            let new = peers.filter(|peer| started_with(incarnation, peer.incarnation));
            let spent = new.filter_map(|peer| peer.spent.get(customer));
            for spent in spent.filter(|spent| spent.units() <= recent) {
                account.charge(spent.units(), spent.plain as f64);
            }
            account
        })
    }
}

/// Returns `true` if a peer started with the daemon `own` or after it, as far as their times of day agree.
fn started_with(own: Incarnation, peer: Incarnation) -> bool {
    let first_report_ms = FIRST_REPORT_TIME.as_millis() as Incarnation;
    peer.saturating_add(first_report_ms) >= own
}

/// Units that one daemon can have spent of a quota since another one started, `age` ago; none once that is long ago.
fn units_since_start(quota: Quota, age: Duration) -> f64 {
    match age < FIRST_REPORT_TIME {
        true => quota.per_s * age.as_secs_f64(),
        false => 0.0,
    }
}
