//! Property tests with a fixed seed, so that every run generates the same cases.

use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 3;
const SIZE: usize = 100;

/// Checks `property` on `cases` generated cases.
pub fn check<T: Testable>(cases: u64, property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(cases)
        .quickcheck(property);
}
