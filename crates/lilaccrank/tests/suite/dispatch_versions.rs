//! Streams that wait for a target with their software version.

use std::time::Duration;

use lilaccrank::dispatch::message::{PartialAnswer, Submission};
use lilaccrank::document::{Target, TargetState};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::software_version::{Origin, VersionDigest};

use crate::dispatch_fixtures::{granted, refused, submission};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// Queue limit of the dispatcher.
const WAITING_LIMIT: usize = 1_000;
/// Silence of a target that counts as a hang; longer than any test.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Targets `t0`, `t1` and so on with one slot and one of these versions each.
fn harness(versions: &[Option<&str>]) -> Harness {
    let slots = vec![1; versions.len()];
    let mut harness = Harness::new(&slots, WAITING_LIMIT, HANG_TIMEOUT);
    for (target, version) in harness.pool.targets.iter_mut().zip(versions) {
        target.version = version.map(str::to_owned);
    }
    set_targets(&harness);
    harness
}

fn set_targets(harness: &Harness) {
    harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
}

fn at(version: &str) -> Origin {
    Origin::At(VersionDigest::new(version))
}

/// A stream that began at this version and that its caller takes up.
fn resumed(request: &str, version: &str) -> Submission {
    Submission {
        origin: at(version),
        ..submission(request, 0)
    }
}

/// Targets by version, an origin, and the target that is granted; `None` if it is refused at once.
macro_rules! origins {
    ($($name:ident: $versions:expr, $origin:expr, $target:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut harness = harness(&$versions);
            harness.submit(Submission { origin: $origin, ..submission("r", 0) });
            let target: Option<&str> = $target;
            match target {
                Some(target) => assert_eq!(harness.grants(), granted("r", target)),
                None => assert_eq!(harness.refusals(), refused("r", ErrorKind::CannotResume)),
            }
        }
    )*};
}

origins! {
    the_version_decides: [Some("v2"), Some("v1")], at("v1"), Some("t1");
    no_target_has_the_version: [Some("v2"), Some("v3")], at("v1"), None;
    the_version_of_the_target_is_unknown: [None], at("v1"), None;
    the_origin_is_unknown: [Some("v1"), None], Origin::Unknown, None;
    a_new_stream_begins_at_an_unknown_version: [None], Origin::New, Some("t0");
}

/// Guards against a broken answer that goes on at another version while its own is full.
#[test]
fn a_full_version_is_waited_for() {
    let mut harness = harness(&[Some("v1"), Some("v2")]);
    harness.submit(resumed("runs", "v1"));
    assert_eq!(harness.grants(), granted("runs", "t0"));
    harness.submit(Submission {
        partial: Some(PartialAnswer {
            remaining: None,
            tokens: 4,
        }),
        ..resumed("waits", "v1")
    });
    assert_eq!(harness.verdicts(), []);
    harness.end("runs", "t0");
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

/// Guards against streams that wait for one version and hold up those of another, of the same customer
/// or of others, and new ones.
#[test]
fn a_full_version_blocks_nobody() {
    let mut harness = harness(&[Some("v1"), Some("v2")]);
    harness.submit(resumed("runs", "v1"));
    harness.submit(resumed("other", "v2"));
    assert_eq!(harness.grants().len(), 2);
    for number in 0..100 {
        harness.submit(resumed(&format!("waits{number}"), "v1"));
    }
    harness.submit(resumed("next", "v2"));
    harness.submit(submission("new", 0));
    harness.end("other", "t1");
    assert_eq!(harness.grants(), granted("next", "t1"));
    harness.end("next", "t1");
    assert_eq!(harness.grants(), granted("new", "t1"));
}

/// Two streams of one version, of which one waits, and what becomes of the only target with it.
macro_rules! version_goes {
    ($($(#[$guard:meta])* $name:ident: $change:expr;)*) => {$(
        $(#[$guard])*
        #[test]
        fn $name() {
            let mut harness = harness(&[Some("v1"), Some("v2")]);
            harness.submit(resumed("runs", "v1"));
            harness.submit(resumed("waits", "v1"));
            assert_eq!(harness.grants(), granted("runs", "t0"));
            let change: fn(&mut Target) = $change;
            change(&mut harness.pool.targets[0]);
            set_targets(&harness);
            assert_eq!(harness.refusals(), refused("waits", ErrorKind::CannotResume));
        }
    )*};
}

version_goes! {
    /// Guards against streams that wait until their deadlines for a version that has gone.
    streams_of_a_version_that_goes_are_refused_at_once: |target| {
        target.state = TargetState::Draining;
    };
    /// Guards against a target whose entry changes its version and keeps the streams of the earlier one.
    a_target_that_changes_its_version: |target| target.version = Some("v2".to_owned());
}

/// Guards against a target of another cell that gets new requests, or not those that it is there for.
#[test]
fn a_spare_target_only_resumes_streams() {
    let mut harness = harness(&[Some("v2")]);
    let spare = Target {
        id: "spare".to_owned(),
        version: Some("v1".to_owned()),
        ..harness.pool.targets[0].clone()
    };
    let spare = [spare];
    harness
        .dispatcher
        .set_targets_where(&harness.pool, &spare, |_| true);
    harness.submit(resumed("resumed", "v1"));
    assert_eq!(harness.grants(), granted("resumed", "spare"));
    harness.submit(submission("runs", 0));
    harness.submit(submission("waits", 0));
    assert_eq!(harness.grants(), granted("runs", "t0"));
    harness.end("resumed", "spare");
    assert_eq!(harness.verdicts(), []);
    set_targets(&harness);
    harness.submit(resumed("late", "v1"));
    assert_eq!(harness.refusals(), refused("late", ErrorKind::CannotResume));
}

/// Guards against a stream that is refused with the last own target of its cell, though a target of
/// another cell serves its version.
#[test]
fn a_stream_that_waits_for_a_spare_target() {
    let mut harness = harness(&[Some("v2")]);
    let spare = [Target {
        id: "spare".to_owned(),
        version: Some("v1".to_owned()),
        ..harness.pool.targets[0].clone()
    }];
    harness
        .dispatcher
        .set_targets_where(&harness.pool, &spare, |_| true);
    harness.submit(resumed("runs", "v1"));
    harness.submit(resumed("waits", "v1"));
    harness.submit(submission("taken", 0));
    harness.submit(submission("new", 0));
    assert_eq!(harness.grants().len(), 2);
    harness.pool.targets[0].state = TargetState::Draining;
    harness
        .dispatcher
        .set_targets_where(&harness.pool, &spare, |_| true);
    assert_eq!(harness.refusals(), refused("new", ErrorKind::NoTarget));
    harness.end("runs", "spare");
    assert_eq!(harness.grants(), granted("waits", "spare"));
}
