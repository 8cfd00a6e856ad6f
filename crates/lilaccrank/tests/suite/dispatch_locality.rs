//! Targets in several data centres: local ones are preferred unless that delays the request.

use crate::dispatch_fixtures::{granted, harness, submission, submission_with_long_prompt};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// Returns a harness with one target for each slot count; those with an index in `local` are in the
/// daemon's data centre.
fn harness_with_local_targets(slots: &[u32], local: &[usize]) -> Harness {
    let mut harness = harness(slots);
    for (index, target) in harness.pool.targets.iter_mut().enumerate() {
        if !local.contains(&index) {
            target.data_centre = "spanish-town".to_owned();
        }
    }
    harness
        .dispatcher
        .set_targets_where(&harness.pool, &[], |_| true);
    harness
}

// Guards against round robin over all data centres while local targets are idle: traffic between data
// centres is paid by the byte.
#[test]
fn idle_local_target_is_preferred() {
    let mut harness = harness_with_local_targets(&[8, 8, 8, 8], &[2]);
    for number in 0..6 {
        let request = format!("r{number}");
        harness.submit(submission(&request, 0));
        assert_eq!(harness.grants(), granted(&request, "t2"));
        harness.end(&request, "t2");
    }
}

// Guards against waiting behind a long prefill at a local target when a remote one answers sooner.
#[test]
fn remote_target_is_chosen_if_it_answers_sooner() {
    let mut harness = harness_with_local_targets(&[8, 8], &[1]);
    harness.submit(submission_with_long_prompt("long", 0));
    assert_eq!(harness.grants(), granted("long", "t1"));
    harness.submit(submission("short", 0));
    assert_eq!(harness.grants(), granted("short", "t0"));
}

// Guards against waiting for a slot at a local target when a remote one has a free slot.
#[test]
fn remote_target_is_chosen_if_local_ones_are_full() {
    let mut harness = harness_with_local_targets(&[8, 1], &[1]);
    harness.submit(submission("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
    harness.submit(submission("b", 0));
    assert_eq!(harness.grants(), granted("b", "t0"));
}

// Guards against a change of order where all targets are local: idle ones are chosen in turn.
#[test]
fn local_targets_are_chosen_in_turn() {
    let mut harness = harness_with_local_targets(&[8, 8], &[0, 1]);
    assert_eq!(harness.pool.targets[0].data_centre, DATA_CENTRE);
    let mut chosen = Vec::new();
    for number in 0..4 {
        let request = format!("r{number}");
        harness.submit(submission(&request, 0));
        let (_, target) = harness.grants().remove(0);
        harness.end(&request, &target);
        chosen.push(target);
    }
    assert_eq!(chosen, ["t0", "t1", "t0", "t1"]);
}
