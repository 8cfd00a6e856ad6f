//! When a list of targets replaces another, and which missing targets count as lapsed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::{Pool, Target, TargetState};
use lilaccrank::software_version::VersionDigest;
use lilaccrank::store_revision::StoreRevision;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::runtime;
use lilaccrankd::targets::live_list::{Listing, LiveList};

const POOL: &str = "engines";

fn listing(revision: u64, targets: &[(&str, TargetState)]) -> Listing {
    let targets = targets.iter().map(|(id, state)| Target {
        id: (*id).to_owned(),
        state: *state,
        ..Target::default()
    });
    Listing {
        revision: revision.into(),
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

/// Revisions of the known list and of another, and whether the other replaces it.
macro_rules! replaces {
    ($name:ident, $known:literal, $other:literal, $is_replaced:literal) => {
        #[test]
        fn $name() {
            let known = live($known, &["a"]);
            assert_eq!(live($other, &[]).replaces(&known), $is_replaced);
        }
    };
}

// Guards against an older list that arrives after a worker has left: it would bring the worker
// back, and requests with it. The size of a list does not matter, since all workers may leave.
replaces!(newer_revision_replaces, 7, 8, true);
replaces!(older_revision_does_not_replace, 8, 7, false);
replaces!(same_revision_does_not_replace, 8, 8, false);

// A platform that does not count its changes: its last list applies.
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

// Without an outage, a target that is missing from the list is gone at once, even if it never
// announced that it leaves.
#[test]
fn removal_without_an_outage_is_final() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b"]), false);
    list.update(live(8, &["a"]), false);
    assert_eq!(ids(&list), ["a"]);
    assert_eq!(list.find(POOL, &TargetInstance::from("b")), None);
}

// Entries of live targets lapse during an outage of the platform. The targets stay until they come
// back or are dropped.
#[test]
fn lapsed_targets_stay_until_dropped() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b", "c"]), false);
    list.update(live(20, &["a"]), true);
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.find(POOL, &TargetInstance::from("b")).is_some());
    list.update(live(21, &["a", "b"]), true);
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.lapsed.forget());
    assert_eq!(ids(&list), ["a", "b"]);
    assert!(!list.lapsed.forget());
}

// A target that was draining has left; it did not lapse.
#[test]
fn draining_targets_do_not_lapse() {
    let list = LiveList::default();
    let leaving = [("a", TargetState::Live), ("b", TargetState::Draining)];
    list.update(listing(7, &leaving), false);
    list.update(live(20, &["a"]), true);
    assert_eq!(ids(&list), ["a"]);
}

// The first list without an outage drops targets that an earlier outage kept.
#[test]
fn update_without_an_outage_drops_lapsed_targets() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b"]), false);
    list.update(live(20, &["a"]), true);
    list.update(live(21, &["a"]), false);
    assert_eq!(ids(&list), ["a"]);
}

// Other daemons receive the list as the platform sent it, since each decides by the outage that it
// saw itself. With the lapsed targets in it, daemons that never lost contact would send requests to
// a worker that has left.
#[test]
fn lapsed_targets_are_not_in_the_listing() {
    let list = LiveList::default();
    list.update(live(7, &["a", "b"]), false);
    list.update(live(20, &["a"]), true);
    assert_eq!(*list.listing(), live(20, &["a"]));
}

/// A list with one target that started at `started_ms` and is in this state.
fn listing_of_instance(revision: u64, started_ms: u64, state: TargetState) -> Listing {
    let mut listing = listing(revision, &[("a", state)]);
    listing.targets[POOL][0].started_ms = started_ms;
    listing
}

fn only(list: &LiveList) -> (u64, TargetState) {
    let listing = list.listing();
    let target = &listing.targets[POOL][0];
    (target.started_ms, target.state)
}

// Guards against a late entry of an earlier instance: the old instance was draining, the new one
// serves, and a slow store writes the entry of the old one once more.
#[test]
fn an_earlier_instance_never_returns() {
    let list = LiveList::default();
    list.update(listing_of_instance(7, 100, TargetState::Draining), false);
    list.update(listing_of_instance(8, 200, TargetState::Live), false);
    assert_eq!(only(&list), (200, TargetState::Live));
    list.update(listing_of_instance(9, 100, TargetState::Draining), false);
    assert_eq!(only(&list), (200, TargetState::Live));
    // The same after the new instance has gone.
    list.update(live(10, &[]), false);
    list.update(listing_of_instance(11, 100, TargetState::Live), false);
    assert_eq!(ids(&list), Vec::<String>::new());
    list.update(listing_of_instance(12, 300, TargetState::Live), false);
    assert_eq!(only(&list), (300, TargetState::Live));
}

// A request is looked up at the instance that it was granted; a later instance never had it.
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

// The memory of ids that are gone is bounded.
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

/// A list with one target of this version.
fn of_version(revision: u64, version: &str) -> Listing {
    let mut listing = live(revision, &["a"]);
    listing.targets[POOL][0].version = Some(version.to_owned());
    listing
}

