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
const LEAST_DAEMONS: usize = 8;
/// Targets of a cell at least: with fewer, one that fails or is slow is too large a part of what a
/// cell can do. A pool with fewer is divided less.
const LEAST_TARGETS: usize = 6;
/// The duty to speak for a cell.
const SPEAKER: &str = "cell/speaker";
/// What daemons and targets are ordered by.
const ORDER: &str = "cell";

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
    mates: IndexSet<VmId>,
}

impl Cell {
    /// The cell of `me`, which may be missing from `members`.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = &'a VmId>, me: &VmId) -> Self {
        let mut ordered: IndexSet<&VmId> = members.into_iter().collect();
        ordered.insert(me);
        ordered.sort_by_cached_key(|vm| (rendezvous::weight(ORDER, vm), (*vm).clone()));
        let count = most_parts(ordered.len(), LEAST_DAEMONS);
        let cell_of = |at: usize| at * count / ordered.len();
        let index = ordered.get_index_of(me).map_or(0, cell_of);
        let in_cell = ordered.iter().enumerate();
        let in_cell = in_cell.filter(|(at, vm)| cell_of(*at) == index && **vm != me);
        Self {
            count,
            index,
            mates: in_cell.map(|(_, vm)| (*vm).clone()).collect(),
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
    pub fn speaker<'a>(&'a self, me: &'a VmId) -> &'a VmId {
        let members = self.mates.iter().chain([me]);
        rendezvous::owner(SPEAKER, members).unwrap_or(me)
    }

    /// The other daemons of the cell.
    #[must_use]
    pub fn mates(&self) -> &IndexSet<VmId> {
        &self.mates
    }

    /// The cells that send to the same part of a pool with so many targets, itself included.
    #[must_use]
    pub fn sharers(&self, targets: usize) -> Vec<CellId> {
        let parts = self.parts(targets);
        let own = self.part(self.index, parts);
        let indexes = (0..self.count.max(1)).filter(|index| self.part(*index, parts) == own);
        indexes.map(|index| self.id_of(index)).collect()
    }

    /// Parts into which a pool with so many targets falls.
    fn parts(&self, targets: usize) -> usize {
        most_parts(targets, LEAST_TARGETS).min(self.count)
    }

    /// Part of a pool that a cell has.
    fn part(&self, index: usize, parts: usize) -> usize {
        index * parts / self.count.max(1)
    }

    /// Keeps the targets of the cell, of all targets of one pool.
    pub fn keep_targets(&self, targets: &mut Vec<Target>) {
        let parts = self.parts(targets.len());
        if parts < 2 {
            return;
        }
        let own = self.part(self.index, parts);
        let all = targets.len();
        targets.sort_by_cached_key(|t| (rendezvous::weight(ORDER, &t.id), t.id.clone()));
        let mut at = 0;
        targets.retain(|_| {
            let part = at * parts / all;
            at += 1;
            part == own
        });
    }
}

/// Puts targets into an order of this daemon's own.
///
/// Of targets that are as good the first ones are taken. After a restart of all daemons none has heard
/// of another's requests yet, and all targets look idle to each: in one order for all they would send
/// their first thousand requests to the same few targets, which turn one in three away.
pub fn spread(targets: &mut [Target], me: &VmId) {
    targets.sort_by_cached_key(|target| (rendezvous::weight(me, &target.id), target.id.clone()));
}

/// The highest power of two of parts that have `least` of `all` each.
fn most_parts(all: usize, least: usize) -> usize {
    (all / least).checked_ilog2().map_or(1, |log| 1 << log)
}
