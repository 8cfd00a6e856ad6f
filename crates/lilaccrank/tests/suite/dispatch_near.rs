//! Targets of several data centres: work goes to those nearby as long as that costs its callers nothing.

use crate::dispatch_cases::{ask, granted, harness, survey};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// Targets with these slots, of which `near` are in the daemon's data centre.
fn targets(slots: &[u32], near: &[usize]) -> Harness {
    let mut harness = harness(slots);
    for (at, target) in harness.pool.targets.iter_mut().enumerate() {
        if !near.contains(&at) {
            target.data_centre = "spanish-town".to_owned();
        }
    }
    harness
        .dispatcher
        .set_targets_where(&harness.pool, |_| true);
    harness
}

// Every request and answer crosses the lines between data centres, which are paid by the byte, though
// targets nearby are as idle: all were taken in turn.
#[test]
fn of_idle_targets_one_nearby_is_taken() {
    let mut harness = targets(&[8, 8, 8, 8], &[2]);
    for number in 0..6 {
        let request = format!("r{number}");
        harness.ask(ask(&request, 0));
        assert_eq!(harness.grants(), granted(&request, "t2"));
        harness.end(&request, "t2");
    }
}

// The target nearby reads long prompts: who goes there waits for them. A far one answers sooner.
#[test]
fn a_far_one_is_taken_where_it_is_sooner() {
    let mut harness = targets(&[8, 8], &[1]);
    harness.ask(survey("long", 0));
    assert_eq!(harness.grants(), granted("long", "t1"));
    harness.ask(ask("short", 0));
    assert_eq!(harness.grants(), granted("short", "t0"));
}

// Nobody nearby has room: the caller waits for nothing.
#[test]
fn a_far_one_is_taken_where_there_is_room() {
    let mut harness = targets(&[8, 1], &[1]);
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
    harness.ask(ask("b", 0));
    assert_eq!(harness.grants(), granted("b", "t0"));
}

// All data centres are one: as before, targets are taken in turn.
#[test]
fn targets_nearby_are_taken_in_turn() {
    let mut harness = targets(&[8, 8], &[0, 1]);
    assert_eq!(harness.pool.targets[0].data_centre, DATA_CENTRE);
    let mut taken = Vec::new();
    for number in 0..4 {
        let request = format!("r{number}");
        harness.ask(ask(&request, 0));
        let (_, target) = harness.grants().remove(0);
        harness.end(&request, &target);
        taken.push(target);
    }
    assert_eq!(taken, ["t0", "t1", "t0", "t1"]);
}
