//! Hybrid logical clock stamps.

use serde::{Deserialize, Serialize};

use crate::ids::VmId;

/// When an event happened: wall time, corrected so that effects come after their causes.
///
/// Source: Kulkarni et al., "Logical Physical Clocks" (2014).
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    // The derived order compares the fields from top to bottom, so theirs is not alphabetical.
    /// Largest wall time known, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Counts the stamps of one wall time.
    pub counter: u32,
    /// The daemon that made the stamp; breaks ties.
    pub vm: VmId,
}

impl Stamp {
    /// Before every stamp of the daemon on `vm`.
    #[must_use]
    pub fn start(vm: VmId) -> Self {
        Self {
            wall_ms: 0,
            counter: 0,
            vm,
        }
    }

    /// Moves past `remote`, also where the wall clock here lags behind the sender's.
    pub fn observe(&mut self, remote: &Self, wall_ms: u64) {
        if (remote.wall_ms, remote.counter) > (self.wall_ms, self.counter) {
            self.wall_ms = remote.wall_ms;
            self.counter = remote.counter;
        }
        self.tick(wall_ms);
    }

    /// Moves to the next stamp; a wall clock set back doesn't set the stamp back.
    pub fn tick(&mut self, wall_ms: u64) {
        if wall_ms > self.wall_ms {
            self.wall_ms = wall_ms;
            self.counter = 0;
        } else if self.counter == u32::MAX {
            self.wall_ms += 1;
            self.counter = 0;
        } else {
            self.counter += 1;
        }
    }
}
