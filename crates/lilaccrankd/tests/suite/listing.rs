//! Which list of targets takes the place of which.

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::Target;
use lilaccrankd::targets::live_list::Listing;

fn listing(revision: u64, tentative: usize) -> Listing {
    Listing {
        revision,
        tentative,
        ..Listing::default()
    }
}

/// Revision and tentative targets of the known list and of another, and whether that replaces it.
macro_rules! replaces {
    ($name:ident, [$known:literal, $held:literal], [$other:literal, $tentative:literal], $does:literal) => {
        #[test]
        fn $name() {
            let known = listing($known, $held);
            assert_eq!(listing($other, $tentative).replaces(&known), $does);
        }
    };
}

// A worker has left. A list that went another way still has it; adopted, it would bring the worker
// back, and requests with it.
replaces!(a_newer_list, [7, 0], [8, 0], true);
replaces!(an_older_list, [8, 0], [7, 0], false);
replaces!(the_same_list, [8, 0], [8, 0], false);
// Two daemons know the same revision. One of them was turned away by the store for a while and
// keeps entries that have gone, as if they had lapsed; the other one saw them go.
replaces!(one_that_knows_better, [8, 2], [8, 0], true);
replaces!(one_that_knows_less, [8, 0], [8, 2], false);
replaces!(a_newer_one_that_keeps_lapsed_entries, [7, 0], [8, 2], true);

// A platform that does not count its changes: whatever its last list says, holds.
#[test]
fn without_revisions_the_last_list_holds() {
    let vm = "vm1".to_owned();
    let leaving = Listing {
        leaving: IndexSet::from([vm]),
        ..Listing::default()
    };
    assert!(leaving.replaces(&Listing::default()));
    assert!(Listing::default().replaces(&leaving));
    assert!(!leaving.replaces(&leaving.clone()));
}

// The size of a list is no argument: all workers of a service may leave.
#[test]
fn a_shorter_list_may_replace() {
    let targets = IndexMap::from([("engines".to_owned(), vec![Target::default()])]);
    let known = Listing {
        targets,
        ..listing(7, 0)
    };
    assert!(listing(8, 0).replaces(&known));
}
