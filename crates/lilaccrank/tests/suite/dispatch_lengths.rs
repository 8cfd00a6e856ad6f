//! Deadlines and the expected length of answers, as far as there is evidence for it.

use std::time::Duration;

use lilaccrank::dispatch::message::{Outcome, ReportKind, Submission};
use lilaccrank::error_kind::ErrorKind;

use crate::dispatch_fixtures::{granted, harness, refused, submission};
use crate::dispatch_harness::Harness;

/// Tokens that an answer may have.
const MAX_TOKENS: u32 = 1_000;
/// Answers after which their average length is known.
const ENOUGH: u32 = 40;

/// A request whose answer may take several times the time that is left.
fn short_of_time(request: &str) -> Submission {
    Submission {
        deadline: Some(Duration::from_millis(1_500)),
        max_tokens: MAX_TOKENS,
        ..submission(request, 0)
    }
}

/// Lets the dispatcher see answers of this length.
fn teach_length(harness: &mut Harness, decoded: u32) {
    for number in 0..ENOUGH {
        let request = format!("seen {number}");
        harness.submit(Submission {
            deadline: None,
            ..short_of_time(&request)
        });
        assert_eq!(harness.grants(), granted(&request, "t0"));
        let kind = ReportKind::Ended {
            decoded,
            outcome: Outcome::Complete,
            prefill: None,
        };
        harness.report(&request, "t0", kind);
    }
}

// Guards against a daemon that has just started and refuses requests for a length of their answers which
// it has not seen yet.
#[test]
fn without_evidence() {
    let mut harness = harness(&[1]);
    harness.submit(short_of_time("r1"));
    assert_eq!(harness.grants(), granted("r1", "t0"));
}

// Guards against a few short answers after a start that don't count.
#[test]
fn a_few_short_answers_are_evidence() {
    let mut harness = harness(&[1]);
    teach_length(&mut harness, MAX_TOKENS / 20);
    harness.submit(short_of_time("r1"));
    assert_eq!(harness.grants(), granted("r1", "t0"));
}

// Guards against work on answers that will not be whole in time, once their length is known.
#[test]
fn long_answers_are_evidence() {
    let mut harness = harness(&[1]);
    teach_length(&mut harness, MAX_TOKENS);
    harness.submit(short_of_time("r1"));
    let unmeetable = refused("r1", ErrorKind::DeadlineUnmeetable);
    assert_eq!(harness.refusals(), unmeetable);
}
