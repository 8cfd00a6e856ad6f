//! Hybrid logical clock stamps.

use serde::{Deserialize, Serialize};

use crate::ids::VmId;

/// Hybrid logical clock timestamp: wall time, adjusted so that effects are ordered after their
/// causes.
///
/// Source: Kulkarni et al., "Logical Physical Clocks" (2014).
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    // The derived order compares the fields in order of declaration.
    /// Largest wall time known, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders stamps with the same wall time.
    pub counter: u32,
    /// VM of the daemon that created the stamp; breaks ties.
    pub vm: VmId,
}

impl Stamp {
    /// Returns the initial stamp, which is before all other stamps of the daemon on `vm`.
    #[must_use]
    pub fn start(vm: VmId) -> Self {
        Self {
            wall_ms: 0,
            counter: 0,
            vm,
        }
    }

    /// Advances past `remote`, even if the local wall clock lags behind the sender's.
    pub fn observe(&mut self, remote: &Self, wall_ms: u64) {
        if (remote.wall_ms, remote.counter) > (self.wall_ms, self.counter) {
            self.wall_ms = remote.wall_ms;
            self.counter = remote.counter;
        }
        self.tick(wall_ms);
    }

    /// Advances to the next stamp. The stamp increases even if the wall clock was set back.
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
