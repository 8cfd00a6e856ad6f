//! Lists that are passed on as changes.

use indexmap::IndexMap;
use lilaccrank::document::{Target, TargetState};
use lilaccrank::store_revision::StoreRevision;
use lilaccrankd::targets::live_list::{Listing, LiveList};
use quickcheck::{Gen, QuickCheck};

/// Entries of a list: the pool and the name of each, and whether it is draining.
type Entries = Vec<(bool, u8, bool)>;

const NAMES: u8 = 12;
/// Largest number of lists in a row, of which all changes are remembered.
const STEPS: usize = 30;

fn listing(revision: StoreRevision, entries: &Entries) -> Listing {
    let mut targets: IndexMap<String, Vec<Target>> = IndexMap::new();
    for (pool, name, is_draining) in entries {
        let pool = if *pool { "engines" } else { "services" };
        let listed = targets.entry(pool.to_owned()).or_default();
        let id = format!("i-{:02}", name % NAMES);
        if listed.iter().any(|target| target.id == id) {
            continue;
        }
        listed.push(Target {
            id,
            state: match is_draining {
                true => TargetState::Draining,
                false => TargetState::Live,
            },
            ..Target::default()
        });
        listed.sort_by(|a, b| a.id.cmp(&b.id));
    }
    Listing {
        revision,
        targets,
        ..Listing::default()
    }
}

fn list_of(listings: &[Listing]) -> LiveList {
    let list = LiveList::default();
    for listing in listings {
        list.update(listing.clone(), false);
    }
    list
}

// Guards against changes that leave out an entry, or bring one back: a daemon that gets them has the list of
// the one that sent them, also if its own list has advanced since it asked.
#[test]
fn changes_make_the_same_list() {
    fn holds(steps: Vec<Entries>, asked: usize, advanced: usize) -> bool {
        let numbered = steps.iter().zip(1..);
        let listings: Vec<Listing> = numbered
            .map(|(entries, number)| listing(number.into(), entries))
            .collect();
        let Some(last) = listings.last() else {
            return true;
        };
        let asked = asked % listings.len();
        let advanced = asked + advanced % (listings.len() - asked);
        let changes = list_of(&listings).changes(listings[asked].revision);
        let made = changes.unwrap().apply(&listings[advanced]);
        let lacks_any = advanced + 1 < listings.len();
        made == lacks_any.then(|| last.clone())
    }
    QuickCheck::new()
        .rng(Gen::new(STEPS))
        .quickcheck(holds as fn(Vec<Entries>, usize, usize) -> bool);
}

// Between two updates of the sender, the asker has a list that the sender has never seen.
#[test]
fn a_list_between_two_updates_is_brought_up_to_date() {
    let entries = |names: &[u8]| names.iter().map(|name| (true, *name, false)).collect();
    let [first, between, last] = [(2, vec![1, 2]), (3, vec![1, 2, 3]), (4, vec![1, 3, 4])]
        .map(|(number, names): (u64, Vec<u8>)| listing(number.into(), &entries(&names)));
    let sender = list_of(&[first, last.clone()]);
    let changes = sender.changes(between.revision).unwrap();
    assert_eq!(changes.apply(&between), Some(last));
}

/// Revisions of the lists that a daemon has had and of the one that an asker has. Its changes since then are
/// not known.
macro_rules! unknown {
    ($name:ident, $had:expr, $asked:expr) => {
        #[test]
        fn $name() {
            let had = $had.map(|(era, number)| {
                listing(StoreRevision { era, number }, &vec![(true, 1, false)])
            });
            let (era, number) = $asked;
            let changes = list_of(&had).changes(StoreRevision { era, number });
            assert_eq!(changes, None);
        }
    };
}

unknown!(
    nothing_is_known_before_the_first_list,
    [(0, 5), (0, 7)],
    (0, 4)
);
// Guards against changes since a list that the store has lost: other changes have had its revisions.
unknown!(
    nothing_is_known_across_a_restore,
    [(1, 5), (1, 9), (2, 7)],
    (1, 5)
);
unknown!(an_asker_without_a_list_gets_all, [(0, 5), (0, 7)], (0, 0));

// Guards against a memory of changes that grows with the time for which a daemon runs.
#[test]
fn old_changes_are_forgotten() {
    let list = LiveList::default();
    for revision in 1..=400_u64 {
        let is_draining = revision % 2 == 0;
        let entries = (0..NAMES).map(|name| (true, name, is_draining)).collect();
        list.update(listing(revision.into(), &entries), false);
    }
    assert_eq!(list.changes(1.into()), None);
    assert!(list.changes(350.into()).is_some());
}

// Changes of one era apply to no list of another.
#[test]
fn changes_apply_to_no_list_of_another_era() {
    let entries = vec![(true, 1, false)];
    let sender = list_of(&[listing(5.into(), &entries), listing(9.into(), &Vec::new())]);
    let changes = sender.changes(5.into()).unwrap();
    let restored = listing(StoreRevision { era: 1, number: 2 }, &entries);
    assert_eq!(changes.apply(&restored), None);
}
