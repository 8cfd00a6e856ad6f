//! Numbers that no sound daemon, target or caller would send.

use std::time::Duration;

use lilaccrank::dispatch::message::{Ask, LoadReport, ReportKind};
use lilaccrank::dispatch::sharing::{Digest, Sample, Seen, TargetLoad};
use lilaccrank::target_instance::TargetInstance;
use quickcheck::{Arbitrary, Gen};

use crate::dispatch_cases::{ask, harness};
use crate::seeded;

/// A number that is mostly at an end of its range.
fn extreme(g: &mut Gen) -> u64 {
    let usual = u64::arbitrary(g) % 1_000;
    *g.choose(&[0, 1, usual, u64::from(u32::MAX), u64::MAX - 1, u64::MAX])
        .unwrap_or(&0)
}

fn time(g: &mut Gen) -> Duration {
    Duration::from_millis(extreme(g))
}

/// A digest of another daemon.
#[derive(Clone, Debug)]
struct Told(Digest);

impl Arbitrary for Told {
    fn arbitrary(g: &mut Gen) -> Self {
        let load = |g: &mut Gen| TargetLoad {
            prefill: extreme(g),
            running: extreme(g) as u32,
            target: TargetInstance::from("t0").digest(),
        };
        let sample = |g: &mut Gen| Sample {
            seen: match u8::arbitrary(g) % 3 {
                0 => Seen::FirstToken {
                    after: time(g),
                    before: extreme(g),
                },
                1 => Seen::Step {
                    batch: extreme(g) as u32,
                    step: time(g),
                },
                _ => Seen::Failed,
            },
            target: TargetInstance::from("t0").digest(),
        };
        Self(Digest {
            loads: (0..3).map(|_| load(g)).collect(),
            samples: (0..3).map(|_| sample(g)).collect(),
            sent: vec![(TargetInstance::from("t0").digest(), extreme(g) as u32)],
            waiting: None,
            whole: bool::arbitrary(g),
        })
    }
}

/// An ask of a caller that lies about its lengths and times.
#[derive(Clone, Debug)]
struct Asked(Ask);

impl Arbitrary for Asked {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Ask {
            deadline: Some(time(g)),
            max_tokens: extreme(g) as u32,
            objective: Some(time(g)),
            prompt_tokens: extreme(g) as u32,
            weight: extreme(g) as u32,
            ..ask("lies", u8::arbitrary(g) % 3)
        })
    }
}

// A daemon of another version, or a faulty one, tells nonsense of a target. Nobody's numbers may stop
// another daemon, and after the faulty one has gone the target gets work again.
#[test]
fn nonsense_of_another_daemon() {
    fn holds(told: Vec<Told>, asked: Asked) -> bool {
        let mut harness = harness(&[4, 4]);
        for Told(digest) in told {
            harness.dispatcher.take_digest(&"vm2".to_owned(), digest);
        }
        harness.ask(asked.0);
        harness.advance(Duration::from_secs(3));
        harness.verdicts();
        harness.end("lies", "t0");
        harness.ask(ask("sound", 0));
        !harness.grants().is_empty()
    }
    seeded::check(300, holds as fn(Vec<Told>, Asked) -> bool);
}

// A target reports numbers that cannot be, and its answer has more tokens than were asked for.
#[test]
fn nonsense_of_a_target() {
    fn holds(running: u32, waiting: u32, tokens: u32, step: u64) -> bool {
        let mut harness = harness(&[4]);
        let report = LoadReport { running, waiting };
        harness
            .dispatcher
            .load_report(&TargetInstance::from("t0"), report);
        harness.ask(ask("a", 0));
        let step = Duration::from_millis(step);
        harness.report("a", "t0", ReportKind::FirstToken { after: step });
        harness.report("a", "t0", ReportKind::Progress { step, tokens });
        harness.end("a", "t0");
        true
    }
    seeded::check(300, holds as fn(u32, u32, u32, u64) -> bool);
}
