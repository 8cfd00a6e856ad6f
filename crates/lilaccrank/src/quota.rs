//! Quotas of customers over all daemons.
//!
//! Each daemon keeps a bucket of what all of them together may still spend: it takes out what it
//! lets pass itself, and what the others tell that they did. So a customer may use all of its
//! rate at one daemon, and no request waits for a word of another daemon.
//!
//! Of what is left the last tiers leave a part to those before them: a customer at its limit gets
//! its urgent work done, not whatever came first. What is small against the whole burst is let
//! pass with the first tier, since refusing it would make room for nothing else.
//!
//! That holds for daemons which hear of each other at once. Of those outside its cell a daemon
//! hears seldom, and each cell has a part of the quota for itself, by what is asked of it.
//!
//! What a customer asks in a second comes in clumps, and a cell's part of a small quota is less than
//! one long request. A reserve on top of each burst lets clumps pass that are within the quota over a
//! few seconds: with 36,000 tokens over eight cells, none in place of 66 in 100 requests of a customer
//! that asks for half of 40,000 tokens a second are refused (the test `clumps_within_the_quota`).
//!
//! A daemon that is not heard may be cut off and spending. Its part of the rate is left to it,
//! by both sides, so that the parts of a split fleet together stay within the quota.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::cells::CellId;
use crate::document::Quota;
use crate::ids::{CustomerId, Incarnation, Tier, VmId};

mod demand;

pub use demand::CellDemand;
use demand::Demand;

/// Result of spending.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A peer that is not heard for this long is no longer counted on, if it tells what it has four
/// times a second.
const PEER_STALE_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which a peer that is not heard keeps its part. Data centres are cut off from each
/// other for minutes now and then; but a vm that was replaced must give its part back soon.
const SHARE_RETENTION: Duration = Duration::from_secs(20);
/// Longer times without a look are times in which this daemon stood still: it may never hear what
/// the others spent meanwhile, and fills nothing up for them.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Counts of a customer are told for this long after they last changed; a datagram may be lost.
const REPORT_WINDOW: Duration = Duration::from_millis(1_000);
/// Customers that asked nothing for this long are not looked at for messages.
const IDLE_AFTER: Duration = Duration::from_secs(5);
/// Part of the burst that each tier leaves for those before it: with three tiers the last one
/// passes while a third of the burst is there, and the first one finds two thirds.
const HEADROOM_FRACTION_PER_TIER: f64 = 1.0 / 3.0;
/// Part of the burst that is left for others at most.
const MAX_HEADROOM_FRACTION: f64 = 2.0 / 3.0;
/// Requests below this part of the burst are small.
const SMALL_REQUEST_FRACTION: f64 = 0.02;
/// Longest time between two messages to the cell that tell all that changed of late.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Messages that tell one change to the cell: three in a row are lost once in 64,000 times on a bad link.
const REPORT_REPEATS: u8 = 3;
/// Part of the burst below which little is left of a quota. What passes elsewhere until it is told comes
/// out of the rest.
const LOW_BALANCE_FRACTION: f64 = 0.5;
/// Customers that are kept before those that spent nothing of late are dropped.
const ACCOUNTS_LIMIT: usize = 50_000;

/// A customer has spent what it may.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("the quota is spent, try again in {retry_after:?}")]
pub struct Error {
    /// What is left of it, as far as is known.
    pub balance: f64,
    /// The part that the daemons which hear each other may spend.
    pub share: f64,
    /// When there is room again.
    pub retry_after: Duration,
    /// What would have to be left, with what is kept for tiers before.
    pub required: f64,
}

/// What a request takes out of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Debit {
    /// Its tier among those of its customer.
    pub tier: Tier,
    /// What it counts as.
    pub units: u64,
}

impl Debit {
    /// What it has to leave for the tiers before its own, of a bucket that can hold `burst` by now.
    fn headroom(self, burst: f64) -> f64 {
        if (self.units as f64) < burst * SMALL_REQUEST_FRACTION {
            return 0.0;
        }
        burst * (f64::from(self.tier) * HEADROOM_FRACTION_PER_TIER).min(MAX_HEADROOM_FRACTION)
    }
}

/// What one daemon has let pass of one customer since it started, and what it took back of that.
///
/// Both only grow, so that messages may be lost, or come in any order.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Spent {
    /// Units that were asked for, whether they passed or not.
    pub asked: u64,
    /// Units that passed.
    pub passed: u64,
    /// Units of these that did not run after all.
    pub returned: u64,
}

