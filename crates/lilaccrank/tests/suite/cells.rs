//! Tests of the division of fleets into cells and of its stability when daemons are removed.

use indexmap::IndexSet;
use lilaccrank::cells::{self, Cell};
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

/// Ids of the targets that a cell uses.
fn retained_ids(cell: &Cell, all: &[Target]) -> IndexSet<String> {
    let mut retained_ids = all.to_vec();
    cell.retain_targets(&mut retained_ids);
    retained_ids.into_iter().map(|target| target.id).collect()
}

fn cells(vms: &[String]) -> Vec<Cell> {
    vms.iter().map(|me| Cell::new(vms, me)).collect()
}

/// A number of daemons and targets, and the expected range of daemons and targets per cell.
macro_rules! cell_sizes {
    ($name:ident, $vms:literal on $targets:literal, $daemons:expr, $retained_ids:expr) => {
        #[test]
        fn $name() {
            let all = targets($targets);
            for cell in cells(&vms($vms)) {
                let daemons = cell.peers().len() + 1;
                assert!($daemons.contains(&daemons), "{daemons} daemons");
                let retained_ids = retained_ids(&cell, &all).len();
                assert!(
                    $retained_ids.contains(&retained_ids),
                    "{retained_ids} targets"
                );
            }
        }
    };
}

cell_sizes!(a_daemon_alone, 1 on 3, 1..=1, 3..=3);
cell_sizes!(a_small_fleet_is_not_divided, 15 on 40, 15..=15, 40..=40);
cell_sizes!(two_cells, 17 on 18, 8..=9, 9..=9);
cell_sizes!(cells_of_a_grown_fleet, 75 on 90, 9..=10, 11..=12);
cell_sizes!(cells_of_a_large_fleet, 700 on 6_700, 10..=11, 104..=105);
// A service with three instances serves the whole fleet; divided, most cells would have none.
cell_sizes!(few_targets_are_shared_by_all_cells, 75 on 3, 9..=10, 3..=3);
cell_sizes!(a_pool_is_divided_less, 75 on 13, 9..=10, 6..=7);
cell_sizes!(no_targets, 75 on 0, 9..=10, 0..=0);

quickcheck! {
    // A target that no cell uses would get no requests. Daemons of one cell that disagreed on its
    // targets would not exchange their load on them.
    fn every_target_is_in_one_cell(daemons: u8, count: u8) -> bool {
        let vms = vms(usize::from(daemons.max(1)));
        let all = targets(usize::from(count));
        let cells = cells(&vms);
        let retained: Vec<_> = cells.iter().map(|cell| retained_ids(cell, &all)).collect();
        let agree = |(at, cell): (usize, &Cell)| {
            vms.iter().enumerate().all(|(other, vm)| {
                !cell.peers().contains(vm)
                    || cells[other].peers().contains(&vms[at]) && retained[other] == retained[at]
            })
        };
        let served: IndexSet<_> = retained.iter().flatten().collect();
        cells.iter().enumerate().all(agree) && served.len() == all.len()
    }
}

// When a daemon dies, the others divide the fleet anew within seconds of each other. If most of
// them got other peers and targets, they would lose what they know about loads and speeds.
#[test]
fn removed_daemon_moves_few_assignments() {
    let all = targets(90);
    let before = vms(75);
    let mut stable_targets = 0;
    let mut stable_peers = 0;
    for gone in 0..10 {
        let mut after = before.clone();
        after.remove(gone);
        for me in &after {
            let (old, new) = (Cell::new(&before, me), Cell::new(&after, me));
            stable_targets += usize::from(retained_ids(&old, &all) == retained_ids(&new, &all));
            let missing = old.peers().difference(new.peers()).count();
            stable_peers += usize::from(missing <= 1);
        }
    }
    let comparisons = 10 * 74;
    assert!(
        stable_targets * 10 >= comparisons * 9,
        "{stable_targets} of {comparisons}"
    );
    assert!(
        stable_peers * 10 >= comparisons * 9,
        "{stable_peers} of {comparisons}"
    );
}

// When many daemons die, two cells are merged. The new cell of a daemon has either all targets of
// its old cell or none of them; otherwise half of the daemons in each cell would know nothing
// about some of its targets.
#[test]
fn cells_merge_whole() {
    let all = targets(90);
    let before = vms(64);
    let after = &before[..48];
    for me in after {
        let known = retained_ids(&Cell::new(&before, me), &all);
        let now = retained_ids(&Cell::new(after, me), &all);
        let lost = known.difference(&now).count();
        assert!(
            lost == 0 || lost == known.len(),
            "{lost} of {}",
            known.len()
        );
    }
}

/// Guards against a stream that is lost because its caller takes it up at a daemon of a cell without
/// targets of its software version.
#[test]
fn a_rare_version_is_reached_from_all_cells() {
    let mut all = targets(90);
    for (number, target) in all.iter_mut().enumerate() {
        let version = if number < 2 { "rare" } else { "common" };
        target.version = Some(version.to_owned());
    }
    let vms = vms(75);
    for (cell, me) in cells(&vms).iter().zip(&vms) {
        let mut own = all.clone();
        cell.retain_targets(&mut own);
        let spare = cells::spare_targets(&all, &own, me);
        let is_rare = |target: &&Target| target.version.as_deref() == Some("rare");
        assert_eq!(own.iter().chain(&spare).filter(is_rare).count(), 2);
        assert!(spare.iter().all(|target| is_rare(&target)));
    }
}

// Guards against a daemon that counts targets of its own cell twice, and against a list that grows with the
// fleet.
#[test]
fn overflow_targets_are_a_bounded_part_of_those_of_other_cells() {
    let all = targets(200);
    let own = &all[..20];
    let overflow = cells::overflow_targets(&all, own, &"vm1".to_owned());
    assert_eq!(overflow.len(), 64);
    assert!(overflow.iter().all(|target| !own.contains(target)));
    let few = cells::overflow_targets(&all[..30], own, &"vm1".to_owned());
    assert_eq!(few.len(), 10);
}
