//! Which list of targets takes the place of which, and what may only have lapsed.

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::{Pool, Target, TargetState};
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
    ($name:ident, $known:literal, $other:literal, $does:literal) => {
        #[test]
        fn $name() {
            let known = live($known, &["a"]);
            assert_eq!(live($other, &[]).replaces(&known), $does);
        }
    };
}

// A worker has left. A list that went another way still has it; adopted, it would bring the worker
// back, and requests with it. The size of a list is no argument: all may leave.
replaces!(a_newer_list, 7, 8, true);
replaces!(an_older_list, 8, 7, false);
replaces!(the_same_list, 8, 8, false);

// A platform that does not count its changes: whatever its last list says, holds.
#[test]
fn without_revisions_the_last_list_holds() {
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
fn a_removal_in_calm_times_is_final() {
    let list = LiveList::default();
    list.take(live(7, &["a", "b"]), false);
    list.take(live(8, &["a"]), false);
    assert_eq!(ids(&list), ["a"]);
    assert_eq!(list.find(POOL, "b"), None);
}

// The platform was silent, and entries of targets that live lapsed. They stay until they come back
// or their time is over.
#[test]
fn what_lapsed_stays_for_a_while() {
    let list = LiveList::default();
    list.take(live(7, &["a", "b", "c"]), false);
    list.take(live(20, &["a"]), true);
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.find(POOL, "b").is_some());
    list.take(live(21, &["a", "b"]), true);
    assert_eq!(ids(&list), ["a", "b", "c"]);
    assert!(list.forget_lapsed());
    assert_eq!(ids(&list), ["a", "b"]);
    assert!(!list.forget_lapsed());
}

// One that had said that it leaves did not lapse: it has left.
#[test]
fn what_was_leaving_has_left() {
    let list = LiveList::default();
    let leaving = [("a", TargetState::Live), ("b", TargetState::Draining)];
    list.take(listing(7, &leaving), false);
    list.take(live(20, &["a"]), true);
    assert_eq!(ids(&list), ["a"]);
}

// A list in calm times ends what was kept from a silence before.
#[test]
fn calm_times_end_what_was_kept() {
    let list = LiveList::default();
    list.take(live(7, &["a", "b"]), false);
    list.take(live(20, &["a"]), true);
    list.take(live(21, &["a"]), false);
    assert_eq!(ids(&list), ["a"]);
}

// What other daemons are told is what the platform said: each of them judges by the silence that
// it saw itself. Told what another one keeps, those that were in touch all the while would send
// to a worker that has left.
#[test]
fn what_is_kept_is_not_told() {
    let list = LiveList::default();
    list.take(live(7, &["a", "b"]), false);
    list.take(live(20, &["a"]), true);
    assert_eq!(*list.listing(), live(20, &["a"]));
}
