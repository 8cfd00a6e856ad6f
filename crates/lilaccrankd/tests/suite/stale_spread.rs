//! How long daemons that hear nothing wait for each other before they ask the platform.

use std::time::Duration;

use lilaccrankd::configuration;

/// Time over which so many members spread their questions, in milliseconds at most.
macro_rules! spread {
    ($name:ident, $members:literal, $most_ms:literal) => {
        #[test]
        fn $name() {
            let spread = configuration::stale_spread($members);
            assert!(spread <= Duration::from_millis($most_ms), "{spread:?}");
        }
    };
}

// The platform turns both watchers and a third of a large fleet away, and a target says that it
// leaves. The others ask by themselves once they have heard nothing for 1.75 seconds, spread over a
// time that grew with the fleet; some had not heard of it after three seconds, and sent it requests.
spread!(a_small_fleet_spreads_by_number, 7, 140);
spread!(a_large_fleet_asks_in_time, 71, 400);
spread!(the_fleet_to_come_asks_in_time, 700, 400);
