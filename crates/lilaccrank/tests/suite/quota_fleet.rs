//! Quotas across hundreds of daemons in cells that report to each other only every two seconds.

use std::time::{Duration, Instant};

use lilaccrank::cells::Cell;
use lilaccrank::document::{Quota, QuotaUnit};
use lilaccrank::ids::VmId;
use lilaccrank::quota::{Debit, Quotas};

const CUSTOMER: &str = "depot";
const DAEMONS: usize = 300;
/// Time between two reports of a daemon to its cell.
const STEP: Duration = Duration::from_millis(50);
/// Time between two demand reports of a cell to all daemons.
const CELL_REPORT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time after which an isolated daemon is no longer a member and knows no other daemon.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Tokens of one request.
const REQUEST_TOKENS: u64 = 3_000;
const QUOTA: Quota = Quota {
    burst: 600_000.0,
    per_s: 600_000.0,
    plain_tokens: 200,
    unit: QuotaUnit::Tokens,
};
/// Reserve of all daemons together beyond the burst, in units.
const RESERVE: f64 = 36_000.0;
/// Window over which the units that passed are summed.
const WINDOW: Duration = Duration::from_secs(8);

/// Units allowed in any window: a tenth more than the quota, plus a fixed slack.
const ALLOWED: f64 = (QUOTA.per_s * 8.0 + QUOTA.burst) * 1.1 + 72_000.0;

/// A simulated fleet that serves one customer.
struct Fleet {
    /// For each daemon, the other daemons of its cell as it sees them.
    cells: Vec<Vec<usize>>,
    daemons: Vec<Quotas>,
    /// For each daemon, whether it is isolated from all others.
    isolated: Vec<bool>,
    names: Vec<VmId>,
    now: Instant,
    passed: Vec<(Instant, u64)>,
    rng_state: u64,
    /// For each daemon, whether it sends the demand reports of its cell.
    is_representative: Vec<bool>,
    step: usize,
}

impl Fleet {
    fn new() -> Self {
        let now = Instant::now();
        let new = |_| {
            let mut quotas = Quotas::new(3, now).with_reserve(RESERVE);
            quotas.set_report_interval(CELL_REPORT_INTERVAL);
            quotas
        };
        let mut fleet = Self {
            cells: vec![Vec::new(); DAEMONS],
            daemons: (0..DAEMONS).map(new).collect(),
            isolated: vec![false; DAEMONS],
            names: (0..DAEMONS).map(|at| format!("vm{at}")).collect(),
            now,
            passed: Vec::new(),
            rng_state: 7,
            is_representative: vec![false; DAEMONS],
            step: 0,
        };
        fleet.assign_cells();
        fleet
    }

    /// Assigns each daemon to a cell according to its own view of the members.
    fn assign_cells(&mut self) {
        for me in 0..DAEMONS {
            let can_reach =
                |other: usize| other == me || !(self.isolated[me] || self.isolated[other]);
            let reachable: Vec<usize> = (0..DAEMONS).filter(|other| can_reach(*other)).collect();
            let members = reachable.iter().map(|at| &self.names[*at]);
            let cell = Cell::new(members, &self.names[me]);
            let live = reachable.iter().map(|at| self.names[*at].clone()).collect();
            self.daemons[me].set_cell(cell.id(), cell.peers(), &live, self.now);
            let cell_peers = cell.peers();
            self.is_representative[me] = cell.representative(&self.names[me]) == &self.names[me];
            let is_cell_peer = |at: &usize| cell_peers.contains(&self.names[*at]);
            self.cells[me] = reachable.into_iter().filter(is_cell_peer).collect();
        }
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) as usize % below
    }

    /// Sends `times` the quota for `time`, to pseudorandom daemons.
    fn apply_load(&mut self, time: Duration, times: f64) {
        let until = self.now + time;
        let each_step = QUOTA.per_s * times * STEP.as_secs_f64() / REQUEST_TOKENS as f64;
        while self.now < until {
            for _ in 0..each_step as usize {
                let at = self.random_below(DAEMONS);
                let debit = Debit {
                    is_plain: false,
                    tier: 0,
                    units: REQUEST_TOKENS,
                };
                let spent = self.daemons[at].spend(&CUSTOMER.to_owned(), QUOTA, debit, self.now);
                if spent.is_ok() {
                    self.passed.push((self.now, REQUEST_TOKENS));
                }
            }
            self.exchange_reports();
            self.now += STEP;
            self.step += 1;
        }
    }

    fn exchange_reports(&mut self) {
        let steps_apart = (CELL_REPORT_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        for from in (0..DAEMONS)
            .filter(|at| !self.isolated[*at])
            .collect::<Vec<_>>()
        {
            let report = self.daemons[from].report(self.now);
            for to in self.cells[from].clone() {
                if !self.isolated[to] {
                    self.daemons[to].merge_spent(&self.names[from], 1, &report, self.now);
                }
            }
            if !(self.step + from * 31).is_multiple_of(steps_apart) {
                continue;
            }
            if !self.is_representative[from] {
                continue;
            }
            let demand = self.daemons[from].cell_demand(self.now);
            for to in (0..DAEMONS).filter(|to| *to != from) {
                if !self.isolated[to] {
                    self.daemons[to].merge_cell_demand(demand.clone(), self.now);
                }
            }
        }
        for daemon in &mut self.daemons {
            daemon.tick(self.now);
        }
    }

    /// Maximum number of units that passed in any window.
    fn max_passed(&self) -> u64 {
        let mut max_passed = 0;
        let (mut sum, mut first) = (0, 0);
        for (at, units) in &self.passed {
            sum += units;
            while self.passed[first].0 + WINDOW <= *at {
                sum -= self.passed[first].1;
                first += 1;
            }
            max_passed = max_passed.max(sum);
        }
        max_passed
    }

    fn passed_since(&self, since: Instant) -> u64 {
        let passed = self.passed.iter().filter(|(at, _)| *at >= since);
        passed.map(|(_, units)| units).sum()
    }
}

