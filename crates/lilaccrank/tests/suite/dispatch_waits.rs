//! Slots that are reserved for earlier tiers, and how long requests wait for a slot.

use std::time::Duration;

use lilaccrank::dispatch::message::Submission;
use lilaccrank::error_kind::ErrorKind;

use crate::dispatch_fixtures::{harness, refused, submission, submission_with_objective};
use crate::dispatch_harness::Harness;

/// Checks how many of a target's seven slots a tier fills, some time after requests of other tiers.
macro_rules! slots_filled {
    ($name:ident, $tier:literal, $others:expr, $elapsed:expr, $slots:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[7]);
            for other in $others {
                let id = format!("other {other}");
                harness.submit(submission_with_objective(&id, other));
                harness.verdicts();
                harness.end(&id, "t0");
            }
            harness.advance($elapsed);
            for i in 0..10 {
                harness.submit(submission_with_objective(&format!("{i}"), $tier));
            }
            assert_eq!(harness.grants().len(), $slots);
        }
    };
}

// Guards against urgent requests that wait tens of seconds because long answers of a later tier fill
// every slot. Each tier leaves one slot to each tier before it.
slots_filled!(first_tier_fills_all_slots, 0, [1, 2], Duration::ZERO, 7);
slots_filled!(second_tier_leaves_one_slot, 1, [0, 2], Duration::ZERO, 6);
slots_filled!(third_tier_leaves_two_slots, 2, [0, 1], Duration::ZERO, 5);
slots_filled!(
    second_of_two_tiers_leaves_one_slot,
    2,
    [0],
    Duration::ZERO,
    6
);

// Guards against refusals while reserved slots stay unused because all requests of a pool are of the
// last tier. Slots are reserved for tiers that had requests in the last ten minutes.
slots_filled!(only_tier_fills_all_slots, 2, [], Duration::ZERO, 7);
slots_filled!(later_tiers_reserve_nothing, 1, [2], Duration::ZERO, 7);
slots_filled!(
    reservation_outlasts_a_quiet_minute,
    2,
    [0],
    Duration::from_secs(60),
    6
);
slots_filled!(reservation_expires, 2, [0, 1], Duration::from_secs(700), 7);

/// Checks that a submission of a tier is refused at a full target after a wait between these
/// limits, in milliseconds.
macro_rules! max_wait {
    ($name:ident, $tier:literal, $from:literal, $until:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[1]);
            harness.submit(submission("runs", 0));
            harness.verdicts();
            harness.submit(submission_with_objective("waits", $tier));
            harness.advance(Duration::from_millis($from));
            assert_eq!(harness.refusals(), []);
            harness.advance(Duration::from_millis($until - $from));
            let kind = ErrorKind::DeadlineUnmeetable;
            assert_eq!(harness.refusals(), refused("waits", kind));
        }
    };
}

// Guards against refusals that come too late for the caller to retry. The last tier is refused once its
// first token would be late. The first tier waits for a third of its deadline, since it is worth more
// than bulk even if late. If the middle tier did the same, it would make all requests behind it late.
max_wait!(last_tier_waits_for_its_objective, 2, 800, 950);
max_wait!(middle_tier_waits_for_its_objective, 1, 800, 950);
max_wait!(first_tier_waits_past_its_objective, 0, 2_900, 3_100);

/// Returns a harness whose only slot is taken and where four submissions of the last tier have just
/// waited and been refused.
fn harness_after_refused_waits() -> Harness {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    harness.verdicts();
    for i in 0..4 {
        harness.submit(submission_with_objective(&format!("{i}"), 2));
    }
    harness.advance(Duration::from_millis(950));
    assert_eq!(harness.refusals().len(), 4);
    harness
}

// Guards against waits that end in a refusal during a burst above the capacity: each request waits for
// 0.9 s, is refused and retries with little time left. Once most waits end so, later requests are
// refused at once. One still waits, to detect free slots.
#[test]
fn submissions_are_refused_at_once_after_refused_waits() {
    let mut harness = harness_after_refused_waits();
    harness.submit(submission_with_objective("looks", 2));
    harness.submit(submission_with_objective("spared", 2));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("spared", kind));
    harness.end("runs", "t0");
    assert_eq!(harness.grants()[0].0, "looks");
    harness.submit(submission_with_objective("next", 2));
    assert_eq!(harness.refusals(), []);
}

// Guards against refusing the first tier at once: free slots go to it first, so its requests wait
// whatever happened to others.
#[test]
fn the_first_tier_always_waits() {
    let mut harness = harness_after_refused_waits();
    for i in 0..4 {
        harness.submit(submission_with_objective(&format!("urgent {i}"), 0));
    }
    assert_eq!(harness.refusals(), []);
}

// Guards against refusing requests at once because of a burst that is over.
#[test]
fn refused_waits_expire() {
    let mut harness = harness_after_refused_waits();
    harness.advance(Duration::from_secs(3));
    harness.submit(submission_with_objective("one", 2));
    harness.submit(submission_with_objective("two", 2));
    assert_eq!(harness.refusals(), []);
}

// Guards against a tier that outweighs a customer's rank: ranks decide first, tiers within a rank.
#[test]
fn ranks_go_before_tiers() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    harness.verdicts();
    for (request, rank, tier) in [("c", 1, 0), ("b", 0, 2), ("a", 0, 1)] {
        harness.submit(Submission {
            rank,
            ..submission(request, tier)
        });
    }
    let mut order = Vec::new();
    let mut last = "runs".to_owned();
    while order.len() < 3 {
        harness.end(&last, "t0");
        let granted = harness.grants();
        last.clone_from(&granted[0].0);
        order.push(last.clone());
    }
    assert_eq!(order, ["a", "b", "c"]);
}
