//! Targets of other cells, for a daemon that takes far more requests than the others of its cell.
//!
//! The platform may hand most new connections to one daemon. The targets of its cell are then full, while
//! those of other cells are idle.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Share of the slots of a cell at which one daemon uses targets of other cells. A daemon among eight or
/// more usually has an eighth.
const BEGIN_SHARE: f64 = 0.5;
/// Share below which it may stop.
const END_SHARE: f64 = 0.25;
/// Time for which the share has to be low. Targets that come and go lose what is known of their speed.
const END_DELAY: Duration = Duration::from_secs(5);

/// Whether a dispatcher uses targets of other cells.
#[derive(Debug, Default)]
pub(super) struct Overflow {
    /// Slots of the targets of the cell.
    cell_slots: Cell<u32>,
    /// Set while it uses targets of other cells: when the share was last above [`END_SHARE`].
    busy_at: Cell<Option<Instant>>,
}

impl Overflow {
    pub(super) fn set_cell_slots(&self, slots: u32) {
        self.cell_slots.set(slots);
    }

    pub(super) fn is_active(&self) -> bool {
        self.busy_at.get().is_some()
    }

    /// Updates the state from the requests that this daemon runs. Returns `true` if it has changed.
    pub(super) fn update(&self, running: u32, now: Instant) -> bool {
        let slots = f64::from(self.cell_slots.get());
        let share = f64::from(running) / slots.max(1.0);
        let busy_at = match self.busy_at.get() {
            None => (share >= BEGIN_SHARE).then_some(now),
            Some(_) if share >= END_SHARE => Some(now),
            Some(at) => Some(at).filter(|at| now - *at < END_DELAY),
        };
        let before = self.busy_at.replace(busy_at);
        before.is_some() != busy_at.is_some()
    }
}
