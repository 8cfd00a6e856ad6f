//! Calls that are answered late, beside the next ones for the same thing.

use std::time::Duration;

use lilaccrank::clock::Clock;
use lilaccrank_http::late_calls::{Answered, LateCalls, Result};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;

/// Time that each try waits.
const WAIT: Duration = Duration::from_millis(40);
/// Time for which a late call is kept.
const KEPT: Duration = Duration::from_millis(400);

/// What a call gives: a number, which is no answer if it is negative.
type Outcome = i32;

/// A call with an outcome after a time.
type Call = (Outcome, Duration);

/// A call that is never answered.
const SILENT: Call = (0, Duration::from_secs(3_600));

/// Makes the calls one after the other, with a pause in between, and returns the outcomes of those that came in
/// time.
fn outcomes(calls: &'static [Call], pause: Duration) -> Vec<Option<Outcome>> {
    runtime::block_on(async move {
        let late = LateCalls::new(KEPT);
        let mut outcomes = Vec::new();
        for call in calls {
            outcomes.push(first(&late, "list", *call).await.ok().map(|a| a.outcome));
            monoio::time::sleep(pause).await;
        }
        outcomes
    })
    .unwrap()
}

async fn first(late: &LateCalls<Outcome>, key: &str, call: Call) -> Result<Answered<Outcome>> {
    let (outcome, after) = call;
    let call = async move {
        monoio::time::sleep(after).await;
        outcome
    };
    late.first(key, call, WAIT, |outcome| *outcome >= 0).await
}

macro_rules! late {
    ($($name:ident: $calls:expr, $pause_ms:literal => $outcomes:expr;)*) => {$(
        /// Guards against calls that are given up and made anew at a server that takes longer than one try waits.
        #[test]
        fn $name() {
            let found = outcomes(const { &$calls }, Duration::from_millis($pause_ms));
            assert_eq!(found, $outcomes);
        }
    )*};
}

const SOON: Duration = Duration::from_millis(1);
const TWO_TRIES: Duration = Duration::from_millis(60);
const THREE_TRIES: Duration = Duration::from_millis(100);

late! {
    one_that_is_answered_in_time: [(1, SOON)], 0 => [Some(1)];
    late_answer_serves_the_next_try: [(1, TWO_TRIES), SILENT], 0 => [None, Some(1)];
    late_answer_serves_a_later_try: [(1, THREE_TRIES), SILENT, SILENT], 0 => [None, None, Some(1)];
    new_answer_serves_where_the_old_one_never_comes: [SILENT, (2, SOON)], 0 => [None, Some(2)];
    late_refusal_does_not_count: [(-1, TWO_TRIES), (2, Duration::from_millis(30))], 0 => [None, Some(2)];
    late_call_outlives_a_refusal: [(1, THREE_TRIES), (-2, SOON), SILENT], 20 => [None, Some(-2), Some(1)];
    late_call_is_not_kept_for_ever: [(1, TWO_TRIES), (2, SOON)], 500 => [None, Some(2)];
}

/// Guards against an answer that is taken to be as new as the try that it serves.
#[test]
fn late_answer_says_when_it_was_asked_for() {
    let (asked_at, answered) = runtime::block_on(async {
        let late = LateCalls::new(KEPT);
        let asked_at = MonoioClock.boot_time();
        assert!(first(&late, "list", (1, TWO_TRIES)).await.is_err());
        (asked_at, first(&late, "list", SILENT).await.unwrap())
    })
    .unwrap();
    assert!(answered.began_at < asked_at + WAIT, "{answered:?}");
}

/// Guards against an answer to another question.
#[test]
fn late_call_serves_its_own_key_only() {
    let other = runtime::block_on(async {
        let late = LateCalls::new(KEPT);
        assert!(first(&late, "list", (1, TWO_TRIES)).await.is_err());
        first(&late, "other", (2, Duration::from_millis(30))).await
    });
    assert_eq!(other.unwrap().unwrap().outcome, 2);
}

/// Guards against a call that is kept though its caller has been dropped.
#[test]
fn dropped_try_keeps_nothing() {
    let second = runtime::block_on(async {
        let late = LateCalls::new(KEPT);
        let dropped = monoio::time::timeout(WAIT / 2, first(&late, "list", (1, TWO_TRIES))).await;
        assert!(dropped.is_err());
        first(&late, "list", SILENT).await
    });
    assert!(second.unwrap().is_err());
}
