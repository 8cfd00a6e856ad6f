//! Jitter before daemons without a recent contact query the platform.

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
