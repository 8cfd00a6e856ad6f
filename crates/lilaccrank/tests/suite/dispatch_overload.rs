//! Overload at the dispatcher: shedding, fairness, deadlines, limits, Retry-After.

use std::time::{Duration, Instant};

use lilaccrank::dispatch::drain_rate::DrainRate;
use lilaccrank::dispatch::message::{Ask, Outcome, ReportKind, Verdict};
use lilaccrank::document::Limit;
use lilaccrank::error_kind::ErrorKind;

use crate::dispatch_fixtures::{
    CONCURRENCY_LIMIT, SILENCE_FLOOR, ask, ask_with_limit, ask_with_long_prompt, granted, harness,
    refused, with_deadline,
};
use crate::dispatch_harness::Harness;

/// A full queue of `low` and a new ask of `new`: whose request is refused.
macro_rules! full_queue {
    ($name:ident, $low:literal, $new:literal, $refused:literal) => {
        #[test]
        fn $name() {
            let mut harness = Harness::new(&[1], 2, SILENCE_FLOOR);
            for request in ["runs", "first", "second"] {
                harness.ask(ask(request, $low));
            }
            harness.verdicts();
            harness.ask(ask("new", $new));
            assert_eq!(harness.refusals(), refused($refused, ErrorKind::Overloaded));
        }
    };
}

full_queue!(waiting_bulk_is_shed_for_an_urgent_ask, 3, 0, "second");
full_queue!(new_bulk_is_shed_before_waiting_urgent_asks, 0, 3, "new");
full_queue!(newest_ask_of_one_customer_is_shed, 2, 2, "new");

// A caller sees its small customer's request refused at the top of the hour. A large customer
// fills the queue, then a small one asks. Were the newest shed, the large one's burst would cost
// the small one its place.
#[test]
fn burst_sheds_only_its_own_customer() {
    let mut harness = Harness::new(&[1], 10, SILENCE_FLOOR);
    for i in 0..11 {
        harness.ask(ask(&format!("large{i}"), 2));
    }
    harness.verdicts();
    let small = Ask {
        customer: "small".to_owned(),
        ..ask("small", 2)
    };
    harness.ask(small);
    assert_eq!(
        harness.refusals(),
        refused("large10", ErrorKind::Overloaded)
    );
}

// A small customer waits for ever. A large one has a long backlog of surveys in the same tier,
// the small one sends pings. Counted in requests, each ping would wait for a survey of a hundred
// times its length; counted in tokens, all pings pass for one survey.
#[test]
fn customers_share_by_tokens() {
    let mut harness = harness(&[1]);
    for i in 0..5 {
        let customer = "large".to_owned();
        harness.ask(Ask {
            customer,
            ..ask_with_long_prompt(&format!("survey{i}"), 2)
        });
    }
    for i in 0..20 {
        harness.ask(ask(&format!("ping{i}"), 2));
    }
    let mut order = harness.grants();
    while order.len() < 25 {
        let (request, target) = order.last().cloned().unwrap();
        harness.end(&request, &target);
        order.extend(harness.grants());
    }
    let surveys = order
        .iter()
        .enumerate()
        .filter(|(_, (r, _))| r.starts_with("survey"));
    let positions: Vec<usize> = surveys.map(|(i, _)| i).collect();
    assert_eq!(positions, [0, 21, 22, 23, 24]);
}

// A breakdown call waits for bulk to end. Bulk has filled every slot before the call comes.
// Engines can't be interrupted, so a part of the slots is kept from bulk.
#[test]
fn slots_are_reserved_for_urgent_work() {
    let mut harness = harness(&[8, 8]);
    for i in 0..40 {
        harness.ask(ask(&format!("bulk{i}"), 3));
    }
    assert_eq!(harness.grants().len(), 14);
    harness.ask(ask("urgent", 0));
    assert_eq!(harness.grants().len(), 1);
}

// A ping waits for seconds although slots are free. Surveys are being read on every target, and
// reading can't be interrupted. So some targets are kept free of long prompts.
#[test]
fn targets_are_kept_free_of_long_prompts() {
    let mut harness = harness(&[8, 8, 8, 8]);
    for i in 0..8 {
        harness.ask(ask_with_long_prompt(&format!("survey{i}"), 3));
    }
    let mut busy: Vec<String> = harness
        .grants()
        .into_iter()
        .map(|(_, target)| target)
        .collect();
    busy.sort();
    assert_eq!(busy, ["t0", "t1", "t2"]);
    harness.ask(ask("ping", 1));
    assert_eq!(harness.grants(), granted("ping", "t3"));
}

// Prefill is spent in vain. A deadline that could be met at first has come too near in the queue;
// the request is refused at its turn.
#[test]
fn deadline_is_checked_again_at_the_grant() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.ask(with_deadline(4, ask_with_long_prompt("late", 0)));
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.refusals(), []);
    harness.end("runs", "t0");
    assert_eq!(
        harness.refusals(),
        refused("late", ErrorKind::DeadlineUnmeetable)
    );
}

// A ping waits behind a survey that is being read, while another engine only generates. What we
// have just sent counts at once, not when the engine reports it.
#[test]
fn own_grants_count_before_the_target_reports_them() {
    let mut harness = harness(&[8, 8]);
    let prompt_tokens = 7000;
    harness.ask(Ask {
        prompt_tokens,
        ..ask("survey", 0)
    });
    assert_eq!(harness.grants(), granted("survey", "t0"));
    for request in ["a", "b", "c"] {
        harness.ask(ask(request, 0));
        assert_eq!(harness.grants(), granted(request, "t1"));
    }
}

