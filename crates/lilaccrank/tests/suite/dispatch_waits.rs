//! Slots that are left to earlier tiers, and how long asks wait for one.

use std::time::Duration;

use lilaccrank::dispatch::message::Ask;
use lilaccrank::error_kind::ErrorKind;

use crate::dispatch_fixtures::{ask, ask_with_objective, harness, refused};
use crate::dispatch_harness::Harness;

/// Slots of one target of seven that a tier fills once something of other tiers has come, and
/// some time has passed since.
macro_rules! slots_filled {
    ($name:ident, $tier:literal, $others:expr, $elapsed:expr, $slots:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[7]);
            for other in $others {
                let id = format!("other {other}");
                harness.ask(ask_with_objective(&id, other));
                harness.verdicts();
                harness.end(&id, "t0");
            }
            harness.advance($elapsed);
            for i in 0..10 {
                harness.ask(ask_with_objective(&format!("{i}"), $tier));
            }
            assert_eq!(harness.grants().len(), $slots);
        }
    };
}

// A review waits for the end of a chat of tens of seconds: chats have filled every slot. Each tier
// leaves a slot to each one before it.
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

// All callers of a pool are of the last tier, and are refused while slots stand empty. Slots are
// kept for tiers of which something came in the last ten minutes.
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

/// Milliseconds for which an ask of a tier waits for a full target before it is refused.
macro_rules! max_wait {
    ($name:ident, $tier:literal, $from:literal, $until:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[1]);
            harness.ask(ask("runs", 0));
            harness.verdicts();
            harness.ask(ask_with_objective("waits", $tier));
            harness.advance(Duration::from_millis($from));
            assert_eq!(harness.refusals(), []);
            harness.advance(Duration::from_millis($until - $from));
            let kind = ErrorKind::DeadlineUnmeetable;
            assert_eq!(harness.refusals(), refused("waits", kind));
        }
    };
}

// A caller that could come back in time hears too late that there is no place. Bulk is told as
// soon as its first token would be late; urgent work goes on for a third of its time, since late
// it is still worth more than bulk. Middle work that waited on would, in the order of arrival, make
// all that comes behind it late as well.
max_wait!(last_tier_waits_for_its_objective, 2, 800, 950);
max_wait!(middle_tier_waits_for_its_objective, 1, 800, 950);
max_wait!(first_tier_waits_past_its_objective, 0, 2_900, 3_100);

/// A full target of one slot, at which some chats have waited for nothing.
fn harness_after_refused_waits() -> Harness {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.verdicts();
    for i in 0..4 {
        harness.ask(ask_with_objective(&format!("{i}"), 2));
    }
    harness.advance(Duration::from_millis(950));
    assert_eq!(harness.refusals().len(), 4);
    harness
}

// An hourly burst of chats over what the targets can do: each waits for nine tenths of a second and
// is refused, and comes back with little time left. Once most waits end so, the next ones are told
// at once. One waits on, and shows when there is room again.
#[test]
fn asks_are_refused_at_once_after_refused_waits() {
    let mut harness = harness_after_refused_waits();
    harness.ask(ask_with_objective("looks", 2));
    harness.ask(ask_with_objective("spared", 2));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("spared", kind));
    harness.end("runs", "t0");
    assert_eq!(harness.grants()[0].0, "looks");
    harness.ask(ask_with_objective("next", 2));
    assert_eq!(harness.refusals(), []);
}

// What comes free goes to the first tier first: its asks wait, whatever became of others.
#[test]
fn the_first_tier_always_waits() {
    let mut harness = harness_after_refused_waits();
    for i in 0..4 {
        harness.ask(ask_with_objective(&format!("urgent {i}"), 0));
    }
    assert_eq!(harness.refusals(), []);
}

// A tier alone in a pool, after a quiet time: nothing is remembered of a burst that has passed.
#[test]
fn refused_waits_expire() {
    let mut harness = harness_after_refused_waits();
    harness.advance(Duration::from_secs(3));
    harness.ask(ask_with_objective("one", 2));
    harness.ask(ask_with_objective("two", 2));
    assert_eq!(harness.refusals(), []);
}

// A customer of a higher rank goes first, whatever the tiers; within a rank tiers decide.
#[test]
fn ranks_go_before_tiers() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.verdicts();
    for (request, rank, tier) in [("c", 1, 0), ("b", 0, 2), ("a", 0, 1)] {
        harness.ask(Ask {
            rank,
            ..ask(request, tier)
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
