//! How fleets of different sizes are divided, and how little moves when a daemon goes.

use indexmap::IndexSet;
use lilaccrank::cells::Cell;
use lilaccrank::document::Target;
use quickcheck::quickcheck;

fn vms(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("vm{i}")).collect()
}

fn targets(count: usize) -> Vec<Target> {
    let target = |i| Target {
        id: format!("t{i}"),
        ..Target::default()
    };
    (0..count).map(target).collect()
}

/// Names of the targets that a cell keeps.
fn kept(cell: &Cell, all: &[Target]) -> IndexSet<String> {
    let mut kept = all.to_vec();
    cell.keep_targets(&mut kept);
    kept.into_iter().map(|target| target.id).collect()
}

fn cells(vms: &[String]) -> Vec<Cell> {
    vms.iter().map(|me| Cell::new(vms, me)).collect()
}

/// A fleet of daemons on targets: fewest and most daemons in a cell, fewest and most targets.
macro_rules! sizes {
    ($name:ident, $vms:literal on $targets:literal, $daemons:expr, $kept:expr) => {
        #[test]
        fn $name() {
            let all = targets($targets);
            for cell in cells(&vms($vms)) {
                let daemons = cell.mates().len() + 1;
                assert!($daemons.contains(&daemons), "{daemons} daemons");
                let kept = kept(&cell, &all).len();
                assert!($kept.contains(&kept), "{kept} targets");
            }
        }
    };
}

sizes!(a_daemon_alone, 1 on 3, 1..=1, 3..=3);
sizes!(a_small_fleet_is_not_divided, 15 on 40, 15..=15, 40..=40);
sizes!(two_cells, 17 on 18, 8..=9, 9..=9);
sizes!(cells_of_a_grown_fleet, 75 on 90, 9..=10, 11..=12);
sizes!(cells_of_the_size_to_come, 700 on 6_700, 10..=11, 104..=105);
// Three instances of a plain service serve a whole fleet: divided, each cell would have none.
sizes!(few_targets_are_for_all, 75 on 3, 9..=10, 3..=3);
sizes!(a_pool_is_divided_less, 75 on 13, 9..=10, 6..=7);
sizes!(no_targets, 75 on 0, 9..=10, 0..=0);

quickcheck! {
    // A target that is in nobody's cell gets no work; daemons of a cell that saw other targets
    // than their mates would not tell each other of what they have there.
    fn every_target_is_in_one_cell(daemons: u8, count: u8) -> bool {
        let vms = vms(usize::from(daemons.max(1)));
        let all = targets(usize::from(count));
        let cells = cells(&vms);
        let shares: Vec<_> = cells.iter().map(|cell| kept(cell, &all)).collect();
        let agree = |(at, cell): (usize, &Cell)| {
            vms.iter().enumerate().all(|(other, vm)| {
                !cell.mates().contains(vm)
                    || cells[other].mates().contains(&vms[at]) && shares[other] == shares[at]
            })
        };
        let served: IndexSet<_> = shares.iter().flatten().collect();
        cells.iter().enumerate().all(agree) && served.len() == all.len()
    }
}

// A daemon dies. All others learn it within seconds of each other and divide the fleet anew: if
// most of them got other mates and targets, what they knew of loads and speeds would be lost.
#[test]
fn a_death_moves_few() {
    let all = targets(90);
    let before = vms(75);
    let mut kept_targets = 0;
    let mut kept_mates = 0;
    for gone in 0..10 {
        let mut after = before.clone();
        after.remove(gone);
        for me in &after {
            let (old, new) = (Cell::new(&before, me), Cell::new(&after, me));
            kept_targets += usize::from(kept(&old, &all) == kept(&new, &all));
            let missing = old.mates().difference(new.mates()).count();
            kept_mates += usize::from(missing <= 1);
        }
    }
    let looked = 10 * 74;
    assert!(
        kept_targets * 10 >= looked * 9,
        "{kept_targets} of {looked}"
    );
    assert!(kept_mates * 10 >= looked * 9, "{kept_mates} of {looked}");
}

// Many daemons are killed at once, and two cells become one. Whatever cell a daemon is in then, it
// holds all targets of the one that it had, or it is another one altogether; a third way would
// leave all daemons with targets that half of their mates know nothing of.
#[test]
fn cells_join_whole() {
    let all = targets(90);
    let before = vms(64);
    let after = &before[..48];
    for me in after {
        let known = kept(&Cell::new(&before, me), &all);
        let now = kept(&Cell::new(after, me), &all);
        let lost = known.difference(&now).count();
        assert!(
            lost == 0 || lost == known.len(),
            "{lost} of {}",
            known.len()
        );
    }
}
