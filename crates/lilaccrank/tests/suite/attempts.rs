//! When a request that failed at a target is sent to another one.

use lilaccrank::attempts::{Allowed, Attempts, Failure};

const ONCE: Allowed = Allowed {
    idempotent: false,
    resumable: false,
    runs: 1,
};
const REPEATABLE: Allowed = Allowed {
    idempotent: true,
    resumable: false,
    runs: 2,
};
const RESUMABLE: Allowed = Allowed {
    idempotent: true,
    resumable: true,
    runs: 2,
};

/// What a request allows, how its sends fail one after the other, and whether each may be
/// followed by another.
macro_rules! sends {
    ($name:ident, $allowed:expr, $([$failure:ident, $again:literal]),+) => {
        #[test]
        fn $name() {
            let mut attempts = Attempts::new($allowed);
            $(assert_eq!(attempts.failed(Failure::$failure), $again, stringify!($failure));)+
        }
    };
}

// A doubled job card sends two trucks up the same hill: what may have run is not sent again, while
// a target that says it did not run it costs nothing but the way.
sends!(once_and_maybe_run, ONCE, [Failed, false]);
sends!(once_and_broken_off, ONCE, [BrokenOff, false]);
sends!(once_and_not_run, ONCE, [NotRun, true], [Failed, false]);
sends!(
    once_and_unsent,
    ONCE,
    [Unsent, true],
    [Unsent, true],
    [Unsent, false]
);
sends!(
    repeatable_and_failed,
    REPEATABLE,
    [Failed, true],
    [Failed, false]
);
sends!(repeatable_and_broken_off, REPEATABLE, [BrokenOff, false]);
sends!(
    resumable_and_broken_off,
    RESUMABLE,
    [BrokenOff, true],
    [BrokenOff, false]
);
// Targets that all refuse are full; asking each of them in turn would keep the caller waiting.
sends!(
    refused_by_all,
    REPEATABLE,
    [NotRun, true],
    [NotRun, true],
    [NotRun, false]
);
// Sends that did not run leave the runs that the request may have.
sends!(
    refused_then_failed,
    REPEATABLE,
    [NotRun, true],
    [Failed, true],
    [Failed, false]
);

// After a send that may have run, a refusal by the next target must not make the caller believe
// that nothing ran.
#[test]
fn an_earlier_run_is_remembered() {
    let mut attempts = Attempts::new(REPEATABLE);
    assert!(!attempts.is_repeat());
    attempts.failed(Failure::Failed);
    attempts.failed(Failure::NotRun);
    assert!(attempts.is_repeat());
    assert!(attempts.may_have_run());
}

// A request that no target had begun did not run, however often it was sent.
#[test]
fn sends_in_vain_are_no_runs() {
    let mut attempts = Attempts::new(REPEATABLE);
    attempts.failed(Failure::NotRun);
    attempts.failed(Failure::Unsent);
    assert!(attempts.is_repeat());
    assert!(!attempts.may_have_run());
}
