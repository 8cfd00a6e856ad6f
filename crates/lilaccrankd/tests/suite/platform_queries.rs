//! How often daemons query the platform.

use std::time::Duration;

use lilaccrankd::configuration;

/// Takes the number of members and the upper bound of their jitter in milliseconds.
macro_rules! jitter {
    ($name:ident, $members:literal, $most_ms:literal) => {
        #[test]
        fn $name() {
            let jitter = configuration::stale_jitter($members);
            assert!(jitter <= Duration::from_millis($most_ms), "{jitter:?}");
        }
    };
}

// The platform rejects both watchers and a third of a large fleet while a target leaves. The other
// daemons query the platform 1.4 s after their last contact, plus jitter. When the jitter grew
// with the fleet without a bound, some still sent requests to the target after three seconds.
jitter!(jitter_grows_with_a_small_fleet, 7, 140);
jitter!(jitter_is_bounded_in_a_large_fleet, 71, 400);
jitter!(jitter_is_bounded_in_a_very_large_fleet, 700, 400);

/// Time between two registrations of targets.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(14);

/// Calls of a daemon that has watched for `since` while targets register, and the longest time until it
/// knows of one.
fn watch(registrations: u32, is_watcher: bool, since: Duration) -> (usize, Duration) {
    let registered: Vec<_> = (1..=registrations)
        .map(|n| REGISTRATION_INTERVAL * n)
        .collect();
    let (mut calls, mut known, mut now, mut longest) = (0, 0, Duration::ZERO, Duration::ZERO);
    let mut changed_at: Option<Duration> = None;
    while known < registered.len() {
        calls += 1;
        // The platform answers a call once there is a change that the daemon doesn't know.
        now = now.max(registered[known]);
        let changes = registered[known..].iter().filter(|at| **at <= now).count();
        longest = longest.max(now - registered[known]);
        known += changes;
        let quiet = changed_at.replace(now).map(|at| now - at);
        now += configuration::watch_pause(quiet, is_watcher, since);
    }
    (calls, longest)
}

/// Names a daemon that watches while 140 targets register within two seconds: whether it is a watcher, for
/// how long it has watched, its most calls, and the longest time until it knows of a target.
macro_rules! registrations {
    ($($(#[$doc:meta])* $name:ident: $is_watcher:literal, $since_ms:literal, $calls:literal, $late_ms:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (calls, late) = watch(140, $is_watcher, Duration::from_millis($since_ms));
            assert!(calls <= $calls && late <= Duration::from_millis($late_ms), "{calls}, {late:?}");
        }
    )*};
}

registrations! {
    /// Guards against a call for each target when all of them register anew after an outage.
    registrations_after_an_outage_at_a_watcher: true, 60_000, 25, 100;
    /// Guards against the same at each daemon that follows the platform as well.
    registrations_after_an_outage_at_another_daemon: false, 60_000, 7, 400;
    /// Guards against the same at each daemon of a fleet that starts, while each takes itself for a watcher.
    registrations_while_the_fleet_starts: true, 0, 7, 400;
}

/// Guards against a change that is known late though few others have come.
#[test]
fn two_changes_are_known_at_once() {
    assert_eq!(watch(1, false, Duration::ZERO), (1, Duration::ZERO));
    assert_eq!(watch(2, false, Duration::ZERO), (2, Duration::ZERO));
    assert_eq!(
        configuration::watch_pause(None, false, Duration::ZERO),
        Duration::ZERO
    );
}
