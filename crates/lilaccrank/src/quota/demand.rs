//! What customers ask of this cell and of the others, by which cells divide quotas.
//!
//! In a large fleet each daemon hears of most others only once a second or so. A bucket for all of
//! them would be overspent by whatever comes in that time: by three seconds' worth of the quota
//! where a customer suddenly sends eight times as much. The parts that cells have of what is asked
//! hardly change when a customer sends more to all of them, so that each cell stays within its own.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{CustomerId, Incarnation, VmId};

/// Time between two looks at what was asked. Requests of one customer come in clumps: over a second
/// a few dozen daemons see a like number of them.
const EVERY: Duration = Duration::from_secs(1);
/// Weight of the newest look.
const GAIN: f64 = 0.5;
/// Part of the quotas that is divided by the number of daemons, so that a cell of which nothing was
/// asked so far has something to begin with.
const EVEN_PART: f64 = 0.2;
/// Time after a start or a change of the cell until the parts are by demand. What is asked is known
/// of most daemons after two looks, and is mostly chance before: of cells that have just started, one
/// that had heard only of the others took a fortieth of its quotas for two seconds.
const SETTLED: Duration = Duration::from_secs(5);
/// Time for which a daemon outside the cell that is not heard keeps its part, as those of the cell
/// do.
const KEPT: Duration = Duration::from_secs(20);

/// What is asked of the daemons.
#[derive(Debug)]
pub(super) struct Demand {
    far: IndexMap<VmId, Far>,
    looked: Instant,
    /// Daemons of the cell beside this one.
    mates: usize,
    /// All daemons that are known to live, this one included.
    members: usize,
    /// Units asked of the cell, by daemon; this one has no name.
    near: IndexMap<Option<VmId>, IndexMap<CustomerId, Rate>>,
    /// When this daemon started or its cell last changed.
    since: Instant,
}

/// A daemon outside the cell.
#[derive(Debug)]
struct Far {
    asked: IndexMap<CustomerId, Rate>,
    heard: Instant,
    incarnation: Incarnation,
}

/// Units asked for.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// Since that daemon started.
    asked: u64,
    per_s: f64,
}

impl Rate {
    fn count(&mut self, asked: u64, since: Duration) {
        let new = asked.saturating_sub(self.asked) as f64 / since.as_secs_f64();
        self.per_s += GAIN * (new - self.per_s);
        self.asked = self.asked.max(asked);
    }
}

impl Demand {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            far: IndexMap::new(),
            looked: now,
            mates: 0,
            members: 1,
            near: IndexMap::new(),
            since: now,
        }
    }

    /// Sets the number of daemons of the cell beside this one, and of all.
    pub(super) fn set_cell(&mut self, mates: usize, members: usize, now: Instant) {
        if mates != self.mates {
            self.since = now;
        }
        self.mates = mates;
        self.members = members;
    }

    /// Takes in all that was asked of this daemon and of the others of its cell since each of them
    /// started.
    pub(super) fn look<'a>(
        &mut self,
        own: impl Iterator<Item = (&'a CustomerId, u64)>,
        mates: impl Iterator<Item = (&'a VmId, &'a CustomerId, u64)>,
        count: usize,
        now: Instant,
    ) {
        let since = now.saturating_duration_since(self.looked);
        if since < EVERY {
            return;
        }
        self.looked = now;
        self.mates = self.mates.max(count);
        self.far
            .retain(|_, far| now.saturating_duration_since(far.heard) < KEPT);
        let own = own.map(|(customer, asked)| (None, customer, asked));
        let mates = mates.map(|(vm, customer, asked)| (Some(vm.clone()), customer, asked));
        let mut before = std::mem::take(&mut self.near);
        for (vm, customer, asked) in own.chain(mates) {
            let known = before
                .get_mut(&vm)
                .and_then(|rates| rates.swap_remove(customer));
            let mut rate = known.unwrap_or(Rate { asked, per_s: 0.0 });
            rate.count(asked, since);
            let rates = self.near.entry(vm).or_default();
            rates.insert(customer.clone(), rate);
        }
    }

    /// Takes in what was asked of a daemon outside the cell since it started; it leaves out
    /// customers that asked nothing of late.
    pub(super) fn heard_afar<'a>(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        asked: impl Iterator<Item = (&'a CustomerId, u64)>,
        now: Instant,
    ) {
        let new = || Far {
            asked: IndexMap::new(),
            heard: now,
            incarnation,
        };
        let far = self.far.entry(vm.clone()).or_insert_with(new);
        if far.incarnation != incarnation {
            *far = new();
        }
        let since = now.saturating_duration_since(far.heard);
        far.heard = now;
        let mut before = std::mem::take(&mut far.asked);
        for (customer, asked) in asked {
            let mut rate = before
                .swap_remove(customer)
                .unwrap_or(Rate { asked, per_s: 0.0 });
            if !since.is_zero() {
                rate.count(asked, since);
            }
            far.asked.insert(customer.clone(), rate);
        }
        for (customer, mut rate) in before {
            rate.per_s *= 1.0 - GAIN;
            // What is hardly asked any more is forgotten.
            if rate.per_s >= 1.0 {
                far.asked.insert(customer, rate);
            }
        }
    }

    /// A daemon is gone, or belongs to the cell now.
    pub(super) fn left(&mut self, vm: &VmId) {
        self.far.swap_remove(vm);
    }

    /// The part of a customer's quota that this cell may spend.
    pub(super) fn part_of_cell(&self, customer: &CustomerId, now: Instant) -> f64 {
        let cell = 1 + self.mates;
        let all = self.members.max(cell + self.far.len());
        let by_number = cell as f64 / all as f64;
        let rate =
            |rates: &IndexMap<CustomerId, Rate>| rates.get(customer).map_or(0.0, |r| r.per_s);
        let near: f64 = self.near.values().map(rate).sum();
        let far: f64 = self.far.values().map(|far| rate(&far.asked)).sum();
        if near + far <= 0.0 {
            return by_number;
        }
        let age = now.saturating_duration_since(self.since);
        let settled = (age.as_secs_f64() / SETTLED.as_secs_f64()).min(1.0);
        let by_demand = (1.0 - EVEN_PART) * settled;
        by_number * (1.0 - by_demand) + by_demand * near / (near + far)
    }
}
