//! Cells: parts of a large fleet, each with its daemons and its share of the targets.
//!
//! Daemons that send to the same targets tell each other at once what they have there. Among all
//! daemons of a fleet these messages would grow with the square of their number, and choosing
//! among all targets with their number too. In cells both stay as they are in a small fleet,
//! however large it is.
//!
//! A cell takes its daemons and targets from all data centres that act as one, so that each cell
//! has a like share of the callers, and targets on each side of a cut. Every daemon that sees the
//! same members and targets divides them alike; where two differ for a moment, one of them has a
//! view that lacks some of the other's requests, as if a datagram had been lost.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::document::Target;
use crate::ids::VmId;
use crate::rendezvous;

/// Daemons of a cell at least; below twice as many a fleet is not divided. Some ten daemons on as
/// many targets tell each other some 300 datagrams a second each, at ten requests a second each.
const MIN_DAEMONS: usize = 8;
/// Targets of a cell at least: with fewer, one that fails or is slow is too large a part of what a
/// cell can do. A pool with fewer is divided less.
const MIN_TARGETS: usize = 6;
/// The duty to speak for a cell.
const REPRESENTATIVE_KEY: &str = "cell/speaker";
/// What daemons and targets are ordered by.
const HASH_KEY: &str = "cell";

/// Names a cell among those of its fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CellId {
    /// Number of cells.
    pub count: u16,
    /// Its place among them.
    pub index: u16,
}

/// The cell of one daemon among those of its fleet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Cell {
    /// Number of cells, a power of two: when it changes, two cells become one or one becomes two,
    /// and what is known of their targets stays of use.
    count: usize,
    index: usize,
    peers: IndexSet<VmId>,
}

impl Cell {
    /// The cell of `me`, which may be missing from `members`.
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

    /// Its name.
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

    /// The daemon that speaks for the cell of `me`.
    #[must_use]
    pub fn representative<'a>(&'a self, me: &'a VmId) -> &'a VmId {
        let members = self.peers.iter().chain([me]);
        rendezvous::owner(REPRESENTATIVE_KEY, members).unwrap_or(me)
    }

    /// The other daemons of the cell.
    #[must_use]
    pub fn peers(&self) -> &IndexSet<VmId> {
        &self.peers
    }

    /// The cells that send to the same part of a pool with so many targets, itself included.
    #[must_use]
    pub fn cells_sharing_targets(&self, targets: usize) -> Vec<CellId> {
        let partitions = self.partitions(targets);
        let own = self.partition(self.index, partitions);
        let indexes =
            (0..self.count.max(1)).filter(|index| self.partition(*index, partitions) == own);
        indexes.map(|index| self.id_of(index)).collect()
    }

    /// Parts into which a pool with so many targets falls.
    fn partitions(&self, targets: usize) -> usize {
        max_partitions(targets, MIN_TARGETS).min(self.count)
    }

    /// Part of a pool that a cell has.
    fn partition(&self, index: usize, partitions: usize) -> usize {
        index * partitions / self.count.max(1)
    }

    /// Keeps the targets of the cell, of all targets of one pool.
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

/// Puts targets into an order of this daemon's own.
///
/// Of targets that are as good the first ones are taken. After a restart of all daemons none has heard
/// of another's requests yet, and all targets look idle to each: in one order for all they would send
/// their first thousand requests to the same few targets, which turn one in three away.
pub fn sort_by_daemon_hash(targets: &mut [Target], me: &VmId) {
    targets.sort_by_cached_key(|target| (rendezvous::weight(me, &target.id), target.id.clone()));
}

/// The highest power of two of parts that have `least` of `all` each.
fn max_partitions(all: usize, min_size: usize) -> usize {
    (all / min_size).checked_ilog2().map_or(1, |log| 1 << log)
}
