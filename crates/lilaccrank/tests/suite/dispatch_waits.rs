//! Slots that are left to earlier tiers, and how long asks wait for one.

use std::time::Duration;

use lilaccrank::dispatch::message::Ask;
use lilaccrank::error_kind::ErrorKind;

use crate::dispatch_cases::{ask, harness, hurried, refused};
use crate::dispatch_harness::Harness;

/// Slots of one target of seven that a tier fills once something of other tiers has come, and
/// some time has passed since.
macro_rules! slots_of {
    ($name:ident, $tier:literal, $others:expr, $passed:expr, $slots:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[7]);
            for other in $others {
                let id = format!("other {other}");
                harness.ask(hurried(&id, other));
                harness.verdicts();
                harness.end(&id, "t0");
            }
            harness.advance($passed);
            for i in 0..10 {
                harness.ask(hurried(&format!("{i}"), $tier));
            }
            assert_eq!(harness.grants().len(), $slots);
        }
    };
}

// A review waits for the end of a chat of tens of seconds: chats have filled every slot. Each tier
// leaves a slot to each one before it.
slots_of!(the_first_tier_fills_all, 0, [1, 2], Duration::ZERO, 7);
slots_of!(the_second_leaves_one, 1, [0, 2], Duration::ZERO, 6);
slots_of!(the_third_leaves_two, 2, [0, 1], Duration::ZERO, 5);
slots_of!(the_second_of_two_leaves_one, 2, [0], Duration::ZERO, 6);

// All callers of a pool are of the last tier, and are refused while slots stand empty. Slots are
// kept for tiers of which something came in the last ten minutes.
slots_of!(a_tier_alone_fills_all, 2, [], Duration::ZERO, 7);
slots_of!(later_tiers_take_nothing, 1, [2], Duration::ZERO, 7);
slots_of!(
    a_quiet_minute_keeps_room,
    2,
    [0],
    Duration::from_secs(60),
    6
);
slots_of!(tiers_are_forgotten, 2, [0, 1], Duration::from_secs(700), 7);

/// Milliseconds for which an ask of a tier waits for a full target before it is refused.
macro_rules! waits {
    ($name:ident, $tier:literal, $from:literal, $until:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[1]);
            harness.ask(ask("runs", 0));
            harness.verdicts();
            harness.ask(hurried("waits", $tier));
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
waits!(bulk_waits_for_its_objective, 2, 800, 950);
waits!(middle_work_waits_for_its_objective, 1, 800, 950);
waits!(urgent_work_waits_on, 0, 2_900, 3_100);

/// A full target of one slot, at which some chats have waited for nothing.
fn vain_waits() -> Harness {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.verdicts();
    for i in 0..4 {
        harness.ask(hurried(&format!("{i}"), 2));
    }
    harness.advance(Duration::from_millis(950));
    assert_eq!(harness.refusals().len(), 4);
    harness
}

// An hourly burst of chats over what the targets can do: each waits for nine tenths of a second and
// is refused, and comes back with little time left. Once most waits end so, the next ones are told
// at once. One waits on, and shows when there is room again.
#[test]
fn vain_waits_are_spared() {
    let mut harness = vain_waits();
    harness.ask(hurried("looks", 2));
    harness.ask(hurried("spared", 2));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("spared", kind));
    harness.end("runs", "t0");
    assert_eq!(harness.grants()[0].0, "looks");
    harness.ask(hurried("next", 2));
    assert_eq!(harness.refusals(), []);
}

// What comes free goes to the first tier first: its asks wait, whatever became of others.
#[test]
fn the_first_tier_always_waits() {
    let mut harness = vain_waits();
    for i in 0..4 {
        harness.ask(hurried(&format!("urgent {i}"), 0));
    }
    assert_eq!(harness.refusals(), []);
}

// A tier alone in a pool, after a quiet time: nothing is remembered of a burst that has passed.
#[test]
fn vain_waits_are_forgotten() {
    let mut harness = vain_waits();
    harness.advance(Duration::from_secs(3));
    harness.ask(hurried("one", 2));
    harness.ask(hurried("two", 2));
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
