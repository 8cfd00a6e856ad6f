//! Overload at the dispatcher: shedding, fairness, deadlines, limits and `Retry-After`.

use std::time::{Duration, Instant};

use lilaccrank::dispatch::drain_rate::DrainRate;
use lilaccrank::dispatch::message::{Outcome, ReportKind, Submission, Verdict};
use lilaccrank::document::Limit;
use lilaccrank::error_kind::ErrorKind;

use crate::dispatch_fixtures::{
    CONCURRENCY_LIMIT, MIN_HANG_TIMEOUT, granted, harness, refused, submission,
    submission_with_limit, submission_with_long_prompt, with_deadline,
};
use crate::dispatch_harness::Harness;

/// Fills the queue with submissions of tier `low`, adds one of tier `new` and checks which is
/// refused.
macro_rules! full_queue {
    ($name:ident, $low:literal, $new:literal, $refused:literal) => {
        #[test]
        fn $name() {
            let mut harness = Harness::new(&[1], 2, MIN_HANG_TIMEOUT);
            for request in ["runs", "first", "second"] {
                harness.submit(submission(request, $low));
            }
            harness.verdicts();
            harness.submit(submission("new", $new));
            assert_eq!(harness.refusals(), refused($refused, ErrorKind::Overloaded));
        }
    };
}

full_queue!(
    waiting_bulk_is_shed_for_an_urgent_submission,
    3,
    0,
    "second"
);
full_queue!(
    new_bulk_is_shed_before_waiting_urgent_submissions,
    0,
    3,
    "new"
);
full_queue!(newest_submission_of_one_customer_is_shed, 2, 2, "new");

// Guards against shedding the newest request of the queue: after a burst of a large customer has
// filled it, a small customer's request would be refused.
#[test]
fn burst_sheds_only_its_own_customer() {
    let mut harness = Harness::new(&[1], 10, MIN_HANG_TIMEOUT);
    for i in 0..11 {
        harness.submit(submission(&format!("large{i}"), 2));
    }
    harness.verdicts();
    let small = Submission {
        customer: "small".to_owned(),
        ..submission("small", 2)
    };
    harness.submit(small);
    assert_eq!(
        harness.refusals(),
        refused("large10", ErrorKind::Overloaded)
    );
}

// Guards against sharing by request count: each short request of one customer would wait for a
// request of another that is a hundred times as long. Counted in tokens, all the short ones pass
// after one long request.
#[test]
fn customers_share_by_tokens() {
    let mut harness = harness(&[1]);
    for i in 0..5 {
        let customer = "large".to_owned();
        harness.submit(Submission {
            customer,
            ..submission_with_long_prompt(&format!("survey{i}"), 2)
        });
    }
    for i in 0..20 {
        harness.submit(submission(&format!("ping{i}"), 2));
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

// Guards against bulk that holds every slot when an urgent request arrives. Engines don't preempt,
// so some slots are reserved.
#[test]
fn slots_are_reserved_for_urgent_work() {
    let mut harness = harness(&[8, 8]);
    for i in 0..40 {
        harness.submit(submission(&format!("bulk{i}"), 3));
    }
    assert_eq!(harness.grants().len(), 14);
    harness.submit(submission("urgent", 0));
    assert_eq!(harness.grants().len(), 1);
}

// Guards against short requests that wait for seconds although slots are free, because every target
// prefills a long prompt. Prefill can't be interrupted, so some targets take no long prompts.
#[test]
fn targets_are_kept_free_of_long_prompts() {
    let mut harness = harness(&[8, 8, 8, 8]);
    for i in 0..8 {
        harness.submit(submission_with_long_prompt(&format!("survey{i}"), 3));
    }
    let mut busy: Vec<String> = harness
        .grants()
        .into_iter()
        .map(|(_, target)| target)
        .collect();
    busy.sort();
    assert_eq!(busy, ["t0", "t1", "t2"]);
    harness.submit(submission("ping", 1));
    assert_eq!(harness.grants(), granted("ping", "t3"));
}

// Guards against prefill for a request whose deadline became unmeetable while it was queued: it is
// refused at its turn.
#[test]
fn deadline_is_checked_again_at_the_grant() {
    let mut harness = harness(&[1]);
    harness.submit(submission("runs", 0));
    harness.submit(with_deadline(4, submission_with_long_prompt("late", 0)));
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.refusals(), []);
    harness.end("runs", "t0");
    assert_eq!(
        harness.refusals(),
        refused("late", ErrorKind::DeadlineUnmeetable)
    );
}

// Guards against short requests queued behind a long prefill while another engine is free. The
// dispatcher's own grants count at once, not only when the engine reports them.
#[test]
fn own_grants_count_before_the_target_reports_them() {
    let mut harness = harness(&[8, 8]);
    let prompt_tokens = 7000;
    harness.submit(Submission {
        prompt_tokens,
        ..submission("survey", 0)
    });
    assert_eq!(harness.grants(), granted("survey", "t0"));
    for request in ["a", "b", "c"] {
        harness.submit(submission(request, 0));
        assert_eq!(harness.grants(), granted(request, "t1"));
    }
}

// Guards against a rule with no waiting time that refuses everything, even while targets are idle.
// Requests that can be dispatched at once are granted.
#[test]
fn zero_wait_allows_immediate_dispatch() {
    let mut harness = harness(&[1]);
    let wait_at_most = Some(Duration::ZERO);
    let submission_with_zero_wait = |request: &str| Submission {
        wait_at_most,
        ..submission(request, 0)
    };
    harness.submit(submission_with_zero_wait("goes"));
    assert_eq!(harness.grants(), granted("goes", "t0"));
    harness.submit(submission_with_zero_wait("late"));
    harness.advance(Duration::from_millis(100));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("late", kind));
}

