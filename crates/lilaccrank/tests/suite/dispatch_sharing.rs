//! Daemons that dispatch to the same targets and exchange digests of their load there.

use std::time::Duration;

use lilaccrank::dispatch::message::{Outcome, ReportKind, Submission};
use lilaccrank::dispatch::sharing::{Digest, Observation, Sample};

use crate::dispatch_fixtures::{
    FIRST_TOKEN, deliver_digest, digest, empty_digest, granted, harness, submission,
    submission_with_objective, target_digest,
};

// Guards against two daemons that send to the same engine at once, whose requests then wait there. The
// load of peers on a target counts like the daemon's own.
#[test]
fn peer_load_counts() {
    let mut harness = harness(&[8, 8]);
    deliver_digest(&harness, "vm2", digest("t0", 7, 700));
    harness.submit(submission("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// Guards against digests that add up, so that a target looks full forever after one is lost. Each full
// digest replaces the previous one.
#[test]
fn digest_replaces_the_previous_one() {
    let mut harness = harness(&[2]);
    deliver_digest(&harness, "vm2", digest("t0", 2, 0));
    harness.submit(submission_with_objective("waits", 0));
    assert_eq!(harness.grants(), []);
    deliver_digest(&harness, "vm2", empty_digest());
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// Guards against slots that look taken after a peer was killed with requests on a target. Its
// connections ended with it, so its load is dropped once it has been silent for a while.
#[test]
fn a_silent_peer_is_forgotten() {
    let mut harness = harness(&[2]);
    deliver_digest(&harness, "vm2", digest("t0", 2, 0));
    harness.submit(Submission {
        objective: Some(Duration::from_secs(5)),
        ..submission_with_objective("waits", 0)
    });
    harness.advance(Duration::from_millis(1_400));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// Guards against a daemon that was held up, forgets what the others have sent before it reads their digests, and
// takes slots that are in use.
#[test]
fn a_pause_of_the_daemon_is_no_silence_of_its_peers() {
    let mut harness = harness(&[2]);
    harness.advance(Duration::from_millis(50));
    deliver_digest(&harness, "vm2", digest("t0", 2, 0));
    harness.submit(Submission {
        objective: Some(Duration::from_secs(10)),
        ..submission_with_objective("waits", 0)
    });
    harness.pause(Duration::from_secs(3));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(1_600));
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// Guards against each daemon having to measure a slow target itself. A peer with requests there sends
// its samples, and the next request goes elsewhere.
#[test]
fn peer_samples_are_applied() {
    let mut harness = harness(&[8, 8]);
    let slow = Sample {
        observation: Observation::Step {
            batch: 1,
            step: Duration::from_millis(100),
        },
        target: target_digest("t0"),
    };
    for _ in 0..10 {
        let samples = vec![slow; 10];
        deliver_digest(
            &harness,
            "vm2",
            Digest {
                samples,
                ..Digest::default()
            },
        );
    }
    harness.submit(submission("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// Guards against a failing target that gets another request because each daemon has seen only one of
// the failures. Failures that peers report count as well.
#[test]
fn peer_failures_count() {
    let mut harness = harness(&[8, 8]);
    let failed = Sample {
        observation: Observation::Failed,
        target: target_digest("t0"),
    };
    for peer in ["vm2", "vm3", "vm4"] {
        let samples = vec![failed];
        deliver_digest(
            &harness,
            peer,
            Digest {
                samples,
                ..Digest::default()
            },
        );
    }
    harness.submit(submission("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// Guards against digests without a daemon's load, and against samples that are sent twice.
#[test]
fn digest_contains_loads_and_new_samples() {
    let mut harness = harness(&[8]);
    harness.submit(submission("a", 0));
    harness.verdicts();
    let after = Duration::from_millis(40);
    harness.report("a", "t0", ReportKind::FirstToken { after });
    let digest = harness.dispatcher.digest();
    let loads: Vec<_> = digest.loads.iter().map(|l| (l.target, l.running)).collect();
    assert_eq!(loads, [(target_digest("t0"), 1)]);
    assert!(matches!(
        digest.samples[0].observation,
        Observation::FirstToken { .. }
    ));
    assert_eq!(harness.dispatcher.digest().samples, []);
    let kind = ReportKind::Ended {
        decoded: 5,
        outcome: Outcome::Complete,
        prefill: None,
    };
    harness.report("a", "t0", kind);
    let digest = harness.dispatcher.digest();
    let loads: Vec<_> = digest.loads.iter().map(|l| (l.target, l.running)).collect();
    assert_eq!(loads, [(target_digest("t0"), 0)]);
}

// Guards against digests that take more bytes than the requests themselves, because each contains the
// load of all targets. A change is sent three times and a full digest four times a second, so that a
// peer that missed all three soon has the change.
#[test]
fn changes_are_sent_three_times_and_full_digests_periodically() {
    let mut harness = harness(&[8, 8]);
    harness.submit(submission("a", 0));
    harness.submit(submission("b", 0));
    harness.verdicts();
    let load_counts: Vec<_> = (0..5)
        .map(|_| harness.dispatcher.digest().loads.len())
        .collect();
    assert_eq!(load_counts, [2, 2, 2, 0, 0]);
    harness.report("a", "t0", FIRST_TOKEN);
    let load_counts: Vec<_> = (0..4)
        .map(|_| harness.dispatcher.digest().loads.len())
        .collect();
    assert_eq!(load_counts, [1, 1, 1, 0]);
    harness.advance(Duration::from_millis(260));
    let digest = harness.dispatcher.digest();
    assert!(digest.whole);
    assert_eq!(digest.loads.len(), 2);
}

// Guards against a slot that looks taken for long because all three digests with a request's end were
// lost. The next full digest corrects it within 250 ms.
#[test]
fn full_digest_makes_up_for_lost_ones() {
    let mut sender = harness(&[1]);
    let mut receiver = harness(&[1]);
    sender.submit(submission("a", 0));
    deliver_digest(&receiver, "vm2", sender.dispatcher.digest());
    sender.end("a", "t0");
    for _ in 0..3 {
        let _ = sender.dispatcher.digest();
    }
    receiver.submit(submission_with_objective("waits", 0));
    deliver_digest(&receiver, "vm2", sender.dispatcher.digest());
    assert_eq!(receiver.grants(), []);
    sender.advance(Duration::from_millis(250));
    deliver_digest(&receiver, "vm2", sender.dispatcher.digest());
    assert_eq!(receiver.grants(), granted("waits", "t0"));
}

// Guards against a message for each request while targets have free slots and no daemon's choice would
// change. Filling up a target, releasing a slot of a full one and a waiting request are urgent.
#[test]
fn changes_that_affect_placement_are_urgent() {
    let mut harness = harness(&[4]);
    let mut urgent = Vec::new();
    for request in ["a", "b", "c", "d", "e"] {
        harness.submit(submission_with_objective(request, 0));
        harness.verdicts();
        urgent.push(harness.dispatcher.has_urgent_changes());
        let _ = harness.dispatcher.digest();
    }
    // From the second request on at most two slots are free; "e" waits.
    assert_eq!(urgent, [false, true, true, true, true]);
    harness.end("a", "t0");
    assert!(harness.dispatcher.has_urgent_changes());
}
