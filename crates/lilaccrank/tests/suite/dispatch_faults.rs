//! Failures at the dispatcher: superseded submissions, lost messages, unresponsive and slow
//! targets, handover.

use std::time::Duration;

use futures::FutureExt;
use lilaccrank::dispatch::health::State;
use lilaccrank::dispatch::message::{Cancel, ReportKind, Resync, Running, Submission, Verdict};
use lilaccrank::document::TargetState;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_instance::TargetInstance;

use crate::dispatch_fixtures::{
    CONCURRENCY_LIMIT, FIRST_TOKEN, MIN_HANG_TIMEOUT, entry, granted, harness, refused, submission,
    submission_with_limit, submission_with_long_prompt, waiting,
};
use crate::dispatch_harness::{Harness, LOWEST_TIER};

fn cancel(request: &str) -> Cancel {
    Cancel {
        submission: 1,
        request: request.to_owned(),
    }
}

// Guards against a request that holds two slots or is sent twice: an entry that lost the answer
// submits the request again with a new number, and a grant for the first submission comes late.
#[test]
fn later_submission_supersedes_the_earlier_one() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    let repeated = submission_with_limit("again", CONCURRENCY_LIMIT);
    harness.submit(repeated.clone());
    harness.verdicts();
    harness.submit(Submission {
        submission: 2,
        ..repeated
    });
    assert_eq!(harness.refusals(), refused("again", ErrorKind::Cancelled));
    harness.end("runs", "t0");
    let verdicts = harness.verdicts();
    let [Verdict::Grant(grant)] = verdicts.as_slice() else {
        panic!("{verdicts:?}");
    };
    assert_eq!((grant.submission, grant.dispatcher.as_str()), (2, "vm1"));
    harness.end("again", "t0");
    assert_eq!(
        harness.dispatcher.status().running,
        1,
        "a report for submission 1 is ignored"
    );
    harness.submit(submission("again", 0));
    assert_eq!(harness.refusals(), refused("again", ErrorKind::Cancelled));
}

// Guards against a slot that is never released: an entry that lost the answer repeats its call with
// the same number. A second grant would take another slot.
#[test]
fn a_repeated_call_gets_the_same_grant() {
    let mut harness = harness(&[1]);
    harness.submit(submission("once", 1));
    let first = harness.verdicts();
    harness.submit(submission("waits", 0));
    harness.submit(submission("once", 1));
    assert_eq!(harness.verdicts(), first);
    assert_eq!(harness.dispatcher.status().running, 1);
}

// Guards against a slot held for a request that is over, and against a second run at the target: the
// entry has sent its submission twice, and the second one is read after the end of the request.
macro_rules! submission_read_late {
    ($($name:ident: |$harness:ident| $end:block;)*) => {$(
        #[test]
        fn $name() {
            let mut $harness = harness(&[1]);
            $harness.submit(submission("once", 1));
            assert_eq!($harness.grants(), granted("once", "t0"));
            $end
            $harness.submit(submission("once", 1));
            assert_eq!($harness.refusals(), refused("once", ErrorKind::Cancelled));
            assert_eq!($harness.dispatcher.status().running, 0);
        }
    )*};
}

submission_read_late! {
    submission_read_after_its_answer_is_not_granted_again: |harness| { harness.end("once", "t0") };
    submission_read_after_its_cancellation_is_not_granted_again: |harness| {
        harness.dispatcher.cancel(&cancel("once"))
    };
}

// Guards against a slot held for a request whose caller has left: the entry cancels its submission while
// it waits, and the repetition of the submission is read after that.
#[test]
fn submission_read_after_its_cancellation_does_not_wait_again() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    harness.submit(submission("left", 0));
    harness.verdicts();
    harness.dispatcher.cancel(&cancel("left"));
    assert_eq!(harness.refusals(), refused("left", ErrorKind::Cancelled));
    harness.submit(submission("left", 0));
    assert_eq!(harness.refusals(), refused("left", ErrorKind::Cancelled));
    assert_eq!(waiting(&harness), 0);
}

// Guards against a slot that is held until the entry dies: the entry's list of its requests is read after
// the end of one that it holds, running or waiting.
macro_rules! resync_read_late {
    ($($name:ident: |$submission:ident| $running:expr, $waiting:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut harness = harness(&[1]);
            let $submission = submission("once", 1);
            harness.submit($submission.clone());
            harness.verdicts();
            harness.end("once", "t0");
            harness.dispatcher.resync(Resync {
                entry: entry("vm2"),
                running: $running,
                waiting: $waiting,
            });
            assert_eq!(harness.dispatcher.status().running, 0);
            assert_eq!(waiting(&harness), 0);
        }
    )*};
}