// Guards against prefill for an answer that can't be in time: the deadline is shorter than the
// prefill or than the work ahead. Work of lower tiers doesn't count, since the request goes first.
#[test]
fn unmeetable_deadline_is_refused_on_arrival() {
    let mut harness = harness(&[1]);
    let limit = submission_with_limit("counts", RATE_LIMIT).limit;
    harness.submit(with_deadline(
        1,
        Submission {
            limit,
            ..submission_with_long_prompt("survey", 3)
        },
    ));
    assert_eq!(
        harness.refusals(),
        refused("survey", ErrorKind::DeadlineUnmeetable)
    );
    harness.submit(submission_with_limit("counts", RATE_LIMIT));
    assert_eq!(
        harness.grants(),
        granted("counts", "t0"),
        "the refused request did not count"
    );
    harness.end("counts", "t0");
    harness.submit(submission("runs", 0));
    harness.verdicts();
    for i in 0..25 {
        harness.submit(submission_with_long_prompt(&format!("survey{i}"), 3));
    }
    harness.submit(with_deadline(20, submission("lowest", 3)));
    harness.submit(with_deadline(5, submission("higher", 2)));
    let refusals = harness.refusals();
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(refusals, [("lowest".to_owned(), kind)]);
    harness.advance(Duration::from_secs(6));
    assert_eq!(
        harness.refusals(),
        refused("higher", kind),
        "its deadline has passed"
    );
}

/// Checks which of three submissions under a limit are refused, one for each customer in the list.
macro_rules! limit {
    ($name:ident, $limit:expr, $customers:expr, $refused:expr) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[8]);
            for (i, customer) in $customers.into_iter().enumerate() {
                let customer = str::to_owned(customer);
                harness.submit(Submission {
                    customer,
                    ..submission_with_limit(&format!("r{i}"), $limit)
                });
            }
            let refusals = harness.refusals().into_iter();
            let requests: Vec<String> = refusals.map(|(request, _)| request).collect();
            let expected: [&str; _] = $refused;
            assert_eq!(requests, expected);
        }
    };
}

/// Limit of one concurrent request for each customer.
const CUSTOMER_CONCURRENCY_LIMIT: Limit = Limit {
    per_customer: true,
    ..CONCURRENCY_LIMIT
};
/// Limit of one request a second over all customers.
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

// Guards against a concurrency limit that is never released and then refuses every request. It is
// released whatever the outcome.
#[test]
fn limit_is_released_on_every_outcome() {
    let mut harness = harness(&[1]);
    for i in 0..3 {
        let request = format!("r{i}");
        harness.submit(submission_with_limit(&request, CONCURRENCY_LIMIT));
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

// Guards against callers that retry long before or after their turn. At a drain rate of 1000 tokens
// a second, a caller behind 10 000 tokens should retry after 10 s, or up to twice that.
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

// Guards against refused callers that all retry at once and are refused again. Their `Retry-After`
// is spread over the time that the pool needs.
#[test]
fn retry_after_is_spread_out() {
    let mut harness = Harness::new(&[1], 1, MIN_HANG_TIMEOUT);
    for i in 0..101 {
        harness.submit(submission(&format!("r{i}"), 3));
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
        delays[98] < MIN_HANG_TIMEOUT,
        "one short submission is ahead: {delays:?}"
    );
}
