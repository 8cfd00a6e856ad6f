//! Tests of the decision to retry a failed request at another target.

use lilaccrank::attempts::{Attempts, Failure, RetryPolicy};

const NON_IDEMPOTENT: RetryPolicy = RetryPolicy {
    idempotent: false,
    resumable: false,
    max_runs: 1,
};
const IDEMPOTENT: RetryPolicy = RetryPolicy {
    idempotent: true,
    resumable: false,
    max_runs: 2,
};
const RESUMABLE: RetryPolicy = RetryPolicy {
    idempotent: true,
    resumable: true,
    max_runs: 2,
};

/// A retry policy and a sequence of failures, each with the expected answer to "may retry?".
macro_rules! retry_cases {
    ($name:ident, $policy:expr, $([$failure:ident, $may_retry:literal]),+) => {
        #[test]
        fn $name() {
            let mut attempts = Attempts::new($policy);
            $(assert_eq!(attempts.record_failure(Failure::$failure), $may_retry, stringify!($failure));)+
        }
    };
}

// A request that is not idempotent must not take effect twice: it is not retried once a target
// may have run it, but it is after a target reported that it did not.
retry_cases!(non_idempotent_may_have_run, NON_IDEMPOTENT, [Failed, false]);
retry_cases!(
    non_idempotent_interrupted,
    NON_IDEMPOTENT,
    [BrokenOff, false]
);
retry_cases!(
    non_idempotent_not_run,
    NON_IDEMPOTENT,
    [NotRun, true],
    [Failed, false]
);
retry_cases!(
    non_idempotent_unsent,
    NON_IDEMPOTENT,
    [Unsent, true],
    [Unsent, true],
    [Unsent, false]
);
retry_cases!(
    idempotent_may_have_run,
    IDEMPOTENT,
    [Failed, true],
    [Failed, false]
);
retry_cases!(idempotent_interrupted, IDEMPOTENT, [BrokenOff, false]);
retry_cases!(
    resumable_interrupted,
    RESUMABLE,
    [BrokenOff, true],
    [BrokenOff, false]
);
// When several targets refuse, the pool is full; trying all of them would only delay the caller.
retry_cases!(
    refused_by_all,
    IDEMPOTENT,
    [NotRun, true],
    [NotRun, true],
    [NotRun, false]
);
// Sends that were not executed don't count against the maximum number of runs.
retry_cases!(
    refused_then_may_have_run,
    IDEMPOTENT,
    [NotRun, true],
    [Failed, true],
    [Failed, false]
);

// After a target may have run the request, a refusal by the next one must not make the caller
// believe that it never ran.
#[test]
fn an_earlier_run_is_remembered() {
    let mut attempts = Attempts::new(IDEMPOTENT);
    assert!(!attempts.is_repeat());
    attempts.record_failure(Failure::Failed);
    attempts.record_failure(Failure::NotRun);
    assert!(attempts.is_repeat());
    assert!(attempts.may_have_run());
}

// A request that no target started counts as not run, however often it was sent.
#[test]
fn unexecuted_sends_are_not_runs() {
    let mut attempts = Attempts::new(IDEMPOTENT);
    attempts.record_failure(Failure::NotRun);
    attempts.record_failure(Failure::Unsent);
    assert!(attempts.is_repeat());
    assert!(!attempts.may_have_run());
}
