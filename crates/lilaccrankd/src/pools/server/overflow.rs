//! Targets of other cells, for a daemon that takes far more requests than the others of its cell.
//!
//! The platform may hand most new connections to one daemon. The targets of its cell are then full, while
//! those of other cells are idle.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::cells;
use lilaccrank::document::{Pool, Target};
use lilaccrank::target_instance::TargetInstance;

use crate::daemon::Daemon;

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

/// Begins or ends to use targets of other cells, where each daemon dispatches its own requests.
pub fn apply_overflow(daemon: &Rc<Daemon>) {
    if !daemon.duties.is_dispatch_local() || super::cell(daemon).id().count < 2 {
        return;
    }
    let now = Instant::now();
    let mut has_changed = false;
    for served in daemon.pool_server.served.borrow().values() {
        let running = u32::try_from(served.dispatcher.running()).unwrap_or(u32::MAX);
        if served.overflow.update(running, now) {
            has_changed = true;
            log::info!(
                is_active = served.overflow.is_active(),
                pool = served.pool.as_str(),
                running = running;
                "use of targets of other cells changed"
            );
        }
    }
    if has_changed {
        super::configuration_changed(daemon);
    }
}

/// Targets of other cells without an advertised rate, which their cells use up.
pub(super) fn targets(daemon: &Daemon, near: &[Target], pool: &Pool) -> Vec<Target> {
    let limited = daemon.advisories.rate_limits();
    let mut targets = cells::overflow_targets(near, &pool.targets, &daemon.cfg.vm);
    targets.retain(|target| !limited.contains_key(&TargetInstance::of(target).digest()));
    targets
}
