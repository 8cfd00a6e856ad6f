//! Fuzzes the dispatcher with values that no correct daemon, target or caller sends.

use std::time::Duration;

use lilaccrank::dispatch::message::{LoadReport, ReportKind, Submission};
use lilaccrank::dispatch::sharing::{Digest, Observation, Sample, TargetLoad};
use lilaccrank::target_instance::TargetInstance;
use quickcheck::{Arbitrary, Gen};

use crate::dispatch_fixtures::{harness, submission};
use crate::seeded;

/// Generates a number that is mostly at an end of its range.
fn boundary_value(g: &mut Gen) -> u64 {
    let typical = u64::arbitrary(g) % 1_000;
    *g.choose(&[0, 1, typical, u64::from(u32::MAX), u64::MAX - 1, u64::MAX])
        .unwrap_or(&0)
}

/// Generates a duration in milliseconds, mostly at an end of its range.
fn boundary_duration(g: &mut Gen) -> Duration {
    Duration::from_millis(boundary_value(g))
}

/// A digest of a peer with arbitrary values.
#[derive(Clone, Debug)]
struct ArbitraryDigest(Digest);

impl Arbitrary for ArbitraryDigest {
    fn arbitrary(g: &mut Gen) -> Self {
        let load = |g: &mut Gen| TargetLoad {
            prefill: boundary_value(g),
            running: boundary_value(g) as u32,
            target: TargetInstance::from("t0").digest(),
        };
        let sample = |g: &mut Gen| Sample {
            observation: match u8::arbitrary(g) % 3 {
                0 => Observation::FirstToken {
                    after: boundary_duration(g),
                    prefill_ahead: boundary_value(g),
                },
                1 => Observation::Step {
                    batch: boundary_value(g) as u32,
                    step: boundary_duration(g),
                },
                _ => Observation::Failed,
            },
            target: TargetInstance::from("t0").digest(),
        };
        Self(Digest {
            loads: (0..3).map(|_| load(g)).collect(),
            samples: (0..3).map(|_| sample(g)).collect(),
            sent: vec![(
                TargetInstance::from("t0").digest(),
                boundary_value(g) as u32,
            )],
            waiting: None,
            whole: bool::arbitrary(g),
        })
    }
}

/// A submission with arbitrary lengths and times.
#[derive(Clone, Debug)]
struct ArbitrarySubmission(Submission);

impl Arbitrary for ArbitrarySubmission {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Submission {
            deadline: Some(boundary_duration(g)),
            max_tokens: boundary_value(g) as u32,
            objective: Some(boundary_duration(g)),
            prompt_tokens: boundary_value(g) as u32,
            weight: boundary_value(g) as u32,
            ..submission("lies", u8::arbitrary(g) % 3)
        })
    }
}

// Guards against a daemon of another version, or a faulty one, that stops its peers with invalid
// digests. Once it is gone, the target gets requests again.
#[test]
fn invalid_digests_of_a_peer_are_tolerated() {
    fn holds(digests: Vec<ArbitraryDigest>, arbitrary_submission: ArbitrarySubmission) -> bool {
        let mut harness = harness(&[4, 4]);
        for ArbitraryDigest(digest) in digests {
            harness.dispatcher.apply_digest(&"vm2".to_owned(), digest);
        }
        harness.submit(arbitrary_submission.0);
        harness.advance(Duration::from_secs(3));
        harness.verdicts();
        harness.end("lies", "t0");
        harness.submit(submission("sound", 0));
        !harness.grants().is_empty()
    }
    seeded::check(
        300,
        holds as fn(Vec<ArbitraryDigest>, ArbitrarySubmission) -> bool,
    );
}

// Guards against a panic on impossible load reports and on answers longer than requested.
#[test]
fn invalid_reports_of_a_target_are_tolerated() {
    fn holds(running: u32, waiting: u32, tokens: u32, step: u64) -> bool {
        let mut harness = harness(&[4]);
        let report = LoadReport { running, waiting };
        harness
            .dispatcher
            .load_report(&TargetInstance::from("t0"), report);
        harness.submit(submission("a", 0));
        let step = Duration::from_millis(step);
        harness.report("a", "t0", ReportKind::FirstToken { after: step });
        harness.report("a", "t0", ReportKind::Progress { step, tokens });
        harness.end("a", "t0");
        true
    }
    seeded::check(300, holds as fn(u32, u32, u32, u64) -> bool);
}
