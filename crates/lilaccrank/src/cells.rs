//! Partitions a large fleet into cells, each with its own daemons and targets.
//!
//! Daemons that send to the same targets exchange their outstanding load. Without cells the
//! number of these messages grows quadratically with the number of daemons, and the cost of
//! choosing a target grows with the number of targets. Cells keep both constant.
//!
//! A cell takes its daemons and targets from all data centres that are scheduled as one, so that
//! the cells get similar shares of the callers and each has targets on both sides of a network
//! partition. Daemons that see the same members and targets compute the same cells. While the
//! views of two daemons differ, one may miss some of the other's requests, as if a datagram had
//! been lost.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::document::{Target, TargetState};
use crate::ids::VmId;
use crate::rendezvous;
use crate::target_instance::{InstanceDigest, TargetInstance};

/// Minimum number of daemons in a cell; a smaller fleet than twice this is not divided. About
/// ten daemons on as many targets exchange about 300 datagrams a second each at ten requests a
/// second each.
const MIN_DAEMONS: usize = 8;
/// Minimum number of targets in a partition of a pool. With fewer, one failed or slow target
/// would be too large a part of the capacity of a cell. A small pool has fewer partitions than
/// there are cells.
const MIN_TARGETS: usize = 6;
/// Number of live targets of one software version with which a cell needs no others to resume streams
/// of that version.
const MIN_OWN_OF_VERSION: usize = 2;
/// Number of targets of other cells that a daemon uses to resume streams of one version.
const SPARE_TARGETS: usize = 3;
/// Number of targets of other cells that a daemon uses when those of its cell don't suffice.
const OVERFLOW_TARGETS: usize = 64;
/// Rendezvous key that elects the representative of a cell.
const REPRESENTATIVE_KEY: &str = "cell/speaker";
/// Rendezvous key by which daemons and targets are ordered before they are partitioned.
const HASH_KEY: &str = "cell";

/// Identifies a cell within its fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CellId {
    /// Number of cells in the fleet.
    pub count: u16,
    /// Index of this cell, from 0.
    pub index: u16,
}

/// The cell that one daemon belongs to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Cell {
    /// Number of cells, a power of two: when it changes, cells are merged or split in pairs, so
    /// that what is known of their targets stays usable.
    count: usize,
    index: usize,
    peers: IndexSet<VmId>,
}

impl Cell {
    /// Returns the cell of `me`. `members` need not contain `me`.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = &'a VmId>, me: &VmId) -> Self {
        let mut ordered: IndexSet<&VmId> = members.into_iter().collect();
        ordered.insert(me);
        ordered.sort_by_cached_key(|vm| (rendezvous::weight(HASH_KEY, vm), (*vm).clone()));
        let count = max_partitions(ordered.len(), MIN_DAEMONS);
        let cell_of = |at: usize| at * count / ordered.len();
        let index = ordered.get_index_of(me).map_or(0, cell_of);
        let in_cell = ordered.iter().enumerate();
        let in_cell = in_cell.filter(|(at, vm)| cell_of(*at) == index && **vm != me);
        Self {
            count,
            index,
            peers: in_cell.map(|(_, vm)| (*vm).clone()).collect(),
        }
    }

    /// Returns the identifier of the cell.
    #[must_use]
    pub fn id(&self) -> CellId {
        self.id_of(self.index)
    }

    fn id_of(&self, index: usize) -> CellId {
        CellId {
            count: u16::try_from(self.count).unwrap_or(u16::MAX),
            index: u16::try_from(index).unwrap_or(u16::MAX),
        }
    }

    /// Returns the daemon that reports to other cells on behalf of the cell of `me`.
    #[must_use]
    pub fn representative<'a>(&'a self, me: &'a VmId) -> &'a VmId {
        let members = self.peers.iter().chain([me]);
        rendezvous::owner(REPRESENTATIVE_KEY, members).unwrap_or(me)
    }

    /// Returns the other daemons of the cell.
    #[must_use]
    pub fn peers(&self) -> &IndexSet<VmId> {
        &self.peers
    }

    /// Returns the cells that share this cell's partition of a pool with `targets` targets, this
    /// cell included.
    #[must_use]
    pub fn cells_sharing_targets(&self, targets: usize) -> Vec<CellId> {
        let partitions = self.partitions(targets);
        let own = self.partition(self.index, partitions);
        let indexes =
            (0..self.count.max(1)).filter(|index| self.partition(*index, partitions) == own);
        indexes.map(|index| self.id_of(index)).collect()
    }

    /// Returns the slots of a target that `me` owns, as a bit set: each slot has one owner among the
    /// daemons of the `sharing` cells, and all of them own about as many.
    #[must_use]
    pub fn owned_slots(&self, target: InstanceDigest, sharing: &[CellId], me: &VmId) -> u64 {
        let key = format!("slots/{target}");
        let members = self.peers.iter().chain([me]);
        let ranked = rendezvous::top(&key, members, self.peers.len() + 1);
        let rank = ranked.iter().position(|vm| *vm == me).unwrap_or(0);
        let cells = sharing.len().max(1);
        let cell = sharing.iter().position(|cell| *cell == self.id());
        let is_own =
            |slot: &usize| Some(slot % cells) == cell && slot / cells % ranked.len() == rank;
        let slots = (0..u64::BITS as usize).filter(is_own);
        slots.fold(0, |owned, slot| owned | 1 << slot)
    }

    /// Number of partitions of a pool with `targets` targets.
    fn partitions(&self, targets: usize) -> usize {
        max_partitions(targets, MIN_TARGETS).min(self.count)
    }

    /// Partition of a pool that a cell uses.
    fn partition(&self, index: usize, partitions: usize) -> usize {
        index * partitions / self.count.max(1)
    }

    /// Retains the targets that this cell uses; `targets` holds all targets of one pool.
    pub fn retain_targets(&self, targets: &mut Vec<Target>) {
        let partitions = self.partitions(targets.len());
        if partitions < 2 {
            return;
        }
        let own = self.partition(self.index, partitions);
        let all = targets.len();
        targets.sort_by_cached_key(|t| (rendezvous::weight(HASH_KEY, &t.id), t.id.clone()));
        let mut at = 0;
        targets.retain(|_| {
            let partition = at * partitions / all;
            at += 1;
            partition == own
        });
    }
}

