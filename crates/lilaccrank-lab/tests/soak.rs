//! Seeds of the soak: a short one, and each that ever broke a promise.

use lilaccrank_http::runtime;
use lilaccrank_lab::soak::{self, Args};

/// Plays a seed for some minutes.
macro_rules! seed {
    ($name:ident, $seed:literal, $minutes:literal) => {
        seed!($name, $seed, $minutes, restores: false);
    };
    ($name:ident, $seed:literal, $minutes:literal, restores: $restores:literal) => {
        #[test]
        fn $name() {
            let args = Args {
                minutes: $minutes,
                restores: $restores,
                seed: Some($seed),
                seeds: 1,
            };
            runtime::block_on(soak::run(args)).unwrap().unwrap();
        }
    };
}

seed!(a_short_soak, 7, 0.15);
seed!(restored_stores, 8, 0.4, restores: true);
// All connections to the store fell silent at once, and a configuration came into force 35 seconds
// later: both watchers waited for the end of their watch.
seed!(silent_watches, 137, 0.4);
// A daemon was asked to end twice, ended, and started anew; the soak took the new life for the old
// one that does not end.
seed!(asked_to_end_twice, 143, 0.4);
// Engines worked on for callers that had left with bytes of a next request behind the first.
seed!(callers_that_leave, 4400, 0.3);
