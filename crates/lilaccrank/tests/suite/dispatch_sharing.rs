//! Daemons that dispatch for themselves and tell each other what they have on the targets.

use std::time::Duration;

use lilaccrank::dispatch::message::{Ask, Outcome, ReportKind};
use lilaccrank::dispatch::sharing::{Digest, Observation, Sample};

use crate::dispatch_fixtures::{
    FIRST_TOKEN, ask, ask_with_objective, deliver_digest, digest, empty_digest, granted, harness,
    target_digest,
};

// Two daemons send to one engine at the same time, which lets them wait for each other there. What
// another daemon has on a target counts like what this one has.
#[test]
fn peer_load_counts() {
    let mut harness = harness(&[8, 8]);
    deliver_digest(&harness, "vm2", digest("t0", 7, 700));
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// A digest is lost, and the next one tells of less. It replaces what was known; added up, the
// target would look full for ever.
#[test]
fn digest_replaces_the_previous_one() {
    let mut harness = harness(&[2]);
    deliver_digest(&harness, "vm2", digest("t0", 2, 0));
    harness.ask(ask_with_objective("waits", 0));
    assert_eq!(harness.grants(), []);
    deliver_digest(&harness, "vm2", empty_digest());
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// A peer is killed with requests on a target; nobody tells that they have ended. A peer that is
// not heard for a while has nothing there any more, as its connections ended with it.
#[test]
fn a_silent_peer_is_forgotten() {
    let mut harness = harness(&[2]);
    deliver_digest(&harness, "vm2", digest("t0", 2, 0));
    harness.ask(Ask {
        objective: Some(Duration::from_secs(5)),
        ..ask_with_objective("waits", 0)
    });
    harness.advance(Duration::from_millis(1_400));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// A target slows down, and only a peer has requests there. What the peer sees is told: this daemon
// sends its next request elsewhere, without having to make the experience itself.
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
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// A target fails three requests of three daemons. Each of them alone has seen one failure; told
// of all, nobody sends it a fourth.
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
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// What this daemon has and sees is in its digest; what it saw is told once.
#[test]
fn digest_contains_loads_and_new_samples() {
    let mut harness = harness(&[8]);
    harness.ask(ask("a", 0));
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

// Daemons tell each other of each request. A digest with all that a daemon has on all targets takes
// more bytes than the requests themselves: one change is told three times, and all of it four times a
// second, so that a peer which missed all three learns it soon.
#[test]
fn changes_are_sent_three_times_and_full_digests_periodically() {
    let mut harness = harness(&[8, 8]);
    harness.ask(ask("a", 0));
    harness.ask(ask("b", 0));
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

// The three digests that tell of a request's end are all lost. The slot looks taken until the next one
// that tells all, and no longer.
#[test]
fn full_digest_makes_up_for_lost_ones() {
    let mut sender = harness(&[1]);
    let mut receiver = harness(&[1]);
    sender.ask(ask("a", 0));
    deliver_digest(&receiver, "vm2", sender.dispatcher.digest());
    sender.end("a", "t0");
    for _ in 0..3 {
        let _ = sender.dispatcher.digest();
    }
    receiver.ask(ask_with_objective("waits", 0));
    deliver_digest(&receiver, "vm2", sender.dispatcher.digest());
    assert_eq!(receiver.grants(), []);
    sender.advance(Duration::from_millis(250));
    deliver_digest(&receiver, "vm2", sender.dispatcher.digest());
    assert_eq!(receiver.grants(), granted("waits", "t0"));
}

// Where targets have room, a word on each request would change nobody's choice. What fills a target up,
// or gives room back at a full one, is told at once, and who waits.
#[test]
fn changes_that_affect_placement_are_urgent() {
    let mut harness = harness(&[4]);
    let mut urgent = Vec::new();
    for request in ["a", "b", "c", "d", "e"] {
        harness.ask(ask_with_objective(request, 0));
        harness.verdicts();
        urgent.push(harness.dispatcher.has_urgent_changes());
        let _ = harness.dispatcher.digest();
    }
    // From the second on two slots are left or less; "e" waits.
    assert_eq!(urgent, [false, true, true, true, true]);
    harness.end("a", "t0");
    assert!(harness.dispatcher.has_urgent_changes());
}