impl Spent {
    /// The later of two counts of one life.
    fn merged(self, other: Self) -> Self {
        Self {
            asked: self.asked.max(other.asked),
            passed: self.passed.max(other.passed),
            returned: self.returned.max(other.returned),
        }
    }

    /// Units spent since an earlier count.
    fn units_since(self, earlier: Self) -> f64 {
        (self.passed - earlier.passed) as f64 - (self.returned - earlier.returned) as f64
    }
}

/// All that a daemon knows of quotas.
#[derive(Debug)]
pub struct Quotas {
    accounts: IndexMap<CustomerId, Account>,
    /// Daemons that are assumed beside this one until they are heard.
    assumed_peers: usize,
    /// What is asked of this daemon, of its cell and of the others.
    demand: Demand,
    last_tick: Instant,
    peers: IndexMap<VmId, Peer>,
    /// Customers whose counts changed of late, so that not all of them are looked at for each message.
    recent: IndexSet<CustomerId>,
    /// Units beyond a customer's burst that all daemons together may let pass at once.
    reserve: f64,
    started: Instant,
    /// When the cell was last told all.
    last_full_report: Option<Instant>,
}

#[derive(Debug)]
struct Account {
    changed_at: Instant,
    filled_at: Instant,
    /// How often the present counts were told to the cell.
    times_reported: u8,
    /// What all daemons may still spend; below zero if they overspent.
    balance: f64,
    /// Units a second that the customer may spend.
    quota_per_s: f64,
    spent: Spent,
}

#[derive(Debug)]
struct Peer {
    last_heard: Instant,
    incarnation: Incarnation,
    /// What it had spent when it last told.
    spent: IndexMap<CustomerId, Spent>,
}

impl Quotas {
    /// Nothing is known; `assumed` other daemons are taken to be there until they are heard.
    #[must_use]
    pub fn new(assumed_peers: usize, now: Instant) -> Self {
        Self {
            accounts: IndexMap::new(),
            assumed_peers,
            demand: Demand::new(now),
            last_tick: now,
            peers: IndexMap::new(),
            recent: IndexSet::new(),
            reserve: 0.0,
            started: now,
            last_full_report: None,
        }
    }

    /// The same with a reserve on top of each burst.
    #[must_use]
    pub fn with_reserve(self, reserve: f64) -> Self {
        Self { reserve, ..self }
    }