resync_read_late! {
    running_request_of_a_late_resync_holds_no_slot: |submission| vec![Running {
        submission,
        decoded: None,
        target: TargetInstance::from("t0"),
    }], vec![];
    waiting_request_of_a_late_resync_is_not_granted: |submission| vec![], vec![submission];
}

// Guards against grants that no time line shows: the dispatcher grants a submission while it reads a resync,
// and takes the first delivery for a repeated one.
#[test]
fn grant_of_a_resync_is_delivered_for_the_first_time_once() {
    let harness = harness(&[1]);
    harness.dispatcher.resync(Resync {
        entry: entry("vm2"),
        running: vec![],
        waiting: vec![submission("waits", 0)],
    });
    assert_eq!(harness.dispatcher.status().running, 1);
    let deliveries = [(); 2].map(|()| harness.dispatcher.note_delivery("waits", 1));
    assert_eq!(deliveries, [true, false]);
    assert!(!harness.dispatcher.note_delivery("waits", 2));
}

// Guards against a retry that is taken for a repetition: after the end of its first submission, a request
// is submitted with a higher number.
#[test]
fn submission_with_a_higher_number_is_granted_after_the_end() {
    let mut harness = harness(&[1]);
    harness.submit(submission("retried", 0));
    harness.end("retried", "t0");
    harness.verdicts();
    harness.submit(Submission {
        submission: 2,
        ..submission("retried", 0)
    });
    assert_eq!(harness.grants(), granted("retried", "t0"));
}

// Guards against a request that waits forever: the grant could not be delivered, and the entry, which has
// none, repeats its submission.
macro_rules! grant_not_delivered {
    ($($name:ident: |$harness:ident| $lose:block;)*) => {$(
        #[test]
        fn $name() {
            let mut $harness = harness(&[1]);
            $harness.submit(submission("lost", 0));
            $harness.verdicts();
            $lose
            assert_eq!($harness.dispatcher.status().running, 0);
            $harness.submit(submission("lost", 0));
            assert_eq!($harness.grants(), granted("lost", "t0"));
        }
    )*};
}

grant_not_delivered! {
    submission_whose_grant_expired_is_granted_again: |harness| {
        harness.advance(Duration::from_secs(11));
    };
    submission_whose_grant_is_withdrawn_is_granted_again: |harness| {
        harness.dispatcher.withdraw("lost", 1);
    };
}

// Guards against a retry that waits forever at an entry of an earlier release, which numbers the submissions
// of each attempt from 1.
#[test]
fn retry_of_an_entry_without_unique_numbers_is_granted() {
    let mut harness = harness(&[1]);
    let submission = Submission {
        has_unique_number: false,
        ..submission("retried", 0)
    };
    harness.submit(submission.clone());
    harness.end("retried", "t0");
    harness.verdicts();
    harness.submit(submission);
    assert_eq!(harness.grants(), granted("retried", "t0"));
}

// Guards against a request that waits forever: its entry lost the answer and repeats the call with
// the same number, then the first call is dropped, which must not cancel the submission of the
// second.
#[test]
fn dropping_a_replaced_call_keeps_its_submission() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    let dispatcher = harness.dispatcher.clone();
    let mut first = Box::pin(dispatcher.submit(submission("r", 0)));
    assert_eq!((&mut first).now_or_never(), None);
    let mut second = Box::pin(dispatcher.submit(submission("r", 0)));
    assert_eq!((&mut second).now_or_never(), None);
    drop(first);
    harness.end("runs", "t0");
    assert!(matches!(second.now_or_never(), Some(Verdict::Grant(_))));
}

// Guards against slots held for callers that have disconnected. The call is dropped while the
// submission waits, or just as it is granted.
#[test]
fn dropping_a_call_cancels_its_submission() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    let dropped = harness.call(submission("gone", 0));
    assert_eq!(waiting(&harness), 1);
    drop(dropped);
    harness.verdicts();
    assert_eq!(waiting(&harness), 0);
    let granted_unread = harness.call(submission("late", 0));
    harness.end("runs", "t0");
    drop(granted_unread);
    harness.verdicts();
    assert_eq!(harness.dispatcher.status().running, 0);
}

// Guards against a slot that is never released: the grant is lost on its way and the entry does not
// repeat the call.
#[test]
fn unconfirmed_grant_expires() {
    let mut harness = harness(&[1]);
    harness.submit(submission("lost", 0));
    harness.advance(Duration::from_secs(11));
    assert_eq!(harness.dispatcher.status().running, 0);
}

