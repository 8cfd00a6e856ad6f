//! Which part of a prompt is to blame for crashes of targets.

use std::time::{Duration, Instant};

use lilaccrank::advisories::{Advisories, Fact};
use lilaccrank::ids::ContentDigest;
use quickcheck::quickcheck;

/// First part of all prompts.
const FIRST: ContentDigest = 1;
const DEADLY: ContentDigest = 2;

/// A target crashes while prompts with these parts are in flight.
fn crash(advisories: &mut Advisories, target: u32, prompts: &[&[ContentDigest]], now: Instant) {
    for (depth, part) in prompts.iter().flat_map(|parts| (0..).zip(*parts)) {
        let part = *part;
        advisories.note(
            Fact::PartCrash {
                depth,
                part,
                target,
            },
            now,
        );
    }
}

fn is_quarantined(advisories: &Advisories, part: ContentDigest, now: Instant) -> bool {
    advisories.quarantine_remaining(part, now).is_some()
}

// Guards against a quarantine of all requests that share the beginning of their prompts with the deadly
// ones, while none of them has been completed.
#[test]
fn the_part_behind_a_common_one_is_to_blame() {
    let now = Instant::now();
    let mut advisories = Advisories::default();
    for target in 0..4 {
        crash(&mut advisories, target, &[&[FIRST, DEADLY]], now);
    }
    assert!(is_quarantined(&advisories, DEADLY, now));
    assert!(!is_quarantined(&advisories, FIRST, now));
}

// Guards against a deadly first part that hides behind the parts that follow it.
#[test]
fn a_first_part_with_different_ones_behind_it_is_to_blame() {
    let now = Instant::now();
    let mut advisories = Advisories::default();
    for target in 0..4 {
        let behind = 10 + ContentDigest::from(target);
        crash(&mut advisories, target, &[&[DEADLY, behind]], now);
    }
    assert!(is_quarantined(&advisories, DEADLY, now));
}

// Guards against the parts of a sound request that was on three targets that crashed under another one.
#[test]
fn a_part_that_was_in_flight_at_fewer_crashes_is_not_to_blame() {
    let now = Instant::now();
    let mut advisories = Advisories::default();
    crash(&mut advisories, 0, &[&[FIRST, DEADLY]], now);
    for target in 1..4 {
        crash(
            &mut advisories,
            target,
            &[&[FIRST, DEADLY], &[FIRST, 7]],
            now,
        );
    }
    assert!(is_quarantined(&advisories, DEADLY, now));
    assert!(!is_quarantined(&advisories, 7, now));
}

// Guards against one request that is repeated and hides the part that crashes targets in others too.
#[test]
fn repeats_of_one_request_do_not_hide_a_shared_part() {
    let now = Instant::now();
    let mut advisories = Advisories::default();
    for target in 0..4 {
        crash(&mut advisories, target, &[&[FIRST, DEADLY, 30]], now);
    }
    crash(&mut advisories, 4, &[&[FIRST, DEADLY, 31]], now);
    assert!(is_quarantined(&advisories, DEADLY, now));
}

// Guards against a part that stays under quarantine though targets go on with answers to it.
#[test]
fn an_answer_that_went_on_clears_a_part() {
    let now = Instant::now();
    let mut advisories = Advisories::default();
    for target in 0..3 {
        crash(&mut advisories, target, &[&[DEADLY]], now);
    }
    assert!(is_quarantined(&advisories, DEADLY, now));
    let later = now + Duration::from_secs(1);
    advisories.note(Fact::Completed { content: DEADLY }, later);
    assert!(!is_quarantined(&advisories, DEADLY, later));
}

// Guards against second sends of requests with a part that has crashed two targets, and against refusals of
// requests that were lost once.
#[test]
fn a_part_is_a_repeated_suspect_from_its_second_crash_on() {
    let now = Instant::now();
    let mut advisories = Advisories::default();
    crash(&mut advisories, 0, &[&[FIRST, DEADLY], &[FIRST, 7]], now);
    assert!(!advisories.is_repeated_suspect(DEADLY, now));
    crash(&mut advisories, 1, &[&[FIRST, DEADLY]], now);
    assert!(advisories.is_repeated_suspect(DEADLY, now));
    assert!(!advisories.is_repeated_suspect(7, now));
    assert!(!advisories.is_repeated_suspect(FIRST, now));
}

quickcheck! {
    // Guards against a deadly part that escapes, and sound parts that are blamed, whatever else is in flight: each
    // crash takes along some of sixty sound parts, and those that a sound answer went on with are cleared.
    fn the_deadly_part_alone_is_blamed(in_flight: Vec<(u8, u8, u8)>) -> bool {
        let now = Instant::now();
        let mut advisories = Advisories::default();
        let sound = |part: u8| 100 + ContentDigest::from(part % 60);
        let crashes = in_flight.into_iter().chain([(0, 20, 40), (1, 21, 41), (2, 22, 42), (3, 23, 43)]);
        for (target, (a, b, c)) in (0..).zip(crashes.take(8)) {
            let at = now + Duration::from_millis(200) * target;
            let prompts: [&[ContentDigest]; 4] =
                [&[FIRST, DEADLY], &[FIRST, sound(a)], &[FIRST, sound(b)], &[FIRST, sound(c)]];
            crash(&mut advisories, target, &prompts, at);
            for part in [FIRST, sound(a)] {
                advisories.note(Fact::Completed { content: part }, at + Duration::from_millis(100));
            }
        }
        let at = now + Duration::from_secs(5);
        let blamed = (100..160).filter(|part| is_quarantined(&advisories, *part, at));
        let deadly_crashes_alone = blamed.count() == 0;
        is_quarantined(&advisories, DEADLY, at)
            && !is_quarantined(&advisories, FIRST, at)
            && deadly_crashes_alone
    }
}