/// Sorts targets into an order that differs from daemon to daemon.
///
/// The scheduler takes the first of several equally good targets. After all daemons restarted,
/// none knows of another's requests and all targets look idle. With the same order everywhere,
/// the daemons would send their first thousand requests to the same few targets, which would
/// refuse one in three.
pub fn sort_by_daemon_hash(targets: &mut [Target], me: &VmId) {
    targets.sort_by_cached_key(|target| (rendezvous::weight(me, &target.id), target.id.clone()));
}

/// Returns targets of other cells that may resume streams here: for each software version that fewer
/// than `MIN_OWN_OF_VERSION` live targets of the `own` cell have, up to `SPARE_TARGETS` others,
/// which differ from daemon to daemon. A caller may take its stream up at a daemon of any cell.
#[must_use]
pub fn spare_targets(all: &[Target], own: &[Target], me: &VmId) -> Vec<Target> {
    if own.len() == all.len() {
        return Vec::new();
    }
    let live = |target: &&Target| target.state == TargetState::Live && target.version.is_some();
    let own: IndexSet<TargetInstance> = own.iter().map(TargetInstance::of).collect();
    let mut versions: IndexMap<_, (usize, Vec<&Target>)> = IndexMap::new();
    for target in all.iter().filter(live) {
        let (owned, others) = versions.entry(&target.version).or_default();
        match own.contains(&TargetInstance::of(target)) {
            true => *owned += 1,
            false => others.push(target),
        }
    }
    let rare = versions.into_values();
    let rare = rare.filter(|(owned, _)| *owned < MIN_OWN_OF_VERSION);
    let spare = rare.flat_map(|(_, mut others)| {
        others.sort_by_cached_key(|target| (rendezvous::weight(me, &target.id), &target.id));
        others.truncate(SPARE_TARGETS);
        others
    });
    spare.cloned().collect()
}

/// Returns targets of other cells than the `own` one, for a daemon that takes so many requests that its
/// cell's targets don't suffice. Daemons get different ones.
#[must_use]
pub fn overflow_targets(all: &[Target], own: &[Target], me: &VmId) -> Vec<Target> {
    let own: IndexSet<TargetInstance> = own.iter().map(TargetInstance::of).collect();
    let others = all.iter().filter(|target| {
        target.state == TargetState::Live && !own.contains(&TargetInstance::of(target))
    });
    let mut others: Vec<Target> = others.cloned().collect();
    sort_by_daemon_hash(&mut others, me);
    others.truncate(OVERFLOW_TARGETS);
    others
}

/// Returns the largest power of two by which `all` can be divided into parts of at least
/// `min_size`, or 1 if `all` is too small.
fn max_partitions(all: usize, min_size: usize) -> usize {
    (all / min_size).checked_ilog2().map_or(1, |log| 1 << log)
}
