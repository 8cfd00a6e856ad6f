//! Stamps, queries, the ring buffer and merging of timelines.

use std::time::Duration;

use lilaccrank::paused_clock::PausedClock;
use lilaccrank::timeline::{self, Event, EventKind, Query, Stamp, Subject, Timeline};
use quickcheck::TestResult;

fn new_timeline(vm: &str, limit: usize) -> (PausedClock, Timeline<PausedClock>) {
    let clock = PausedClock::new();
    let line = Timeline::new(clock.clone(), vm.to_owned(), limit);
    (clock, line)
}

fn request_subject(request: &str) -> Subject {
    Subject {
        request: Some(request.to_owned()),
        ..Subject::default()
    }
}

#[test]
fn effect_follows_its_cause_over_a_lagging_clock() {
    // Daemon b's wall clock is ten minutes behind a's. a dispatches a request and b ends it.
    // Ordered by wall time alone, the end would come before the dispatch.
    let (clock, a) = new_timeline("a", 10);
    clock.advance(Duration::from_secs(600));
    let (_, b) = new_timeline("b", 10);
    let sent = a.record(EventKind::Dispatched, request_subject("r"));
    b.observe(&sent);
    b.record(EventKind::Ended, request_subject("r"));
    let all = Query::default();
    let merged = timeline::merge([b.query(&all), a.query(&all)]);
    let kinds: Vec<EventKind> = merged.into_iter().map(|event| event.kind).collect();
    assert_eq!(kinds, [EventKind::Dispatched, EventKind::Ended]);
}

#[test]
fn ring_keeps_the_newest_and_counts_the_rest() {
    let (clock, line) = new_timeline("a", 2);
    for request in ["1", "2", "3"] {
        clock.advance(Duration::from_millis(10));
        line.record(EventKind::Asked, request_subject(request));
    }
    let kept = line.query(&Query::default());
    let requests: Vec<_> = kept
        .into_iter()
        .map(|event| event.subject.request)
        .collect();
    assert_eq!(requests, [Some("2".to_owned()), Some("3".to_owned())]);
    assert_eq!(line.dropped(), 1);
}

/// A query over events at 10, 20 and 30 ms about requests 1, 2 and 3.
macro_rules! query {
    ($name:ident, $query:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let (clock, line) = new_timeline("a", 10);
            for request in ["1", "2", "3"] {
                clock.advance(Duration::from_millis(10));
                line.record(EventKind::Asked, request_subject(request));
            }
            let query: Query = serde_json::from_str($query).unwrap();
            let found = line.query(&query);
            let times: Vec<u64> = found.iter().map(|event| event.stamp.wall_ms).collect();
            assert_eq!(times, $expected);
        }
    };
}

query!(without_conditions, "{}", [10, 20, 30]);
query!(by_request, r#"{"request": "2"}"#, [20]);
query!(by_target, r#"{"target": "t"}"#, [0_u64; 0]);
query!(by_time, r#"{"from_ms": 10, "until_ms": 30}"#, [10, 20]);

#[test]
fn events_read_back_from_json() {
    let (_, line) = new_timeline("a", 10);
    line.record(EventKind::TakenOver, request_subject("r"));
    let events = line.query(&Query::default());
    let json = serde_json::to_string(&events).unwrap();
    assert!(json.contains(r#""kind":"taken_over""#));
    assert_eq!(serde_json::from_str::<Vec<Event>>(&json).unwrap(), events);
}

quickcheck::quickcheck! {
    fn stamps_grow_whatever_is_observed(steps: Vec<(u64, Option<(u64, u32)>)>) -> TestResult {
        let mut stamp = Stamp::start("a".to_owned());
        for (wall_ms, remote) in steps {
            let before = stamp.clone();
            let Some((remote_ms, counter)) = remote else {
                stamp.tick(wall_ms);
                assert!(stamp > before);
                continue;
            };
            if remote_ms == u64::MAX || wall_ms == u64::MAX {
                return TestResult::discard();
            }
            let remote = Stamp { wall_ms: remote_ms, counter, vm: "b".to_owned() };
            stamp.observe(&remote, wall_ms);
            assert!(stamp > before);
            assert!((stamp.wall_ms, stamp.counter) > (remote.wall_ms, remote.counter));
        }
        TestResult::passed()
    }
}
