//! Slots that a request leaves free for the tiers before its own.

use std::time::Duration;

use lilaccrank::dispatch::reservation::Reservation;

/// Checks how many of a target's slots a request leaves free, if it holds one for so many milliseconds
/// and the tiers before its own have these first-token objectives.
macro_rules! reserved {
    ($name:ident, $objectives_ms:expr, by_hold: $by_hold:literal, $hold_ms:literal of $slots:literal, $reserved:literal) => {
        #[test]
        fn $name() {
            let objectives: &[u64] = &$objectives_ms;
            let objectives = objectives.iter().copied().map(Duration::from_millis);
            let reservation = Reservation::new(objectives, $by_hold);
            let hold = f64::from($hold_ms) / 1_000.0;
            assert_eq!(reservation.slots($slots, hold), $reserved);
        }
    };
}

reserved!(first_tier_reserves_nothing, [], by_hold: true, 100 of 12, 0);
reserved!(long_hold, [800, 400], by_hold: true, 3_000 of 12, 3);
reserved!(short_hold, [800, 400], by_hold: true, 150 of 12, 1);
reserved!(short_hold_without_discount, [800, 400], by_hold: false, 150 of 12, 3);
reserved!(shortest_hold_reserves_one_slot, [800, 400], by_hold: true, 1 of 12, 1);
reserved!(tier_without_objective, [0], by_hold: true, 1 of 14, 2);
reserved!(reserved_tiers_are_capped, [800, 800, 800, 800], by_hold: false, 9_000 of 7, 2);
reserved!(one_slot, [800, 400], by_hold: true, 9_000 of 1, 0);
