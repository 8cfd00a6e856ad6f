//! Targets that give no sign of life: how many requests of a cell lie there.

use std::time::Duration;

use lilaccrank::dispatch::health::State;
use lilaccrank::dispatch::message::{Outcome, ReportKind};
use lilaccrank::dispatch::sharing::{Digest, Observation, Sample};
use lilaccrank::document::Target;

use crate::dispatch_fixtures::{
    deliver_digest, digest, empty_digest, harness, submission, target_digest,
};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// Adds a target that has given no sign of life, and removes the one of the harness.
fn with_new_target() -> Harness {
    let mut harness = harness(&[4]);
    harness.pool.targets = vec![Target {
        data_centre: DATA_CENTRE.to_owned(),
        id: "new".to_owned(),
        slots: 4,
        ..Target::default()
    }];
    harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
    harness
}

fn submit(harness: &mut Harness, requests: &[&str]) -> usize {
    for request in requests {
        harness.submit(submission(request, 0));
    }
    harness.grants().len()
}

fn give_up(harness: &mut Harness, request: &str, target: &str) {
    let kind = ReportKind::Ended {
        decoded: 0,
        outcome: Outcome::Cancelled,
        prefill: None,
    };
    harness.report(request, target, kind);
}

/// The connections of these requests break.
fn lose_connections(harness: &mut Harness, requests: &[&str]) {
    for request in requests {
        let kind = ReportKind::Ended {
            decoded: 0,
            outcome: Outcome::Failed,
            prefill: None,
        };
        harness.report(request, "t0", kind);
    }
}

fn sample(target: &str, observation: Observation) -> Digest {
    Digest {
        samples: vec![Sample {
            observation,
            target: target_digest(target),
        }],
        ..Digest::default()
    }
}

// Guards against a new target that gets requests for all its slots before it has read one.
#[test]
fn a_new_target_gets_one_request_until_it_answers() {
    let mut harness = with_new_target();
    assert_eq!(submit(&mut harness, &["a", "b", "c"]), 1);
    let after = Duration::from_millis(20);
    harness.report("a", "new", ReportKind::FirstToken { after });
    assert_eq!(harness.grants().len(), 2);
}

// Guards against requests that pile up at a mute target as callers leave and free its slots.
#[test]
fn requests_that_were_given_up_go_on_lying_there() {
    let mut harness = with_new_target();
    assert_eq!(submit(&mut harness, &["a", "b", "c", "d"]), 1);
    give_up(&mut harness, "a", "new");
    assert_eq!(harness.grants().len(), 0);
    harness.advance(Duration::from_millis(1_050));
    assert_eq!(harness.grants().len(), 1);
}

// Guards against a trial by each daemon of the cell.
#[test]
fn a_trial_of_another_daemon_counts() {
    let mut harness = with_new_target();
    deliver_digest(&harness, "vm2", digest("new", 1, 100));
    harness.advance(Duration::from_millis(100));
    assert_eq!(submit(&mut harness, &["a"]), 0);
    // Its caller leaves, and the request goes on lying there.
    deliver_digest(&harness, "vm2", empty_digest());
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.grants().len(), 0);
    let answered = sample("new", Observation::Answered);
    deliver_digest(&harness, "vm2", answered);
    assert_eq!(harness.grants().len(), 1);
}

// Guards against a target that reads nothing and gets more whenever impatient callers leave.
#[test]
fn callers_that_leave_unanswered_show_that_a_target_is_silent() {
    let mut harness = harness(&[4]);
    assert_eq!(submit(&mut harness, &["a", "b"]), 2);
    harness.advance(Duration::from_millis(300));
    give_up(&mut harness, "a", "t0");
    assert_eq!(submit(&mut harness, &["c"]), 1);
    harness.advance(Duration::from_millis(300));
    give_up(&mut harness, "b", "t0");
    assert_eq!(
        harness.dispatcher.status().targets[0].health,
        State::Unresponsive
    );
    assert_eq!(submit(&mut harness, &["d"]), 0);
}

// Guards against a daemon that was held up, gives up what its callers no longer wait for, and takes that for a sign
// of a silent target.
#[test]
fn requests_that_are_given_up_after_a_pause_show_no_silence() {
    let mut harness = harness(&[4]);
    assert_eq!(submit(&mut harness, &["a"]), 1);
    harness.advance(Duration::from_millis(50));
    harness.clock.advance(Duration::from_secs(2));
    give_up(&mut harness, "a", "t0");
    assert_eq!(
        harness.dispatcher.status().targets[0].health,
        State::Healthy
    );
}

