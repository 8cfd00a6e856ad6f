//! Targets that restart under the same id.

use std::time::Duration;

use lilaccrank::dispatch::health::State;
use lilaccrank::dispatch::message::{CacheEvent, ReportKind};
use lilaccrank::dispatch::sharing::{Digest, Observation, Sample, TargetLoad};
use lilaccrank::target_instance::TargetInstance;

use crate::dispatch_fixtures::{granted, harness, submission};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// Start time of the restarted target, in milliseconds.
const START_TIME_MS: u64 = 1_790_000_000_000;

/// Restarts the only target.
fn restart_target(harness: &mut Harness) {
    harness.pool.targets[0].started_ms += START_TIME_MS;
    harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
}

// Guards against requests that wait for a slot held by a request from before the restart, whose
// connection is silent.
#[test]
fn restart_frees_the_slots() {
    let mut harness = harness(&[1]);
    harness.submit(submission("old", 0));
    assert_eq!(harness.grants(), granted("old", "t0"));
    harness.submit(submission("new", 0));
    assert_eq!(harness.grants(), []);
    restart_target(&mut harness);
    assert_eq!(harness.grants(), granted("new", "t0"));
    // The end of the request from before the restart releases no slot of the restarted target.
    harness.end("old", "t0");
    harness.submit(submission("third", 0));
    assert_eq!(harness.grants(), []);
}

// Guards against a restarted target that gets no requests because peers, which may learn of the restart
// later, still report load and failures from before. Digests name the incarnation they refer to.
#[test]
fn peer_load_from_before_a_restart_is_ignored() {
    let mut harness = harness(&[1]);
    restart_target(&mut harness);
    let old = TargetInstance::from("t0").digest();
    let stale = Digest {
        loads: vec![TargetLoad {
            prefill: 1_000,
            running: 1,
            target: old,
        }],
        samples: vec![
            Sample {
                observation: Observation::Failed,
                target: old,
            };
            5
        ],
        sent: Vec::new(),
        waiting: None,
        whole: true,
    };
    harness.dispatcher.apply_digest(&"vm2".to_owned(), stale);
    harness.submit(submission("new", 0));
    // The first request of a new target may be the peer's turn.
    harness.advance(Duration::from_millis(50));
    assert_eq!(harness.grants(), granted("new", "t0"));
}

// Guards against a restarted target that is still treated as unresponsive, slow or with a full
// cache. After the restart its status equals that of a new target.
#[test]
fn restart_resets_all_that_was_learned() {
    let mut harness = harness(&[8]);
    let life = TargetInstance::from("t0");
    let initial = harness.dispatcher.status().targets[0].clone();
    for number in 0..40 {
        let request = format!("r{number}");
        harness.submit(submission(&request, 0));
        harness.verdicts();
        let step = Duration::from_millis(if number < 30 { 10 } else { 400 });
        harness.report(&request, "t0", ReportKind::FirstToken { after: step * 10 });
        harness.report(&request, "t0", ReportKind::Progress { step, tokens: 5 });
        harness.end(&request, "t0");
    }
    harness
        .dispatcher
        .cache_events(&life, 1, &[CacheEvent::Stored(7)]);
    harness.submit(submission("hangs", 0));
    harness.verdicts();
    harness.advance(Duration::from_secs(60));
    let degraded = harness.dispatcher.status().targets[0].clone();
    assert_eq!(degraded.health, State::Unresponsive);
    assert!(degraded.slowness > 1.0 && degraded.cached_blocks > 0);
    restart_target(&mut harness);
    let status = harness.dispatcher.status();
    let restarted = status.targets.iter().find(|target| target.live).unwrap();
    let mut expected = initial;
    expected.born = restarted.born;
    assert_eq!(*restarted, expected);
}

// Guards against late answers, reports and cache events from before the restart that change the status
// of the restarted target.
#[test]
fn late_reports_from_before_a_restart_are_ignored() {
    let mut harness = harness(&[2]);
    harness.submit(submission("old", 0));
    harness.verdicts();
    restart_target(&mut harness);
    let before = harness.dispatcher.status().targets.clone();
    let old = TargetInstance::from("t0");
    harness
        .dispatcher
        .cache_events(&old, 1, &[CacheEvent::Stored(7)]);
    harness.report(
        "old",
        "t0",
        ReportKind::FirstToken {
            after: Duration::from_secs(9),
        },
    );
    let find_restarted = |targets: &[lilaccrank::dispatch::status::TargetStatus]| {
        targets.iter().find(|target| target.born > 0).cloned()
    };
    let after = harness.dispatcher.status().targets;
    assert_eq!(find_restarted(&after), find_restarted(&before));
}
