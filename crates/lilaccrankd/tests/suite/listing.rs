//! Which list of targets takes the place of which, and what may only have lapsed.

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::{Pool, Target, TargetState};
use lilaccrank::target_instance::TargetInstance;
use lilaccrankd::targets::live_list::{Listing, LiveList};

const POOL: &str = "engines";

fn listing(revision: u64, targets: &[(&str, TargetState)]) -> Listing {
    let targets = targets.iter().map(|(id, state)| Target {
        id: (*id).to_owned(),
        state: *state,
        ..Target::default()
    });
    Listing {
        revision,
        targets: IndexMap::from([(POOL.to_owned(), targets.collect())]),
        ..Listing::default()
    }
}

fn live(revision: u64, ids: &[&str]) -> Listing {
    let targets: Vec<_> = ids.iter().map(|id| (*id, TargetState::Live)).collect();
    listing(revision, &targets)
}

fn ids(list: &LiveList) -> Vec<String> {
    let pool = Pool {
        id: POOL.to_owned(),
        listed: true,
        ..Pool::default()
    };
    let targets = list.apply(&pool).targets.into_iter();
    targets.map(|target| target.id).collect()
}

/// Revision of the known list and of another, and whether that replaces it.
macro_rules! replaces {
    ($name:ident, $known:literal, $other:literal, $is_replaced:literal) => {
        #[test]
        fn $name() {
            let known = live($known, &["a"]);
            assert_eq!(live($other, &[]).replaces(&known), $is_replaced);
        }
    };
}

// A worker has left. A list that went another way still has it; adopted, it would bring the worker
// back, and requests with it. The size of a list is no argument: all may leave.
replaces!(newer_revision_replaces, 7, 8, true);
replaces!(older_revision_does_not_replace, 8, 7, false);
replaces!(same_revision_does_not_replace, 8, 8, false);

// A platform that does not count its changes: whatever its last list says, holds.
#[test]
fn without_revisions_the_latest_list_replaces() {
    let leaving = Listing {
        leaving: IndexSet::from(["vm1".to_owned()]),
        ..Listing::default()
    };
    assert!(leaving.replaces(&Listing::default()));
    assert!(Listing::default().replaces(&leaving));
    assert!(!leaving.replaces(&leaving.clone()));
}

// In calm times what is removed has gone at once, also if it never said that it leaves.
#[test]
fn removal_without_an_outage_is_final() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b"]), false);
    list.update(live(8, &["a"]), false);
    assert_eq!(ids(&list), ["a"]);
    assert_eq!(list.find(POOL, &TargetInstance::from("b")), None);
}

// The platform was silent, and entries of targets that live lapsed. They stay until they come back
// or their time is over.
#[test]
fn lapsed_targets_stay_until_dropped() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b", "c"]), false);
    list.update(live(20, &["a"]), true);
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.find(POOL, &TargetInstance::from("b")).is_some());
    list.update(live(21, &["a", "b"]), true);
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.forget_lapsed());
    assert_eq!(ids(&list), ["a", "b"]);
    assert!(!list.forget_lapsed());
}

// One that had said that it leaves did not lapse: it has left.
#[test]
fn draining_targets_do_not_lapse() {
    let list = LiveList::default();
    let leaving = [("a", TargetState::Live), ("b", TargetState::Draining)];
    list.update(listing(7, &leaving), false);
    list.update(live(20, &["a"]), true);
    assert_eq!(ids(&list), ["a"]);
}

// A list in calm times ends what was kept from a silence before.
#[test]
fn update_without_an_outage_drops_lapsed_targets() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b"]), false);
    list.update(live(20, &["a"]), true);
    list.update(live(21, &["a"]), false);
    assert_eq!(ids(&list), ["a"]);
}

// What other daemons are told is what the platform said: each of them judges by the silence that
// it saw itself. Told what another one keeps, those that were in touch all the while would send
// to a worker that has left.
#[test]
fn lapsed_targets_are_not_in_the_listing() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b"]), false);
    list.update(live(20, &["a"]), true);
    assert_eq!(*list.listing(), live(20, &["a"]));
}

/// A target that was born at `born` and is in this state.
fn listing_of_instance(revision: u64, born: u64, state: TargetState) -> Listing {
    let mut listing = listing(revision, &[("a", state)]);
    listing.targets[POOL][0].started_ms = born;
    listing
}

fn only(list: &LiveList) -> (u64, TargetState) {
    let listing = list.listing();
    let target = &listing.targets[POOL][0];
    (target.started_ms, target.state)
}

// The old life of a target was leaving, the new one serves. The entry of the old one is written once
// more, late, by a store that was slow: the new life stays.
#[test]
fn an_earlier_instance_never_returns() {
    let list = LiveList::default();
    list.update(listing_of_instance(7, 100, TargetState::Draining), false);
    list.update(listing_of_instance(8, 200, TargetState::Live), false);
    assert_eq!(only(&list), (200, TargetState::Live));
    list.update(listing_of_instance(9, 100, TargetState::Draining), false);
    assert_eq!(only(&list), (200, TargetState::Live));
    // Nor does it after the new life has gone.
    list.update(live(10, &[]), false);
    list.update(listing_of_instance(11, 100, TargetState::Live), false);
    assert_eq!(ids(&list), Vec::<String>::new());
    list.update(listing_of_instance(12, 300, TargetState::Live), false);
    assert_eq!(only(&list), (300, TargetState::Live));
}

// A request is looked for at the life that it was granted: the one after it never had it.
#[test]
fn find_requires_the_same_instance() {
    let list = LiveList::default();
    list.update(listing_of_instance(7, 100, TargetState::Live), false);
    let instance = TargetInstance {
        started_ms: 100,
        id: "a".to_owned(),
    };
    assert!(list.find(POOL, &instance).is_some());
    list.update(listing_of_instance(8, 200, TargetState::Live), false);
    assert_eq!(list.find(POOL, &instance), None);
}

// What is remembered of names that are gone is bounded.
#[test]
fn remembered_instances_are_bounded() {
    let list = LiveList::default();
    for revision in 1..=200 {
        let names: Vec<String> = (0..500).map(|n| format!("t{revision}-{n}")).collect();
        let names: Vec<&str> = names.iter().map(|name| &**name).collect();
        list.update(live(revision, &names), false);
    }
    assert!(
        list.instance_count() <= 500 + 4_096,
        "{}",
        list.instance_count()
    );
}
