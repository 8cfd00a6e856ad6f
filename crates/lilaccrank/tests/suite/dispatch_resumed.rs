//! Partial answers that are to be resumed on another target.

use std::time::{Duration, Instant};

use lilaccrank::dispatch::message::{PartialAnswer, Submission};
use lilaccrank::document::Target;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::stream_progress::StreamProgress;

use crate::dispatch_fixtures::{granted, harness, refused, submission};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// First-token objective of the submissions.
const OBJECTIVE: Duration = Duration::from_secs(1);

/// Returns a submission with a first-token objective and a deadline of 10 s.
fn submission_with_objective(request: &str, tier: u8) -> Submission {
    Submission {
        deadline: Some(Duration::from_secs(10)),
        objective: Some(OBJECTIVE),
        max_tokens: 2_000,
        ..submission(request, tier)
    }
}

/// Returns a submission to resume an answer after 400 tokens. `remaining` is the time in seconds
/// that its current target would need for the rest.
fn submission_to_resume(request: &str, tier: u8, remaining: Option<u64>) -> Submission {
    Submission {
        partial: Some(PartialAnswer {
            remaining: remaining.map(Duration::from_secs),
            tokens: 400,
        }),
        ..submission_with_objective(request, tier)
    }
}

/// Lets the dispatcher measure a target's step time on one request.
fn teach_step_time(harness: &mut Harness, target: &str, step_ms: u64) {
    let request = format!("seen on {target}");
    let others = ["t0", "t1"].into_iter().filter(|other| *other != target);
    harness.submit(Submission {
        exclusions: others.map(Into::into).collect(),
        ..submission(&request, 0)
    });
    assert_eq!(harness.grants(), granted(&request, target));
    harness.report_steps(&request, target, step_ms, 60);
    harness.end(&request, target);
}

// Guards against a broken stream that waits behind new requests of its tier until its caller gives up,
// although it has part of the answer.
#[test]
fn resumed_answer_goes_before_new_submissions() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    assert_eq!(harness.grants(), granted("runs", "t0"));
    harness.submit(submission_with_objective("new", 1));
    harness.submit(submission_to_resume("broken", 1, None));
    harness.end("runs", "t0");
    assert_eq!(harness.grants(), granted("broken", "t0"));
}

// Guards against a resumed answer of a later tier that delays urgent requests.
#[test]
fn earlier_tier_goes_before_a_resumed_answer() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    assert_eq!(harness.grants(), granted("runs", "t0"));
    harness.submit(submission_to_resume("broken", 1, None));
    harness.submit(submission_with_objective("urgent", 0));
    harness.end("runs", "t0");
    assert_eq!(harness.grants(), granted("urgent", "t0"));
}

// Guards against migrating a long answer to a target that is no faster, where the prefill is wasted.
#[test]
fn resumed_answer_waits_for_a_faster_target() {
    let mut harness = harness(&[8, 1]);
    teach_step_time(&mut harness, "t0", 20);
    teach_step_time(&mut harness, "t1", 5);
    harness.submit(Submission {
        exclusions: vec!["t0".into()],
        ..submission("fills", 0)
    });
    assert_eq!(harness.grants(), granted("fills", "t1"));
    harness.submit(submission_to_resume("long", 0, Some(12)));
    harness.advance(3 * OBJECTIVE);
    assert_eq!(harness.verdicts(), []);
    harness.end("fills", "t1");
    assert_eq!(harness.grants(), granted("long", "t1"));
}

// Guards against refusing a migration while a faster target may still become free.
#[test]
fn resumed_answer_waits_until_its_deadline() {
    let mut harness = harness(&[8, 8]);
    teach_step_time(&mut harness, "t0", 20);
    teach_step_time(&mut harness, "t1", 20);
    harness.submit(submission_to_resume("long", 0, Some(12)));
    harness.advance(Duration::from_millis(9_900));
    assert_eq!(harness.verdicts(), []);
    harness.advance(Duration::from_millis(200));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("long", kind));
}

/// Lets `t0` show steps of 30 ms, and then lists `t1`.
fn list_behind_a_slow_target() -> Harness {
    let mut harness = harness(&[8]);
    teach_step_time(&mut harness, "t0", 30);
    harness.pool.targets.push(Target {
        id: "t1".to_owned(),
        ..harness.pool.targets[0].clone()
    });
    harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
    harness.prove_targets();
    harness
}

// Guards against a late answer that stays at its slow target, since a free one that was listed afterwards is
// taken for as slow.
#[test]
fn resumed_answer_goes_to_a_target_without_steps() {
    let mut harness = list_behind_a_slow_target();
    harness.submit(submission_to_resume("long", 0, Some(12)));
    assert_eq!(harness.grants(), granted("long", "t1"));
}

// Guards against moving all late answers to a target of which nothing is known.
#[test]
fn one_resumed_answer_at_a_time_goes_to_a_target_without_steps() {
    let mut harness = list_behind_a_slow_target();
    harness.submit(submission_to_resume("first", 0, Some(12)));
    harness.submit(submission_to_resume("second", 0, Some(12)));
    assert_eq!(harness.grants(), granted("first", "t1"));
    harness.report_steps("first", "t1", 30, 60);
    harness.end("first", "t1");
    harness.advance(OBJECTIVE);
    assert_eq!(harness.verdicts(), []);
}

// Guards against detecting a long answer on a slow target only at its deadline.
#[test]
fn an_overrun_is_projected() {
    let start = Instant::now();
    let at = |secs: u64| start + Duration::from_secs(secs);
    let projected_overrun = |deadline: u64| {
        let mut progress = StreamProgress::new(0, Some(at(deadline)));
        progress.record_tokens(1, start);
        progress.record_tokens(399, at(4));
        progress.remaining_time_if_late(at(4))
    };
    assert_eq!(projected_overrun(7), Some(Duration::from_secs(4)));
    assert_eq!(projected_overrun(9), None);
}

// Guards against migrating an answer for the time in which its reader has fallen behind.
#[test]
fn no_overrun_for_pauses_of_the_reader() {
    let start = Instant::now();
    let at = |secs: u64| start + Duration::from_secs(secs);
    let mut progress = StreamProgress::new(0, Some(at(12)));
    progress.record_tokens(1, start);
    progress.record_tokens(399, at(4));
    progress.pause(at(4));
    assert_eq!(progress.remaining_time_if_late(at(9)), None);
    assert_eq!(progress.resume(at(7)), Duration::from_secs(3));
    assert_eq!(progress.remaining_time_if_late(at(7)), None);
    let remaining = progress.remaining_time_if_late(at(9));
    assert_eq!(remaining, Some(Duration::from_secs(6)));
}

// Guards against migrating an answer that has no first token yet, or no deadline.
#[test]
fn no_overrun_without_first_token_or_deadline() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    assert_eq!(
        StreamProgress::new(0, Some(now)).remaining_time_if_late(late),
        None
    );
    let mut without_deadline = StreamProgress::new(0, None);
    without_deadline.record_tokens(10, now);
    assert_eq!(without_deadline.remaining_time_if_late(late), None);
}
