//! How long daemons that hear nothing wait for each other before they ask the platform.

use std::time::Duration;

use lilaccrankd::configuration;

/// Time over which so many members spread their questions, in milliseconds at most.
macro_rules! jitter {
    ($name:ident, $members:literal, $most_ms:literal) => {
        #[test]
        fn $name() {
            let jitter = configuration::stale_jitter($members);
            assert!(jitter <= Duration::from_millis($most_ms), "{jitter:?}");
        }
    };
}

// The platform turns both watchers and a third of a large fleet away, and a target says that it
// leaves. The others ask by themselves once they have heard nothing for 1.75 seconds, spread over a
// time that grew with the fleet; some had not heard of it after three seconds, and sent it requests.
jitter!(jitter_grows_with_a_small_fleet, 7, 140);
jitter!(jitter_is_bounded_in_a_large_fleet, 71, 400);
jitter!(jitter_is_bounded_in_a_very_large_fleet, 700, 400);
