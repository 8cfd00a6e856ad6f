//! Targets that ask for a pause.

use std::time::Duration;

use lilaccrank::dispatch::message::{Outcome, ReportKind, Submission, Verdict};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_instance::TargetInstance;

use crate::dispatch_fixtures::{granted, harness, submission};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

const PAUSE: Duration = Duration::from_secs(3);

fn push_back(harness: &Harness, target: &str, pause: Duration) {
    harness
        .dispatcher
        .push_back(&TargetInstance::from(target), pause);
}

/// Ends a request that its target has turned away.
fn turned_away(harness: &mut Harness, request: &str, target: &str) {
    let kind = ReportKind::Ended {
        decoded: 0,
        outcome: Outcome::Unused,
        prefill: None,
    };
    harness.report(request, target, kind);
}

/// A submission that waits for this long at most.
fn waiting(request: &str, wait: Duration) -> Submission {
    Submission {
        wait_at_most: Some(wait),
        ..submission(request, 0)
    }
}

// Guards against grants of a target that has asked for a pause, and against a rush to it afterwards.
#[test]
fn a_pause_ends_with_one_trial() {
    let mut harness = harness(&[4]);
    push_back(&harness, "t0", PAUSE);
    for request in ["a", "b", "c"] {
        harness.submit(submission(request, 0));
    }
    harness.advance(PAUSE - Duration::from_millis(100));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.grants(), granted("a", "t0"));
    harness.advance(PAUSE);
    assert_eq!(harness.grants(), []);
    harness.end("a", "t0");
    assert_eq!(harness.grants().len(), 2);
}

// The target accepts the trial with its first token: others need not wait for the whole answer.
#[test]
fn the_first_token_of_the_trial_ends_the_pushback() {
    let mut harness = harness(&[4]);
    push_back(&harness, "t0", PAUSE);
    harness.submit(submission("a", 0));
    harness.submit(submission("b", 0));
    harness.advance(PAUSE + Duration::from_millis(100));
    assert_eq!(harness.grants(), granted("a", "t0"));
    let after = Duration::from_millis(20);
    harness.report("a", "t0", ReportKind::FirstToken { after });
    assert_eq!(harness.grants(), granted("b", "t0"));
}

// A trial that is turned away brings the next pause, and a trial that was not sent brings another one.
#[test]
fn a_trial_that_is_turned_away_brings_the_next_pause() {
    let mut harness = harness(&[4]);
    push_back(&harness, "t0", PAUSE);
    harness.submit(submission("a", 0));
    harness.submit(submission("b", 0));
    harness.advance(PAUSE + Duration::from_millis(100));
    assert_eq!(harness.grants(), granted("a", "t0"));
    push_back(&harness, "t0", PAUSE);
    turned_away(&mut harness, "a", "t0");
    harness.advance(PAUSE - Duration::from_millis(100));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.grants(), granted("b", "t0"));
    turned_away(&mut harness, "b", "t0");
    harness.submit(submission("c", 0));
    assert_eq!(harness.grants(), granted("c", "t0"));
}

// Guards against an answer that was made earlier and arrives later: the longer pause counts.
#[test]
fn a_shorter_pause_does_not_shorten_a_longer_one() {
    let mut harness = harness(&[4]);
    push_back(&harness, "t0", PAUSE);
    push_back(&harness, "t0", Duration::from_millis(100));
    harness.submit(submission("a", 0));
    harness.advance(PAUSE - Duration::from_millis(100));
    assert_eq!(harness.grants(), []);
}

// An answer to a request that was sent before the pause does not end it.
#[test]
fn an_earlier_request_that_ends_does_not_end_the_pause() {
    let mut harness = harness(&[4]);
    harness.submit(submission("a", 0));
    assert_eq!(harness.grants(), granted("a", "t0"));
    push_back(&harness, "t0", PAUSE);
    harness.end("a", "t0");
    harness.submit(submission("b", 0));
    assert_eq!(harness.grants(), []);
}

#[test]
fn other_targets_take_over() {
    let mut harness = harness(&[4, 4]);
    push_back(&harness, "t0", PAUSE);
    for request in ["a", "b", "c", "d"] {
        harness.submit(submission(request, 0));
        assert_eq!(harness.grants(), granted(request, "t1"));
    }
}

/// Takes how long a submission waits at most while all targets pause, and whether it is refused.
macro_rules! all_pause {
    ($name:ident, $wait_ms:literal, $is_refused:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[4, 4]);
            push_back(&harness, "t0", PAUSE);
            push_back(&harness, "t1", PAUSE * 2);
            harness.submit(waiting("a", Duration::from_millis($wait_ms)));
            let verdicts = harness.verdicts();
            assert_eq!(!verdicts.is_empty(), $is_refused);
            if let Some(Verdict::Refuse(refuse)) = verdicts.first() {
                assert_eq!(refuse.kind, ErrorKind::Overloaded);
                let after = refuse.retry_after.unwrap();
                assert!(after >= PAUSE && after <= PAUSE * 2, "{after:?}");
            }
        }
    };
}

// Guards against callers that are held without hope, or refused though they can wait: the first pause
// decides.
all_pause!(who_cannot_wait_is_refused_at_once, 2_900, true);
all_pause!(who_can_wait_waits, 3_100, false);

// A submission that waits already is refused once its last target pauses for too long.
#[test]
fn who_waits_is_refused_once_nothing_is_left() {
    let mut harness = harness(&[1, 1]);
    for request in ["a", "b"] {
        harness.submit(submission(request, 0));
    }
    assert_eq!(harness.grants().len(), 2);
    harness.submit(waiting("c", Duration::from_secs(1)));
    push_back(&harness, "t0", PAUSE);
    assert_eq!(harness.refusals(), []);
    push_back(&harness, "t1", PAUSE);
    let refused = [("c".to_owned(), ErrorKind::Overloaded)];
    assert_eq!(harness.refusals(), refused);
}

// A target that starts again under its name has asked for nothing.
#[test]
fn a_restart_ends_the_pause() {
    let mut harness = harness(&[1]);
    push_back(&harness, "t0", PAUSE);
    harness.pool.targets[0].started_ms = 1_790_000_000_000;
    let pool = harness.pool.clone();
    harness.dispatcher.set_targets(&pool, DATA_CENTRE);
    harness.submit(submission("a", 0));
    assert_eq!(harness.grants(), granted("a", "t0"));
}
