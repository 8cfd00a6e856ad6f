//! Model check of claim, dispatch and takeover. `--no-capture` prints the numbers of states.

use crate::request_key::search;
use crate::request_key::spec::{KeySpec, Mutation};
use crate::request_key::spec_state::SIZE;

fn key_spec(attempts: [u64; SIZE], faults: u8, idempotent: bool, mutation: Mutation) -> KeySpec {
    KeySpec {
        attempts,
        mutation,
        faults,
        idempotent,
    }
}

/// Checks that the invariants hold in every state that is reachable within the bounds.
macro_rules! holds {
    ($name:ident, $attempts:expr, faults $faults:literal, idempotent $idempotent:literal) => {
        #[test]
        fn $name() {
            let search = search::search(&key_spec(
                $attempts,
                $faults,
                $idempotent,
                Mutation::Nothing,
            ));
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

/// Checks that the search finds a violation if one safeguard is disabled.
macro_rules! violates {
    ($name:ident, $mutation:ident, $attempts:expr, faults $faults:literal, $idempotent:literal, $violation:expr) => {
        #[test]
        fn $name() {
            let search = search::search(&key_spec(
                $attempts,
                $faults,
                $idempotent,
                Mutation::$mutation,
            ));
            println!("{}: {} states", stringify!($name), search.states.len());
            assert_eq!(search.violation, Some($violation));
        }
    };
}

const FALSE_REFUSAL: &str = "refused as not run though it ran";
const DOUBLE_DISPATCH: &str = "dispatched twice";

violates!(mark_after_dispatch, MarkAfterDispatch, [0, 1, 2], faults 1, true, FALSE_REFUSAL);
violates!(no_claim_number, NoClaimNumber, [0, 1, 1], faults 1, true, DOUBLE_DISPATCH);
violates!(no_copy, NoCopy, [0, 1, 1], faults 2, true, DOUBLE_DISPATCH);
violates!(no_grant_number, NoGrantNumber, [1, 1, 2], faults 1, true, DOUBLE_DISPATCH);
violates!(no_pause_check, NoPauseCheck, [0, 1, 1], faults 2, true, DOUBLE_DISPATCH);
violates!(no_settling, NoSettling, [0, 1, 1], faults 2, true, DOUBLE_DISPATCH);
violates!(no_store_claim, NoStoreClaim, [0, 1, 1], faults 2, false, DOUBLE_DISPATCH);