// Guards against a target that one daemon knows to be silent and the others go on sending to.
#[test]
fn the_silence_that_another_daemon_tells_of_counts() {
    let mut harness = harness(&[4]);
    harness.advance(Duration::from_secs(1));
    deliver_digest(&harness, "vm2", sample("t0", Observation::Silent));
    assert_eq!(submit(&mut harness, &["a"]), 0);
}

// Guards against a daemon that has lost its path to a target and takes it away from all others.
#[test]
fn a_silence_that_only_another_daemon_sees_does_not_count() {
    let mut harness = harness(&[4]);
    harness.advance(Duration::from_secs(1));
    assert_eq!(submit(&mut harness, &["a"]), 1);
    harness.end("a", "t0");
    deliver_digest(&harness, "vm2", sample("t0", Observation::Silent));
    assert_eq!(submit(&mut harness, &["b"]), 1);
}

// Guards against a target that counts as free and well because another one answers at its address.
#[test]
fn an_answer_of_another_target_stops_requests() {
    let mut harness = harness(&[4]);
    harness.advance(Duration::from_secs(1));
    assert_eq!(submit(&mut harness, &["a"]), 1);
    let kind = ReportKind::Ended {
        decoded: 0,
        outcome: Outcome::Misdirected,
        prefill: None,
    };
    harness.report("a", "t0", kind);
    assert_eq!(submit(&mut harness, &["b"]), 0);
    harness.advance(Duration::from_millis(1_050));
    assert_eq!(harness.grants().len(), 1);
}

// Guards against each daemon having to find out for itself, also right after the target has answered.
#[test]
fn an_answer_of_another_target_counts_for_the_cell() {
    let mut harness = harness(&[4]);
    assert_eq!(submit(&mut harness, &["a"]), 1);
    harness.end("a", "t0");
    deliver_digest(&harness, "vm2", sample("t0", Observation::Misdirected));
    assert_eq!(submit(&mut harness, &["b"]), 0);
}

// Guards against a target that has ended and counts as free: its connections broke, which frees all its slots
// at once, and requests from the whole cell go to whoever answers at its address.
#[test]
fn a_target_whose_connection_broke_is_tried_with_one_request() {
    let mut harness = harness(&[4]);
    assert_eq!(submit(&mut harness, &["a", "b", "c", "d", "e", "f"]), 4);
    lose_connections(&mut harness, &["a", "b"]);
    assert_eq!(harness.grants().len(), 1);
}

// Guards against an answer from before a target ended that another daemon tells of after the end: taken for
// a sign of life, it opens all slots of a target that is gone.
#[test]
fn an_answer_from_before_the_end_is_no_sign_of_life() {
    let mut harness = harness(&[4]);
    assert_eq!(submit(&mut harness, &["a", "b", "c", "d", "e", "f"]), 4);
    lose_connections(&mut harness, &["a", "b"]);
    assert_eq!(harness.grants().len(), 1);
    harness.advance(Duration::from_millis(50));
    deliver_digest(&harness, "vm2", sample("t0", Observation::Answered));
    assert_eq!(harness.grants().len(), 0);
    harness.advance(Duration::from_millis(100));
    deliver_digest(&harness, "vm2", sample("t0", Observation::Answered));
    assert_eq!(harness.grants().len(), 1);
}

// Guards against requests of another daemon that count as gone from a target which it says is silent: they go
// on lying there, and the target would get as many more beside the trial of the cell.
#[test]
fn the_silence_that_another_daemon_tells_of_frees_no_slot() {
    let mut harness = harness(&[4]);
    deliver_digest(&harness, "vm2", digest("t0", 2, 100));
    assert_eq!(submit(&mut harness, &["a", "b", "c", "d"]), 2);
    harness.advance(Duration::from_secs(1));
    let left = Digest {
        samples: sample("t0", Observation::Silent).samples,
        ..empty_digest()
    };
    deliver_digest(&harness, "vm2", left);
    harness.advance(Duration::from_millis(900));
    deliver_digest(&harness, "vm2", digest("t0", 1, 100));
    harness.advance(Duration::from_millis(300));
    assert_eq!(harness.grants().len(), 0);
}