// Guards against requests that break off when a drained target is removed. After `set_targets` it
// gets no new requests, even if all other targets are full.
#[test]
fn draining_target_gets_no_requests() {
    let mut harness = harness(&[1, 8]);
    harness.submit(submission("a", 0));
    harness.submit(submission("b", 0));
    assert_eq!(harness.grants().len(), 2);
    harness.set_state(1, TargetState::Draining);
    for i in 0..3 {
        harness.submit(submission(&format!("r{i}"), 0));
    }
    assert_eq!(harness.verdicts(), []);
    harness.set_state(0, TargetState::Draining);
    let refusals = harness.refusals();
    assert_eq!(refusals.len(), 3);
    assert!(
        refusals
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::NoTarget)
    );
}

// Guards against a daemon that was held up, takes the answers that it has not read yet for silence of its targets,
// and tells the others so.
#[test]
fn a_pause_of_the_daemon_is_no_silence_of_its_targets() {
    let mut harness = harness(&[8]);
    harness.submit(submission("runs", 0));
    assert_eq!(harness.grants(), granted("runs", "t0"));
    harness.report("runs", "t0", ReportKind::Began);
    harness.advance(Duration::from_millis(50));
    harness.pause(Duration::from_secs(4));
    let health = |harness: &Harness| harness.dispatcher.status().targets[0].health;
    assert_eq!(health(&harness), State::Healthy);
    assert_eq!(harness.dispatcher.digest().samples, []);
    harness.advance(Duration::from_secs(4));
    assert_eq!(health(&harness), State::Unresponsive);
}

// Guards against requests that time out one after the other on an engine that accepts them and never
// answers. After a silence longer than any expected step it gets no requests, then one cheap bulk
// request as a trial, and all kinds again once it answers.
#[test]
fn unresponsive_target_is_detected_and_retried() {
    let mut harness = harness(&[8, 1]);
    harness.submit(submission("silent", 0));
    assert_eq!(harness.grants(), granted("silent", "t0"));
    harness.report("silent", "t0", ReportKind::Began);
    harness.advance(Duration::from_secs(4));
    let health = |harness: &Harness| harness.dispatcher.status().targets[0].health;
    assert_eq!(health(&harness), State::Unresponsive);
    harness.submit(submission("urgent", 0));
    assert_eq!(harness.grants(), granted("urgent", "t1"));
    harness.submit(submission("waits", 0));
    harness.submit(submission_with_long_prompt("survey", 3));
    assert_eq!(
        harness.grants(),
        [],
        "a trial takes no urgent request and no long prompt"
    );
    harness.submit(submission("cheap", 3));
    assert_eq!(harness.grants(), granted("cheap", "t0"));
    harness.report("silent", "t0", FIRST_TOKEN);
    assert_eq!(health(&harness), State::Healthy);
    assert_eq!(
        harness.grants().len(),
        2,
        "both waiting requests are granted"
    );
}

// Guards against trials at a target that stays unresponsive: without a growing pause, one request a
// second would be lost.
#[test]
fn trial_is_one_cheap_request() {
    let mut harness = harness(&[8]);
    harness.submit(submission("silent", 0));
    harness.report("silent", "t0", ReportKind::Began);
    harness.advance(Duration::from_secs(4));
    harness.verdicts();
    for i in 0..3 {
        harness.submit(submission(&format!("trial{i}"), 3));
    }
    assert_eq!(harness.grants(), granted("trial0", "t0"));
    harness.report("trial0", "t0", ReportKind::Began);
    harness.advance(Duration::from_millis(3500));
    assert_eq!(
        harness.grants(),
        [],
        "unresponsive again, the next trial comes later"
    );
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.grants(), granted("trial1", "t0"));
    harness.report("trial1", "t0", FIRST_TOKEN);
    assert_eq!(harness.grants(), granted("trial2", "t0"));
}

// Guards against slow answers from an engine that became ten times slower without reporting it. The
// length of its steps shows it; one slot stays in use to detect the recovery.
#[test]
fn slow_target_gets_fewer_slots() {
    let mut harness = harness(&[8]);
    harness.submit(submission("r", 0));
    harness.report_steps("r", "t0", 8, 20);
    let slots = |harness: &Harness| harness.dispatcher.status().targets[0].slots;
    assert_eq!(slots(&harness), 8);
    harness.report_steps("r", "t0", 80, 10);
    assert_eq!(slots(&harness), 1);
    harness.report_steps("r", "t0", 8, 40);
    assert_eq!(slots(&harness), 8);
}

