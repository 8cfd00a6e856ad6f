//! What customers ask of this cell and of the others, by which cells divide quotas.
//!
//! In a large fleet each daemon hears of most others only once in seconds. A bucket for all of
//! them would be overspent by whatever comes in that time. The parts that cells have of what is asked
//! hardly change when a customer sends more to all of them, so that each cell stays within its own.
//!
//! Parts add up to the quota only if all daemons are sampled alike. A cell that knew its own demand at once
//! and that of the others seconds later would take a multiple of its part at each surge; so its own daemons
//! are sampled at the pace of the words from outside, and like these at times of their own. A daemon that is
//! not heard is taken to be asked as much as the others: by its last word, a daemon that is cut off would
//! find its own demand grown against that of all others.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3;

use crate::ids::{CustomerId, Incarnation, VmId};

/// Least time between two samples of what was asked of a daemon. Requests of one customer come in clumps:
/// over a second a few dozen daemons see a like number of them.
const LEAST_PERIOD: Duration = Duration::from_secs(1);
/// Looks in a period for samples that are due.
const LOOKS: u32 = 16;
/// Part of a period at which this daemon itself is sampled first.
const OWN_PHASE: f64 = 0.5;
/// Part of the period after which a word is late enough to be a sample: words are sent at their pace
/// and take a moment.
const PERIOD_PART: f64 = 0.9;
/// Periods without a word after which a daemon counts as not heard.
const UNHEARD_AFTER: f64 = 1.5;
/// Weight of the newest sample.
const GAIN: f64 = 0.5;
/// Part of the quotas that is divided by the number of daemons, so that a cell of which nothing was
/// asked so far has something to begin with.
const EVEN_PART: f64 = 0.2;
/// Time after a start or a change of the cell until the parts are by demand. What is asked is known
/// of most daemons after two samples, and is mostly chance before: of cells that have just started, one
/// that had heard only of the others took a fortieth of its quotas for two seconds.
const SETTLED: Duration = Duration::from_secs(5);
/// Time for which a daemon outside the cell that is not heard keeps its part, as those of the cell
/// do.
const KEPT: Duration = Duration::from_secs(20);

/// What is asked of the daemons.
#[derive(Debug)]
pub(super) struct Demand {
    far: IndexMap<VmId, Far>,
    /// Daemons that are known to live, this one included.
    live: IndexSet<VmId>,
    /// Daemons of the cell beside this one.
    mates: usize,
    /// When samples are looked at next.
    next_look: Instant,
    /// Units asked of the cell, by daemon; this one has no name.
    near: IndexMap<Option<VmId>, Samples>,
    /// Time between two samples of a daemon.
    period: Duration,
    /// When this daemon started or its cell last changed.
    since: Instant,
}

/// A daemon outside the cell.
#[derive(Debug)]
struct Far {
    heard: Instant,
    incarnation: Incarnation,
    samples: Samples,
}

/// What is asked of one daemon.
#[derive(Debug)]
struct Samples {
    at: Instant,
    due: Instant,
    rates: IndexMap<CustomerId, Rate>,
}

/// Units asked for.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// Since that daemon started.
    asked: u64,
    per_s: f64,
}

impl Samples {
    /// Nothing is known; the first sample is due at once.
    fn new(now: Instant) -> Self {
        Self {
            at: now,
            due: now,
            rates: IndexMap::new(),
        }
    }

    /// The same with the first sample at this part of a period from now.
    fn staggered(part: f64, period: Duration, now: Instant) -> Self {
        Self {
            due: now + period.mul_f64(part),
            ..Self::new(now)
        }
    }

    /// Takes in what was asked since that daemon started, if a sample is due; customers that asked nothing
    /// of late may be left out.
    fn take<'a>(
        &mut self,
        asked: impl Iterator<Item = (&'a CustomerId, u64)>,
        period: Duration,
        now: Instant,
    ) {
        if now < self.due {
            return;
        }
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.due = now + period;
        let mut before = std::mem::take(&mut self.rates);
        for (customer, asked) in asked {
            let known = before.swap_remove(customer);
            let mut rate = known.unwrap_or(Rate { asked, per_s: 0.0 });
            if since > 0.0 {
                let new = asked.saturating_sub(rate.asked) as f64 / since;
                rate.per_s += GAIN * (new - rate.per_s);
            }
            rate.asked = rate.asked.max(asked);
            self.rates.insert(customer.clone(), rate);
        }
        for (customer, mut rate) in before {
            rate.per_s *= 1.0 - GAIN;
            // What is hardly asked any more is forgotten.
            if rate.per_s >= 1.0 {
                self.rates.insert(customer, rate);
            }
        }
    }

    fn per_s(&self, customer: &CustomerId) -> f64 {
        self.rates.get(customer).map_or(0.0, |rate| rate.per_s)
    }
}