/// Guards against a stream that is refused because it began at a version that another daemon's list
/// named first, and against waiting for one that has gone.
#[test]
fn a_version_that_is_not_listed_yet_is_waited_for() {
    runtime::block_on(async {
        let list = Rc::new(LiveList::default());
        list.update(of_version(1, "v1"), false);
        list.update(of_version(2, "v2"), false);
        let limit = Duration::from_secs(5);
        let at = Instant::now();
        list.version_known(VersionDigest::new("v1"), limit).await;
        assert!(at.elapsed() < limit / 5, "{:?}", at.elapsed());
        let updated = Rc::clone(&list);
        monoio::spawn(async move {
            monoio::time::sleep(limit / 50).await;
            updated.update(of_version(3, "v3"), false);
        });
        list.version_known(VersionDigest::new("v3"), limit).await;
        assert!(at.elapsed() < limit / 5, "{:?}", at.elapsed());
        list.version_known(VersionDigest::new("v4"), limit / 50)
            .await;
        assert!(at.elapsed() < limit, "{:?}", at.elapsed());
    })
    .unwrap();
}

fn of_era(era: u64, revision: u64, targets: &[(&str, TargetState)]) -> Listing {
    let mut listing = listing(revision, targets);
    listing.revision.era = era;
    listing
}

/// Era and number of the known list and of another, and whether the other replaces it.
macro_rules! replaces_in_era {
    ($name:ident, $known:expr, $other:expr, $is_replaced:literal) => {
        #[test]
        fn $name() {
            let known = of_era($known.0, $known.1, &[]);
            let other = of_era($other.0, $other.1, &[]);
            assert_eq!(other.replaces(&known), $is_replaced);
        }
    };
}

// Guards against changes after a restore of the store that count as old, since their numbers were given
// out before.
replaces_in_era!(a_later_era_replaces, (1, 90), (2, 30), true);
replaces_in_era!(an_earlier_era_does_not_replace, (2, 30), (1, 90), false);
replaces_in_era!(a_later_number_of_the_era_replaces, (2, 30), (2, 31), true);

fn state(list: &LiveList, id: &str) -> TargetState {
    let target = Target {
        id: id.to_owned(),
        ..Target::default()
    };
    list.state_of(&target)
}

// Guards against a copy of the store that brings back targets which have left since it was made.
#[test]
fn a_restored_list_brings_no_target_back() {
    let list = LiveList::default();
    let all = [("drains", TargetState::Live), ("goes", TargetState::Live)];
    list.update(of_era(1, 10, &all), false);
    list.update(of_era(1, 11, &[("drains", TargetState::Draining)]), false);
    list.update(of_era(2, 10, &all), true);
    for id in ["drains", "goes"] {
        assert_eq!(state(&list, id), TargetState::Draining, "{id}");
    }
    list.update(of_era(2, 12, &all), true);
    assert_eq!(state(&list, "drains"), TargetState::Draining);
}

// Guards against a target whose entry lapsed and came back, and that counts as gone from then on.
#[test]
fn a_target_that_is_listed_again_is_back() {
    let list = LiveList::default();
    list.update(live(1, &["a"]), false);
    list.update(live(2, &[]), false);
    list.update(live(3, &["a"]), false);
    assert_eq!(state(&list, "a"), TargetState::Live);
    list.update(of_era(1, 2, &[("a", TargetState::Live)]), true);
    assert_eq!(state(&list, "a"), TargetState::Live);
}

// Guards against daemons of two versions that can't read each other's revisions.
#[test]
fn a_revision_without_an_era_is_a_number() {
    let number = rmp_serde::to_vec_named(&7_u64).unwrap();
    let read: StoreRevision = rmp_serde::from_slice(&number).unwrap();
    assert_eq!(read, 7.into());
    assert_eq!(rmp_serde::to_vec_named(&read).unwrap(), number);
    let full = StoreRevision { era: 2, number: 7 };
    let written = rmp_serde::to_vec_named(&full).unwrap();
    assert_eq!(
        rmp_serde::from_slice::<StoreRevision>(&written).unwrap(),
        full
    );
}

// Guards against a removal after a restore of the store that is kept as an entry which the copy lacks, and against
// such an entry that counts as removed.
#[test]
fn a_removal_after_a_restore_is_no_lapse() {
    let list = LiveList::default();
    let all = ["lost", "removed", "stays"].map(|id| (id, TargetState::Live));
    list.update(of_era(1, 10, &all), false);
    list.update(of_era(2, 8, &all[1..]), false);
    list.update(of_era(2, 9, &all[2..]), false);
    assert!(list.lapsed.contains("lost"));
    assert!(!list.lapsed.contains("removed"));
    let removed = list.departed.removed_since_restore(2, Instant::now());
    assert_eq!(removed, [TargetInstance::from("removed")]);
}
