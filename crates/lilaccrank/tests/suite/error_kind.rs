//! The table from kind to answer.

use lilaccrank::error_kind::{ErrorKind, Ran};

/// A kind and the status its callers see.
macro_rules! status {
    ($name:ident, $kind:ident, $status:literal, $ran:ident) => {
        #[test]
        fn $name() {
            let answer = ErrorKind::$kind.answer();
            assert_eq!(answer.status, $status);
            assert_eq!(answer.ran, Ran::$ran);
        }
    };
}

status!(overload_is_not_run, Overloaded, 503, No);
status!(rate_limit_is_not_run, RateLimited, 429, No);
status!(silent_target_may_have_run, TargetSilent, 504, Maybe);

#[test]
fn names_on_the_wire_are_those_of_display() {
    for kind in ErrorKind::ALL {
        let wire = serde_json::to_value(kind).unwrap();
        assert_eq!(wire, kind.to_string());
    }
}

#[test]
fn what_can_be_retried_was_not_run() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!(!answer.retry || answer.ran == Ran::No, "{kind}");
    }
}