// Guards against bulk granted ahead of urgent requests after a handover: the new dispatcher has the
// resync of one entry only, and the other entry holds the urgent request. Until both have resynced it
// grants nothing and sheds only from the lowest tier.
#[test]
fn new_dispatcher_waits_for_the_entries_to_resync() {
    let mut harness = Harness::new(&[1], 2, MIN_HANG_TIMEOUT);
    let expected = vec![entry("vm2"), entry("vm3")];
    harness
        .dispatcher
        .begin_handover(expected, MIN_HANG_TIMEOUT);
    for (request, tier) in [
        ("bulk", 2),
        ("more", 1),
        ("other", 1),
        ("lowest", LOWEST_TIER),
    ] {
        harness.submit(submission(request, tier));
    }
    assert_eq!(harness.refusals(), refused("lowest", ErrorKind::Overloaded));
    let resync = |vm: &str, waiting: Vec<Submission>| Resync {
        entry: entry(vm),
        running: Vec::new(),
        waiting,
    };
    harness
        .dispatcher
        .resync(resync("vm2", vec![submission("bulk", 2)]));
    assert_eq!(harness.verdicts(), []);
    let call = Submission {
        entry: "vm3".to_owned(),
        ..submission("call", 0)
    };
    harness.dispatcher.resync(resync("vm3", vec![call.clone()]));
    assert_eq!(harness.refusals(), refused("bulk", ErrorKind::Overloaded));
    harness.submit(call);
    assert_eq!(harness.grants(), granted("call", "t0"));
}

// Guards against running out of memory during a burst in a handover, and against refusing an urgent
// request while bulk is kept. Above twice its limit the queue sheds from its lowest tier, whichever
// that is.
#[test]
fn queue_in_a_handover_is_capped_at_twice_its_limit() {
    let mut harness = Harness::new(&[1], 1, MIN_HANG_TIMEOUT);
    let expected = vec![entry("vm3")];
    harness
        .dispatcher
        .begin_handover(expected, MIN_HANG_TIMEOUT);
    for (request, tier) in [("bulk", 2), ("more", 1), ("urgent", 0)] {
        harness.submit(submission(request, tier));
    }
    assert_eq!(harness.refusals(), refused("bulk", ErrorKind::Overloaded));
}

// Guards against an entry that never resyncs and blocks all others: the grace period ends the wait.
#[test]
fn handover_ends_after_its_grace_period() {
    let mut harness = harness(&[1]);
    harness
        .dispatcher
        .begin_handover(vec![entry("vm9")], MIN_HANG_TIMEOUT);
    harness.submit(submission("r", 0));
    harness.advance(MIN_HANG_TIMEOUT / 2);
    assert_eq!(harness.verdicts(), []);
    harness.advance(MIN_HANG_TIMEOUT);
    assert_eq!(harness.grants(), granted("r", "t0"));
}

// Guards against a new dispatcher that was held up, and grants before it reads the resyncs that have arrived.
#[test]
fn a_pause_of_a_new_dispatcher_is_no_silence_of_the_entries() {
    let mut harness = harness(&[1]);
    harness.advance(Duration::from_millis(50));
    harness
        .dispatcher
        .begin_handover(vec![entry("vm2")], MIN_HANG_TIMEOUT);
    harness.submit(Submission {
        objective: Some(Duration::from_secs(10)),
        ..submission("r", 0)
    });
    harness.pause(2 * MIN_HANG_TIMEOUT);
    assert_eq!(harness.verdicts(), []);
    harness.advance(MIN_HANG_TIMEOUT);
    assert_eq!(harness.grants(), granted("r", "t0"));
}

// Guards against running a request twice: it was granted by the previous dispatcher, and its
// submission is in the queue of the new one. Once resynced as running, it is not granted again.
#[test]
fn running_request_is_not_granted_again() {
    let mut harness = harness(&[1]);
    harness
        .dispatcher
        .begin_handover(vec![entry("vm2")], MIN_HANG_TIMEOUT);
    harness.submit(submission("r", 0));
    let running = Running {
        submission: submission("r", 0),
        decoded: Some(3),
        target: TargetInstance::from("t0"),
    };
    harness.dispatcher.resync(Resync {
        entry: entry("vm2"),
        running: vec![running],
        waiting: vec![],
    });
    assert_eq!(harness.refusals(), refused("r", ErrorKind::Cancelled));
    harness.submit(submission("other", 0));
    assert_eq!(harness.verdicts(), []);
    harness.end("r", "t0");
    assert_eq!(harness.grants(), granted("other", "t0"));
}

// Guards against idle targets that look full, after an entry died with requests waiting and running.
#[test]
fn forgotten_entry_releases_its_requests() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    harness.submit(submission("waits", 0));
    harness.submit(Submission {
        entry: "vm3".to_owned(),
        ..submission("other", 0)
    });
    harness.verdicts();
    harness.dispatcher.forget_entry(&"vm2".to_owned(), 1);
    assert_eq!(harness.grants(), granted("other", "t0"));
    assert_eq!(waiting(&harness), 0);
}
