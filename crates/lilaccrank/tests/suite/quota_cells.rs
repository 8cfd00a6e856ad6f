//! Quotas that the cells of a large fleet divide.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use lilaccrank::cells::CellId;
use lilaccrank::document::Quota;
use lilaccrank::quota::{CellDemand, Quotas};

use crate::quota_harness::{CUSTOMER, Fleet, QUOTA, REVIEW, TOLD_EVERY, WINDOW, allowed};

/// A fleet in cells: daemons of a cell tell each other all, and one of each cell tells the other cells what
/// it is asked.
fn tell_cells(
    daemons: &mut [Quotas],
    cell_size: usize,
    now: Instant,
    words: impl Fn(usize) -> bool,
) {
    for from in 0..daemons.len() {
        let cell = from / cell_size;
        let spent = daemons[from].spent(now);
        for to in (cell * cell_size..(cell + 1) * cell_size).filter(|to| *to != from) {
            daemons[to].heard(&format!("vm{from}"), 1, &spent, now);
        }
        if from % cell_size == 0 && words(cell) {
            let demand = daemons[from].cell_demand(now);
            for to in (0..daemons.len()).filter(|to| *to != from) {
                daemons[to].heard_cell(demand.clone(), now);
            }
        }
    }
}

/// Daemons in cells of this size.
fn in_cells(count: usize, cell_size: usize, new: impl Fn() -> Quotas, now: Instant) -> Vec<Quotas> {
    let vms: IndexSet<String> = (0..count).map(|at| format!("vm{at}")).collect();
    let cells = u16::try_from(count / cell_size).unwrap();
    let mut daemons: Vec<Quotas> = (0..count).map(|_| new()).collect();
    for (at, daemon) in daemons.iter_mut().enumerate() {
        let index = at / cell_size;
        let mates = (index * cell_size..(index + 1) * cell_size).filter(|mate| *mate != at);
        let mates = mates.map(|mate| format!("vm{mate}")).collect();
        let id = CellId {
            count: cells,
            index: u16::try_from(index).unwrap(),
        };
        daemon.set_cell(id, &mates, &vms, now);
    }
    daemons
}

/// Forty daemons in four cells: what passes of three times, later of `surge` times the quota, if
/// cells hear of each other every 640 ms and one word in ten is lost. Requests go to daemons by
/// `turn`.
fn cells_under_pressure(surge: usize, turn: impl Fn(usize) -> usize) -> Fleet {
    let pace = Duration::from_millis(640);
    let steps_apart = (pace.as_millis() / TOLD_EVERY.as_millis()) as usize;
    let mut fleet = Fleet::new(40);
    fleet.daemons = in_cells(40, 10, || Quotas::new(3, fleet.start), fleet.start);
    for daemon in &mut fleet.daemons {
        daemon.set_pace(pace);
    }
    let mut request = 0;
    for step in 0..1_000 {
        let times = if step < 500 { 2 } else { surge };
        for _ in 0..times {
            request += 1;
            fleet.spend(turn(request) % 40, Fleet::wish(0, REVIEW));
        }
        let word = |cell: usize| (step + cell * 7).is_multiple_of(steps_apart);
        let lost = |cell: usize| (step / steps_apart + cell * 3).is_multiple_of(10);
        let words = |cell: usize| word(cell) && !lost(cell);
        tell_cells(&mut fleet.daemons, 10, fleet.now, words);
        fleet.now += TOLD_EVERY;
    }
    fleet
}

// A customer of a large fleet sends three times its quota, then suddenly ten times as much. With
// a bucket for all daemons, each would let pass what comes until it hears of the others, 0.6
// seconds later. Each cell stays within its part.
#[test]
fn a_surge_on_all_cells() {
    let fleet = cells_under_pressure(7, |request| request);
    let most = fleet.most_in(WINDOW) as f64;
    assert!(most <= allowed(WINDOW) * 1.05, "{most}");
    let passed: u64 = fleet.passed.iter().map(|(_, units)| units).sum();
    assert!(passed as f64 >= QUOTA.per_s * 18.0, "{passed}");
}

// Half of a customer's callers happen to be connected to one cell of four. Divided evenly, that
// cell would refuse half of what it is asked while the others don't use their parts.
#[test]
fn a_cell_that_is_asked_more() {
    let skewed = |request: usize| match request % 2 {
        0 => request / 2 % 10,
        _ => 10 + request / 2 % 30,
    };
    let fleet = cells_under_pressure(2, skewed);
    let most = fleet.most_in(WINDOW) as f64;
    assert!(most <= allowed(WINDOW) * 1.05, "{most}");
    let passed: u64 = fleet.passed.iter().map(|(_, units)| units).sum();
    assert!(passed as f64 >= QUOTA.per_s * 18.0, "{passed}");
}

/// Parts in 100 of a customer's requests that are refused. Half of its quota of forty thousand tokens
/// a second is asked of 72 daemons in eight cells, by callers that each send a few requests at once.
fn refused_in_clumps(reserve: f64) -> usize {
    const SMALL: Quota = Quota {
        burst: 40_000.0,
        per_s: 40_000.0,
        ..QUOTA
    };
    let start = Instant::now();
    let new = || Quotas::new(3, start).with_reserve(reserve);
    let mut daemons = in_cells(72, 9, new, start);
    let (mut now, mut refused, mut asked) = (start, 0, 0);
    for step in 0..1_000_usize {
        // Three reviews at once, 2.2 times a second, at a daemon drawn from all.
        if step > 250 && step.is_multiple_of(23) {
            let at = step.wrapping_mul(2_654_435_761) >> 7;
            for tier in [0, 1, 0] {
                let wish = Fleet::wish(tier, REVIEW);
                let spent = daemons[at % 72].spend(&CUSTOMER.to_owned(), SMALL, wish, now);
                asked += 1;
                refused += usize::from(spent.is_err());
            }
        }
        tell_cells(&mut daemons, 9, now, |cell| {
            (step + cell).is_multiple_of(50)
        });
        now += TOLD_EVERY;
    }
    refused * 100 / asked
}

// A small customer of a large fleet stays within its quota over any second or two, but its callers
// send a few reviews at once to one daemon. A cell's part of the quota holds less than two of them:
// the others would be refused though the customer is within its quota.
#[test]
fn clumps_within_the_quota() {
    let without = refused_in_clumps(0.0);
    println!("refused without a reserve: {without} in 100");
    assert!(without > 20, "{without}");
    assert_eq!(refused_in_clumps(36_000.0), 0);
}

// Parts by what cells tell just after a start would leave a cell a fortieth of its quotas for seconds.
#[test]
fn a_cell_that_has_just_started_takes_its_part_by_number() {
    let start = Instant::now();
    let mut quotas = in_cells(72, 9, || Quotas::new(3, start), start).swap_remove(0);
    let customer = CUSTOMER.to_owned();
    let mut now = start;
    for word in 1..4 {
        now = start + Duration::from_millis(500 * word);
        for index in 1..8 {
            quotas.heard_cell(
                CellDemand {
                    cell: CellId { count: 8, index },
                    members: 9,
                    rates: vec![(customer.clone(), 40_000)],
                },
                now,
            );
        }
        for at in 1..9 {
            quotas.heard(&format!("vm{at}"), 1, &[], now);
        }
        quotas.cell_demand(now);
    }
    // Filled for a second and a half at an eighth of the rate, up to an eighth of the burst, of which
    // three tenths are by demand already.
    let wish = Fleet::wish(0, REVIEW);
    let passed = (0..3).filter(|_| quotas.spend(&customer, QUOTA, wish, now).is_ok());
    assert_eq!(passed.count(), 3);
}