// A customer suddenly sends six times as much. It must not pass a multiple of its quota before the
// cells hear of each other's demand.
#[test]
fn surge_on_all_daemons() {
    let mut fleet = Fleet::new();
    fleet.apply_load(Duration::from_secs(12), 0.5);
    let since = fleet.now;
    fleet.apply_load(Duration::from_secs(12), 3.0);
    let max_passed = fleet.max_passed() as f64;
    println!("maximum: {:.3} of the allowed units", max_passed / ALLOWED);
    assert!(max_passed <= ALLOWED, "{max_passed} of {ALLOWED}");
    let passed = fleet.passed_since(since) as f64;
    assert!(passed >= QUOTA.per_s * 12.0 * 0.9, "{passed}");
}

// A third of the daemons is isolated before a surge. If they relied on the last demand reports of
// the others, each would take a multiple of its share.
#[test]
fn surge_while_a_third_is_isolated() {
    let mut fleet = Fleet::new();
    fleet.apply_load(Duration::from_secs(12), 0.5);
    for at in (0..DAEMONS).filter(|at| at % 20 < 7) {
        fleet.isolated[at] = true;
    }
    fleet.apply_load(SUSPICION_TIMEOUT, 0.5);
    fleet.assign_cells();
    fleet.apply_load(Duration::from_secs(1), 0.5);
    fleet.apply_load(Duration::from_secs(10), 3.0);
    let max_passed = fleet.max_passed() as f64;
    println!("maximum: {:.3} of the allowed units", max_passed / ALLOWED);
    assert!(max_passed <= ALLOWED, "{max_passed} of {ALLOWED}");
}

impl Fleet {
    /// Starts all daemons anew, `down` after they were killed. They know of each other only after `alone`.
    fn restart_all(&mut self, down: Duration, alone: Duration, times: f64) {
        self.now += down;
        let fresh = Self::new();
        let now = self.now;
        let new = |_| {
            let mut quotas = Quotas::new(3, now).with_reserve(RESERVE);
            quotas.set_report_interval(CELL_REPORT_INTERVAL);
            quotas
        };
        self.daemons = (0..DAEMONS).map(new).collect();
        self.cells = vec![Vec::new(); DAEMONS];
        self.is_representative = fresh.is_representative;
        self.apply_load(alone, times);
        self.assign_cells();
    }
}

/// Loads with a customer that sends a multiple of its quota, a kill of all daemons within it, the time for which they
/// know nobody after it, and the times of the quota that are sent.
macro_rules! killed {
    ($($name:ident: $alone_ms:literal, $before_ms:literal, $times:literal;)*) => {$(
        /// Guards against quotas that are exceeded since all daemons forget at a kill what was spent.
        #[test]
        fn $name() {
            let mut fleet = Fleet::new();
            fleet.apply_load(Duration::from_secs(12), 0.5);
            fleet.apply_load(Duration::from_millis($before_ms), $times);
            let (down, alone) = (Duration::from_millis(550), Duration::from_millis($alone_ms));
            let since = fleet.now;
            fleet.restart_all(down, alone, $times);
            fleet.apply_load(Duration::from_secs(8), $times);
            let max_passed = fleet.max_passed() as f64;
            println!("maximum: {:.3} of the allowed units", max_passed / ALLOWED);
            assert!(max_passed <= ALLOWED, "{max_passed} of {ALLOWED}");
            let passed = fleet.passed_since(since) as f64;
            assert!(passed >= QUOTA.per_s * 8.0 * 0.8, "{passed}");
        }
    )*};
}

killed! {
    all_killed_late_in_a_window: 0, 6_000, 3.0;
    all_killed_early_in_a_window: 0, 1_000, 3.0;
    all_killed_and_alone_for_a_moment: 100, 6_000, 3.0;
    all_killed_and_alone_for_a_while: 300, 6_000, 3.0;
    all_killed_and_alone_early_in_a_window: 300, 1_000, 3.0;
}
