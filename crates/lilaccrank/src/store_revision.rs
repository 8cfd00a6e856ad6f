//! Revisions of the platform's store across its restores.

use std::cell::Cell;
use std::rc::Rc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of restores of the store from older copies.
pub type Era = u64;

/// A revision of the store. After a restore, revisions that are gone are given out again, so a revision
/// means nothing without its era.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{era}/{number}")]
#[serde(from = "Wire", into = "Wire")]
pub struct StoreRevision {
    /// Era, which is compared first.
    pub era: Era,
    /// Number within the era; 0 if the platform does not count changes.
    pub number: u64,
}

/// Daemons that know no eras send and read the number alone.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum Wire {
    Number(u64),
    Full(Era, u64),
}

impl From<Wire> for StoreRevision {
    fn from(wire: Wire) -> Self {
        match wire {
            Wire::Number(number) => number.into(),
            Wire::Full(era, number) => Self { era, number },
        }
    }
}

impl From<StoreRevision> for Wire {
    fn from(revision: StoreRevision) -> Self {
        match revision.era {
            0 => Self::Number(revision.number),
            era => Self::Full(era, revision.number),
        }
    }
}

impl From<u64> for StoreRevision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

/// The latest era that a daemon has heard of; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LatestEra(Rc<Cell<Era>>);

impl LatestEra {
    /// The era.
    #[must_use]
    pub fn get(&self) -> Era {
        self.0.get()
    }

    /// Records an era that an answer of the store or another daemon names.
    pub fn observe(&self, era: Era) {
        self.0.set(self.0.get().max(era));
    }
}
