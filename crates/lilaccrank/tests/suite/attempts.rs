//! When a request that failed at a target is sent to another one.

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

/// What a request allows, how its sends fail one after the other, and whether each may be
/// followed by another.
macro_rules! retry_cases {
    ($name:ident, $policy:expr, $([$failure:ident, $may_retry:literal]),+) => {
        #[test]
        fn $name() {
            let mut attempts = Attempts::new($policy);
            $(assert_eq!(attempts.record_failure(Failure::$failure), $may_retry, stringify!($failure));)+
        }
    };
}

// A doubled job card sends two trucks up the same hill: what may have run is not sent again, while
// a target that says it did not run it costs nothing but the way.
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
// Targets that all refuse are full; asking each of them in turn would keep the caller waiting.
retry_cases!(
    refused_by_all,
    IDEMPOTENT,
    [NotRun, true],
    [NotRun, true],
    [NotRun, false]
);
// Sends that did not run leave the runs that the request may have.
retry_cases!(
    refused_then_may_have_run,
    IDEMPOTENT,
    [NotRun, true],
    [Failed, true],
    [Failed, false]
);

// After a send that may have run, a refusal by the next target must not make the caller believe
// that nothing ran.
#[test]
fn an_earlier_run_is_remembered() {
    let mut attempts = Attempts::new(IDEMPOTENT);
    assert!(!attempts.is_repeat());
    attempts.record_failure(Failure::Failed);
    attempts.record_failure(Failure::NotRun);
    assert!(attempts.is_repeat());
    assert!(attempts.may_have_run());
}

// A request that no target had begun did not run, however often it was sent.
#[test]
fn unexecuted_sends_are_not_runs() {
    let mut attempts = Attempts::new(IDEMPOTENT);
    attempts.record_failure(Failure::NotRun);
    attempts.record_failure(Failure::Unsent);
    assert!(attempts.is_repeat());
    assert!(!attempts.may_have_run());
}