    /// Lets `units` of a customer pass; whether little is left then, so that other daemons have to hear
    /// of it at once.
    ///
    /// # Errors
    ///
    /// They are beyond its quota.
    pub fn spend(
        &mut self,
        customer: &CustomerId,
        quota: Quota,
        debit: Debit,
        now: Instant,
    ) -> Result<bool> {
        self.tick(now);
        let cell_share = self.demand.cell_share(customer, quota.per_s, now);
        let share = self.share(now) * cell_share;
        let quota = Quota {
            burst: quota.burst + self.reserve,
            ..quota
        };
        let started = self.started;
        self.recent.insert(customer.clone());
        let account = self.account(customer, now);
        account.quota_per_s = quota.per_s;
        account.spent.asked += debit.units;
        account.mark_changed(now);
        account.refill(quota, share, now);
        let burst = quota.burst * share;
        let since_start = now.saturating_duration_since(started).as_secs_f64();
        let filled = burst.min(since_start * quota.per_s * share);
        // What is larger than the whole burst passes when the bucket is full.
        let required = (debit.units as f64 + debit.headroom(filled)).min(burst);
        if account.balance < required {
            let missing = (required - account.balance) / (quota.per_s * share);
            let retry_after = Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX);
            return Err(Error {
                balance: account.balance,
                share,
                retry_after,
                required,
            });
        }
        account.balance -= debit.units as f64;
        account.spent.passed += debit.units;
        Ok(account.balance < burst * LOW_BALANCE_FRACTION)
    }

    /// Gives back what was let pass and did not run after all.
    pub fn refund(&mut self, customer: &CustomerId, units: u64, now: Instant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.balance += units as f64;
            account.spent.returned += units;
            account.mark_changed(now);
            self.recent.insert(customer.clone());
        }
    }

    /// Has to be called often, so that a time in which this daemon stood still is known.
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
        let mates = self.peers.iter();
        let mates = mates.flat_map(|(vm, peer)| {
            let asked = peer.spent.iter();
            asked.map(move |(customer, spent)| (vm, customer, spent.asked))
        });
        self.demand.tick(own, mates, now);
    }

    /// Sets this daemon's cell, and all daemons that are known to live, this one included. Who is no
    /// longer of the cell keeps its part, in another cell or cut off.
    pub fn set_cell(
        &mut self,
        cell: CellId,
        mates: &IndexSet<VmId>,
        live: &IndexSet<VmId>,
        now: Instant,
    ) {
        self.peers.retain(|vm, _| mates.contains(vm));
        self.demand.set_cell(cell, mates.len(), live, now);
    }

    /// Sets the time between two words of another cell.
    pub fn set_report_interval(&mut self, report_interval: Duration) {
        self.demand.set_report_interval(report_interval);
    }

    /// What all daemons are to know of what is asked of this cell; one daemon of the cell tells it.
    pub fn cell_demand(&mut self, now: Instant) -> CellDemand<CustomerId> {
        let recent = self.recent.iter();
        let quotas = recent.filter_map(|customer| {
            let account = self.accounts.get(customer)?;
            Some((customer.clone(), account.quota_per_s))
        });
        self.demand.report_own(quotas, now)
    }

    /// Takes in what is asked of a cell.
    pub fn merge_cell_demand(&mut self, demand: CellDemand<CustomerId>, now: Instant) {
        self.demand.merge(demand, now);
    }

    /// What the other daemons of the cell are to know by now: the counts that have changed, and now and
    /// then all that changed of late.
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

    /// What this daemon let pass, for the customers of which that changed of late.
    #[must_use]
    pub fn spent(&self, now: Instant) -> Vec<(CustomerId, Spent)> {
        let recent = self.recent.iter();
        let recent = recent.filter_map(|customer| Some((customer, self.accounts.get(customer)?)));
        let recent = recent.filter(|(_, account)| now - account.changed_at < REPORT_WINDOW);
        recent
            .map(|(customer, account)| (customer.clone(), account.spent))
            .collect()
    }

    fn drop_idle(&mut self, now: Instant) {
        let accounts = &self.accounts;
        let is_recent = |account: &Account| now - account.changed_at < IDLE_AFTER;
        self.recent
            .retain(|customer| accounts.get(customer).is_some_and(is_recent));
    }

    /// Takes in what another daemon of the cell let pass.
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
        // What it spent while it was not heard came out of its own part.
        let was_silent = peer.incarnation != incarnation
            || now.saturating_duration_since(peer.last_heard) > PEER_STALE_AFTER;
        if was_silent {
            peer.spent.clear();
        }
        peer.last_heard = now;
        peer.incarnation = incarnation;
        for (customer, spent) in spent {
            // The first word about a customer may tell of times long past.
            let known = peer.spent.entry(customer.clone()).or_insert(*spent);
            let merged = known.merged(*spent);
            let new = merged.units_since(*known);
            *known = merged;
            if let Some(account) = self.accounts.get_mut(customer) {
                account.balance -= new;
            }
        }
    }

    /// A daemon that ends says so: its part is free at once.
    pub fn remove_peer(&mut self, vm: &VmId) {
        self.peers.swap_remove(vm);
        self.demand.remove_peer(vm);
    }

    /// The part of its cell's quotas that the daemons which hear each other may spend.
    fn share(&mut self, now: Instant) -> f64 {
        let age = |peer: &Peer| now.saturating_duration_since(peer.last_heard);
        self.peers.retain(|_, peer| age(peer) < SHARE_RETENTION);
        let fresh = self
            .peers
            .values()
            .filter(|peer| age(peer) < PEER_STALE_AFTER)
            .count();
        let all = self.peers.len().max(self.assumed_peers);
        (1 + fresh) as f64 / (1 + all) as f64
    }

    fn account(&mut self, customer: &CustomerId, now: Instant) -> &mut Account {
        if self.accounts.len() >= ACCOUNTS_LIMIT {
            self.accounts
                .retain(|_, account| now - account.changed_at < SHARE_RETENTION);
        }
        let started = self.started;
        let account = self.accounts.entry(customer.clone());
        account.or_insert_with(|| Account {
            changed_at: now,
            filled_at: started,
            times_reported: 0,
            balance: 0.0,
            quota_per_s: 0.0,
            spent: Spent::default(),
        })
    }
}

impl Account {
    fn mark_changed(&mut self, now: Instant) {
        self.changed_at = now;
        self.times_reported = 0;
    }

    fn refill(&mut self, quota: Quota, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        let filled = self.balance + elapsed.as_secs_f64() * quota.per_s * share;
        self.balance = filled.min(quota.burst * share);
    }
}
