//! Two runs of one request, of which one delivers the answer.

use lilaccrankd::request::race::{Race, Side};

/// Guards against a part of an answer that both runs deliver.
#[test]
fn the_first_part_of_the_next_run_decides() {
    let race = Race::new(false);
    assert!(race.claim(Side::Current));
    assert_eq!(race.winner(), None);
    assert!(race.claim(Side::Next));
    assert!(!race.claim(Side::Current));
    assert!(race.claim(Side::Next));
    assert_eq!(race.winner(), Some(Side::Next));
}

/// Guards against a run that takes over although the answer goes on where it was.
#[test]
fn a_part_of_the_current_run_decides_if_it_may() {
    let race = Race::new(true);
    assert!(race.claim(Side::Current));
    assert!(!race.claim(Side::Next));
    assert_eq!(race.winner(), Some(Side::Current));
}
