//! Model check of claim, dispatch and takeover; `--no-capture` prints the counts.

use crate::request_key::search;
use crate::request_key::spec::{Broken, Keys};
use crate::request_key::spec_state::SIZE;

fn keys(attempts: [u64; SIZE], faults: u8, idempotent: bool, broken: Broken) -> Keys {
    Keys {
        attempts,
        broken,
        faults,
        idempotent,
    }
}

/// The whole specification holds in every state that is reachable within the bounds.
macro_rules! holds {
    ($name:ident, $attempts:expr, faults $faults:literal, idempotent $idempotent:literal) => {
        #[test]
        fn $name() {
            let search = search::search(&keys($attempts, $faults, $idempotent, Broken::Nothing));
            println!("{}: {} states", stringify!($name), search.states.len());
            if let Some(violation) = search.violation {
                for (action, _) in search.path(search.violating) {
                    println!("{action:?}");
                }
                panic!("{violation}");
            }
        }
    };
}

holds!(idempotent_one_fault, [1, 1, 2], faults 1, idempotent true);
holds!(idempotent_two_faults, [0, 1, 2], faults 2, idempotent true);
holds!(non_idempotent_two_faults, [0, 1, 1], faults 2, idempotent false);

/// Without one safeguard the search finds a violation: the check can fail.
macro_rules! caught {
    ($name:ident, $broken:ident, $attempts:expr, faults $faults:literal, $idempotent:literal, $violation:expr) => {
        #[test]
        fn $name() {
            let search = search::search(&keys($attempts, $faults, $idempotent, Broken::$broken));
            println!("{}: {} states", stringify!($name), search.states.len());
            assert_eq!(search.violation, Some($violation));
        }
    };
}

const NOT_TRUE: &str = "refused as not run though it ran";
const TWICE: &str = "dispatched twice";

caught!(mark_after_dispatch, MarkAfterDispatch, [0, 1, 2], faults 1, true, NOT_TRUE);
caught!(no_claim_number, NoClaimNumber, [0, 1, 1], faults 1, true, TWICE);
caught!(no_copy, NoCopy, [0, 1, 1], faults 2, true, TWICE);
caught!(no_grant_number, NoGrantNumber, [1, 1, 2], faults 1, true, TWICE);
caught!(no_pause_check, NoPauseCheck, [0, 1, 1], faults 2, true, TWICE);
caught!(no_settling, NoSettling, [0, 1, 1], faults 2, true, TWICE);
caught!(no_store_claim, NoStoreClaim, [0, 1, 1], faults 2, false, TWICE);