impl Demand {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            far: IndexMap::new(),
            live: IndexSet::new(),
            mates: 0,
            next_look: now,
            near: IndexMap::new(),
            period: LEAST_PERIOD,
            since: now,
        }
    }

    /// Sets the time between two words of a daemon outside the cell.
    pub(super) fn set_pace(&mut self, pace: Duration) {
        let words = LEAST_PERIOD.as_secs_f64() / pace.as_secs_f64().max(f64::MIN_POSITIVE);
        self.period = match words > 1.0 {
            true if pace.is_zero() => LEAST_PERIOD,
            true => pace.mul_f64(words.ceil()),
            false => pace,
        };
    }

    /// Sets the daemons that are known to live, and the number of those of the cell beside this one.
    pub(super) fn set_cell(&mut self, mates: usize, live: &IndexSet<VmId>, now: Instant) {
        if mates != self.mates {
            self.since = now;
        }
        self.mates = mates;
        self.live.clone_from(live);
    }

    /// A daemon of the cell belongs to another one by now, or is not known to live.
    pub(super) fn left_cell(&mut self, vm: &VmId, incarnation: Incarnation, heard: Instant) {
        let samples = self.near.swap_remove(&Some(vm.clone()));
        let far = Far {
            heard,
            incarnation,
            samples: samples.unwrap_or_else(|| Samples::new(heard)),
        };
        self.far.insert(vm.clone(), far);
    }

    /// Takes in all that was asked of this daemon and of the others of its cell since each of them
    /// started.
    pub(super) fn look<'a, I, J, K>(&mut self, own: I, mates: J, now: Instant)
    where
        I: Iterator<Item = (&'a CustomerId, u64)>,
        J: Iterator<Item = (&'a VmId, K)>,
        K: Iterator<Item = (&'a CustomerId, u64)>,
    {
        if now < self.next_look {
            return;
        }
        self.next_look = now + self.period / LOOKS;
        self.far
            .retain(|_, far| now.saturating_duration_since(far.heard) < KEPT);
        let period = self.period;
        let new = || Samples::staggered(OWN_PHASE, period, now);
        let samples = self.near.entry(None).or_insert_with(new);
        samples.take(own, period, now);
        let mut count = 0;
        for (vm, asked) in mates {
            count += 1;
            let samples = self.near.entry(Some(vm.clone()));
            let samples = samples.or_insert_with(|| Samples::staggered(phase(vm), period, now));
            samples.take(asked, period, now);
        }
        self.mates = self.mates.max(count);
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
            heard: now,
            incarnation,
            samples: Samples::new(now),
        };
        let period = self.period;
        let far = self.far.entry(vm.clone()).or_insert_with(new);
        if far.incarnation != incarnation {
            *far = new();
        }
        far.heard = now;
        far.samples.take(asked, period.mul_f64(PERIOD_PART), now);
    }

    /// A daemon is gone, or belongs to the cell now.
    pub(super) fn left(&mut self, vm: &VmId) {
        self.far.swap_remove(vm);
    }

    /// A daemon of the cell is gone.
    pub(super) fn mate_left(&mut self, vm: &VmId) {
        self.near.swap_remove(&Some(vm.clone()));
    }

    /// The part of a customer's quota that this cell may spend.
    pub(super) fn part_of_cell(&self, customer: &CustomerId, now: Instant) -> f64 {
        let cell = 1 + self.mates;
        let all = self.live.len().max(cell + self.far.len());
        let by_number = cell as f64 / all as f64;
        let near: f64 = self.near.values().map(|s| s.per_s(customer)).sum();
        let heard = self
            .far
            .iter()
            .filter(|(vm, far)| self.is_heard(vm, far, now));
        let (heard, far) = heard.fold((0, 0.0), |(count, sum), (_, far)| {
            (count + 1, sum + far.samples.per_s(customer))
        });
        if near + far <= 0.0 {
            return by_number;
        }
        let mean = (near + far) / (self.near.len() + heard) as f64;
        let unheard = mean * all.saturating_sub(self.near.len() + heard) as f64;
        let age = now.saturating_duration_since(self.since);
        let settled = (age.as_secs_f64() / SETTLED.as_secs_f64()).min(1.0);
        let by_demand = (1.0 - EVEN_PART) * settled;
        by_number * (1.0 - by_demand) + by_demand * near / (near + far + unheard)
    }

    fn is_heard(&self, vm: &VmId, far: &Far, now: Instant) -> bool {
        let age = now.saturating_duration_since(far.heard);
        let is_live = self.live.is_empty() || self.live.contains(vm);
        is_live && age < self.period.mul_f64(UNHEARD_AFTER)
    }
}

/// Part of a period, from 0 to 1, at which a daemon of the cell is sampled first: all of them start at about
/// the same time.
fn phase(vm: &VmId) -> f64 {
    xxh3::xxh3_64(vm.as_bytes()) as f64 / u64::MAX as f64
}
