//! Daemons that dispatch for themselves and tell each other what they have on the targets.

use std::time::Duration;

use lilaccrank::dispatch::message::{Ask, Outcome, ReportKind};
use lilaccrank::dispatch::sharing::{Digest, Observation, Sample};

use crate::dispatch_cases::{
    FIRST_TOKEN, ask, digest, granted, harness, hurried, nothing, of, tell,
};

// Two daemons send to one engine at the same time, which lets them wait for each other there. What
// another daemon has on a target counts like what this one has.
#[test]
fn load_of_peers_counts() {
    let mut harness = harness(&[8, 8]);
    tell(&harness, "vm2", digest("t0", 7, 700));
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// A digest is lost, and the next one tells of less. It replaces what was known; added up, the
// target would look full for ever.
#[test]
fn a_digest_replaces_the_one_before() {
    let mut harness = harness(&[2]);
    tell(&harness, "vm2", digest("t0", 2, 0));
    harness.ask(hurried("waits", 0));
    assert_eq!(harness.grants(), []);
    tell(&harness, "vm2", nothing());
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// A peer is killed with requests on a target; nobody tells that they have ended. A peer that is
// not heard for a while has nothing there any more, as its connections ended with it.
#[test]
fn a_silent_peer_is_forgotten() {
    let mut harness = harness(&[2]);
    tell(&harness, "vm2", digest("t0", 2, 0));
    harness.ask(Ask {
        objective: Some(Duration::from_secs(5)),
        ..hurried("waits", 0)
    });
    harness.advance(Duration::from_millis(1_400));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// A target slows down, and only a peer has requests there. What the peer sees is told: this daemon
// sends its next request elsewhere, without having to make the experience itself.
#[test]
fn what_peers_see_of_a_target_is_learnt() {
    let mut harness = harness(&[8, 8]);
    let slow = Sample {
        observation: Observation::Step {
            batch: 1,
            step: Duration::from_millis(100),
        },
        target: of("t0"),
    };
    for _ in 0..10 {
        let samples = vec![slow; 10];
        tell(
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
fn failures_of_peers_count() {
    let mut harness = harness(&[8, 8]);
    let failed = Sample {
        observation: Observation::Failed,
        target: of("t0"),
    };
    for peer in ["vm2", "vm3", "vm4"] {
        let samples = vec![failed];
        tell(
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
fn a_digest_tells_all_that_runs() {
    let mut harness = harness(&[8]);
    harness.ask(ask("a", 0));
    harness.verdicts();
    let after = Duration::from_millis(40);
    harness.report("a", "t0", ReportKind::FirstToken { after });
    let digest = harness.dispatcher.digest();
    let loads: Vec<_> = digest.loads.iter().map(|l| (l.target, l.running)).collect();
    assert_eq!(loads, [(of("t0"), 1)]);
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
    assert_eq!(loads, [(of("t0"), 0)]);
}

// Daemons tell each other of each request. A digest with all that a daemon has on all targets takes
// more bytes than the requests themselves: one change is told three times, and all of it four times a
// second, so that a peer which missed all three learns it soon.
#[test]
fn a_change_is_told_three_times_and_all_of_it_now_and_then() {
    let mut harness = harness(&[8, 8]);
    harness.ask(ask("a", 0));
    harness.ask(ask("b", 0));
    harness.verdicts();
    let told: Vec<_> = (0..5)
        .map(|_| harness.dispatcher.digest().loads.len())
        .collect();
    assert_eq!(told, [2, 2, 2, 0, 0]);
    harness.report("a", "t0", FIRST_TOKEN);
    let told: Vec<_> = (0..4)
        .map(|_| harness.dispatcher.digest().loads.len())
        .collect();
    assert_eq!(told, [1, 1, 1, 0]);
    harness.advance(Duration::from_millis(260));
    let digest = harness.dispatcher.digest();
    assert!(digest.whole);
    assert_eq!(digest.loads.len(), 2);
}

// The three digests that tell of a request's end are all lost. The slot looks taken until the next one
// that tells all, and no longer.
#[test]
fn lost_digests_cost_a_quarter_of_a_second() {
    let mut teller = harness(&[1]);
    let mut hearer = harness(&[1]);
    teller.ask(ask("a", 0));
    tell(&hearer, "vm2", teller.dispatcher.digest());
    teller.end("a", "t0");
    for _ in 0..3 {
        let _ = teller.dispatcher.digest();
    }
    hearer.ask(hurried("waits", 0));
    tell(&hearer, "vm2", teller.dispatcher.digest());
    assert_eq!(hearer.grants(), []);
    teller.advance(Duration::from_millis(250));
    tell(&hearer, "vm2", teller.dispatcher.digest());
    assert_eq!(hearer.grants(), granted("waits", "t0"));
}

// Where targets have room, a word on each request would change nobody's choice. What fills a target up,
// or gives room back at a full one, is told at once, and who waits.
#[test]
fn what_decides_is_told_at_once() {
    let mut harness = harness(&[4]);
    let mut urgent = Vec::new();
    for request in ["a", "b", "c", "d", "e"] {
        harness.ask(hurried(request, 0));
        harness.verdicts();
        urgent.push(harness.dispatcher.has_urgent_changes());
        let _ = harness.dispatcher.digest();
    }
    // From the second on two slots are left or less; "e" waits.
    assert_eq!(urgent, [false, true, true, true, true]);
    harness.end("a", "t0");
    assert!(harness.dispatcher.has_urgent_changes());
}
