//! Permits for retries, which return to the budget of their pool unless they are spent.

use std::iter;

use lilaccrank_http::runtime;
use lilaccrankd::request::pool_retry_budgets::RetryPermit;

use super::fixtures;

/// Takes all permits of a new daemon, gives them to `end`, and returns how many there were and how many
/// there are afterwards.
fn permits_after(end: impl Fn(RetryPermit)) -> (usize, usize) {
    runtime::block_on(async {
        let daemon = fixtures::daemon();
        let pool = "engines".to_owned();
        let take_all =
            || -> Vec<_> { iter::from_fn(|| RetryPermit::take(&daemon, &pool)).collect() };
        let first = take_all();
        let count = first.len();
        first.into_iter().for_each(end);
        (count, take_all().len())
    })
    .unwrap()
}

/// Guards against callers that leave while a retry waits for a target, and use up the budget of others.
#[test]
fn a_retry_that_is_not_made_is_given_back() {
    let (before, after) = permits_after(drop);
    assert!(before > 0);
    assert_eq!(after, before);
}

#[test]
fn a_retry_that_is_made_is_spent() {
    let (before, after) = permits_after(RetryPermit::spend);
    assert!(before > 0);
    assert_eq!(after, 0);
}
