//! Tests of the responses to each kind of error.

use lilaccrank::error_kind::{ErrorKind, Executed};

/// An error kind, its HTTP status, and whether a target executed the request.
macro_rules! status {
    ($name:ident, $kind:ident, $status:literal, $executed:ident) => {
        #[test]
        fn $name() {
            let response = ErrorKind::$kind.response();
            assert_eq!(response.status, $status);
            assert_eq!(response.executed, Executed::$executed);
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
fn retryable_errors_were_not_executed() {
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!(
            !response.retryable || response.executed == Executed::No,
            "{kind}"
        );
    }
}
