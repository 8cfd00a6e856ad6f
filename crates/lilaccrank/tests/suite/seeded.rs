//! Properties over generated cases that are the same in every run.

use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 3;
const SIZE: usize = 100;

/// Checks `property` on this many cases.
pub fn check<T: Testable>(cases: u64, property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(cases)
        .quickcheck(property);
}