// A rule that lets nothing wait refuses all, also while targets idle. What can go at once goes.
#[test]
fn zero_wait_allows_immediate_dispatch() {
    let mut harness = harness(&[1]);
    let wait_at_most = Some(Duration::ZERO);
    let ask_with_zero_wait = |request: &str| Ask {
        wait_at_most,
        ..ask(request, 0)
    };
    harness.ask(ask_with_zero_wait("goes"));
    assert_eq!(harness.grants(), granted("goes", "t0"));
    harness.ask(ask_with_zero_wait("late"));
    harness.advance(Duration::from_millis(100));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("late", kind));
}

// Prefill is spent on an answer that nobody can get in time. The deadline is shorter than the
// reading of the prompt, or than the work ahead; lower-tier work ahead doesn't count, since it
// would be passed.
#[test]
fn unmeetable_deadline_is_refused_on_arrival() {
    let mut harness = harness(&[1]);
    let limit = ask_with_limit("counts", RATE_LIMIT).limit;
    harness.ask(with_deadline(
        1,
        Ask {
            limit,
            ..ask_with_long_prompt("survey", 3)
        },
    ));
    assert_eq!(
        harness.refusals(),
        refused("survey", ErrorKind::DeadlineUnmeetable)
    );
    harness.ask(ask_with_limit("counts", RATE_LIMIT));
    assert_eq!(
        harness.grants(),
        granted("counts", "t0"),
        "the first took no place"
    );
    harness.end("counts", "t0");
    harness.ask(ask("runs", 0));
    harness.verdicts();
    for i in 0..25 {
        harness.ask(ask_with_long_prompt(&format!("survey{i}"), 3));
    }
    harness.ask(with_deadline(20, ask("lowest", 3)));
    harness.ask(with_deadline(5, ask("higher", 2)));
    let refusals = harness.refusals();
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(refusals, [("lowest".to_owned(), kind)]);
    harness.advance(Duration::from_secs(6));
    assert_eq!(
        harness.refusals(),
        refused("higher", kind),
        "its time is up"
    );
}

/// Which of three asks under a limit is refused.
macro_rules! limit {
    ($name:ident, $limit:expr, $customers:expr, $refused:expr) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[8]);
            for (i, customer) in $customers.into_iter().enumerate() {
                let customer = str::to_owned(customer);
                harness.ask(Ask {
                    customer,
                    ..ask_with_limit(&format!("r{i}"), $limit)
                });
            }
            let refusals = harness.refusals().into_iter();
            let requests: Vec<String> = refusals.map(|(request, _)| request).collect();
            let expected: [&str; _] = $refused;
            assert_eq!(requests, expected);
        }
    };
}

const CUSTOMER_CONCURRENCY_LIMIT: Limit = Limit {
    per_customer: true,
    ..CONCURRENCY_LIMIT
};
const RATE_LIMIT: Limit = Limit {
    concurrency: None,
    per_customer: false,
    rate_per_s: Some(1.0),
};

limit!(
    concurrency_is_limited,
    CONCURRENCY_LIMIT,
    ["a", "b", "a"],
    ["r1", "r2"]
);
limit!(
    concurrency_is_limited_per_customer,
    CUSTOMER_CONCURRENCY_LIMIT,
    ["a", "b", "a"],
    ["r2"]
);
limit!(rate_is_limited, RATE_LIMIT, ["a", "b", "a"], ["r1", "r2"]);

// A limit fills up for good, and every caller is refused. A place is given back however its
// request ends.
#[test]
fn limit_is_released_on_every_outcome() {
    let mut harness = harness(&[1]);
    for i in 0..3 {
        let request = format!("r{i}");
        harness.ask(ask_with_limit(&request, CONCURRENCY_LIMIT));
        assert_eq!(harness.grants(), granted(&request, "t0"));
        let outcome = [Outcome::Complete, Outcome::Failed, Outcome::Unused][i];
        let kind = ReportKind::Ended {
            decoded: 1,
            outcome,
            prefill: None,
        };
        harness.report(&request, "t0", kind);
    }
}

// Callers return long before or after their turn. The pool has ended a thousand tokens a second,
// so those behind ten thousand should come back in ten seconds and up to as long again.
#[test]
fn retry_after_follows_the_drain_rate() {
    let start = Instant::now();
    let mut drain = DrainRate::new(0, start);
    let seconds = (1..=30).map(|i| start + Duration::from_secs(i));
    for now in seconds {
        drain.record_end(1000, now);
    }
    let now = start + Duration::from_secs(30);
    let retry = drain.retry_after(10_000, 0.0, now).as_secs_f64();
    assert!((8.0..22.0).contains(&retry), "{retry}");
}

// Refused callers come back as one burst and are refused again. Their `Retry-After` is spread
// over as long as the pool needs.
#[test]
fn retry_after_is_spread_out() {
    let mut harness = Harness::new(&[1], 1, SILENCE_FLOOR);
    for i in 0..101 {
        harness.ask(ask(&format!("r{i}"), 3));
    }
    let retry = |verdict: &Verdict| match verdict {
        Verdict::Grant(_) => None,
        Verdict::Refuse(refuse) => refuse.retry_after,
    };
    let mut delays: Vec<Duration> = harness.verdicts().iter().filter_map(retry).collect();
    assert_eq!(delays.len(), 99);
    delays.sort();
    assert!(delays[98] > delays[0].mul_f64(1.2), "{delays:?}");
    assert!(
        delays[98] < SILENCE_FLOOR,
        "one short ask is ahead: {delays:?}"
    );
}
