//! Pauses that targets ask for: how they are read, and how long they bind.

use std::time::{Duration, Instant};

use hyper::HeaderMap;
use hyper::header::{HeaderValue, RETRY_AFTER};
use lilaccrank::target_instance::TargetInstance;
use lilaccrankd::targets::pauses::{self, MAX_PAUSE, Pauses};

/// Takes the bytes of a `Retry-After` and the pause that they ask for, in milliseconds.
macro_rules! requested {
    ($name:ident, $value:literal, $pause_ms:expr) => {
        #[test]
        fn $name() {
            let mut headers = HeaderMap::new();
            let value = HeaderValue::from_bytes($value).unwrap();
            headers.insert(RETRY_AFTER, value);
            let pause: Option<u64> = $pause_ms;
            assert_eq!(
                pauses::requested(&headers),
                pause.map(Duration::from_millis)
            );
        }
    };
}

requested!(whole_seconds, b"3", Some(3_000));
requested!(a_fraction, b"0.25", Some(250));
requested!(spaces_around, b" 2 ", Some(2_000));
requested!(no_time, b"0", None);
requested!(a_negative_time, b"-3", None);
requested!(a_date, b"Wed, 21 Oct 2026 07:28:00 GMT", None);
requested!(no_number, b"soon", None);
requested!(not_a_number, b"NaN", None);
requested!(without_end, b"inf", None);
requested!(nothing, b"", None);
requested!(no_text, b"\xff\xfe", None);
// Guards against a target that is out for days because of one wrong answer.
requested!(a_huge_time, b"1e300", Some(300_000));

#[test]
fn without_the_header_there_is_no_pause() {
    assert_eq!(pauses::requested(&HeaderMap::new()), None);
    assert_eq!(MAX_PAUSE, Duration::from_secs(300));
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_pause_binds_until_its_end() {
    let (pauses, now) = (Pauses::default(), Instant::now());
    let target = TargetInstance::from("a");
    pauses.record(&target, seconds(3), now);
    assert!(pauses.contains(&target, now + seconds(2)));
    assert!(!pauses.contains(&target, now + seconds(3)));
    assert!(!pauses.contains(&TargetInstance::from("b"), now));
}

// Guards against an answer that arrives late and shortens what a later one asked for.
#[test]
fn the_later_end_counts() {
    let (pauses, now) = (Pauses::default(), Instant::now());
    let target = TargetInstance::from("a");
    pauses.record(&target, seconds(3), now);
    pauses.record(&target, seconds(1), now + seconds(1));
    assert!(pauses.contains(&target, now + Duration::from_millis(2_900)));
    pauses.record(&target, seconds(3), now + seconds(1));
    assert!(pauses.contains(&target, now + Duration::from_millis(3_900)));
}

#[test]
fn the_shortest_pause_is_first() {
    let (pauses, now) = (Pauses::default(), Instant::now());
    for (id, pause) in [("a", 3), ("b", 1), ("c", 2)] {
        pauses.record(&TargetInstance::from(id), seconds(pause), now);
    }
    let in_force = pauses.in_force(now + Duration::from_millis(1_500));
    let ids: Vec<_> = in_force.iter().map(|(target, _)| &*target.id).collect();
    assert_eq!(ids, ["c", "a"]);
    assert_eq!(in_force[0].1, Duration::from_millis(500));
}

// Guards against memory that grows with the targets that ever asked for a pause.
#[test]
fn the_number_of_pauses_is_bounded() {
    let (pauses, now) = (Pauses::default(), Instant::now());
    for number in 0..10_000 {
        let target = TargetInstance::from(&*number.to_string());
        pauses.record(&target, seconds(1 + number), now);
    }
    let in_force = pauses.in_force(now);
    assert_eq!(in_force.len(), 8_192);
    assert!(pauses.contains(&TargetInstance::from("9999"), now));
    pauses.record(
        &TargetInstance::from("a"),
        seconds(1),
        now + seconds(20_000),
    );
    assert_eq!(pauses.in_force(now).len(), 1);
}
