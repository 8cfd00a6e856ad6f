//! Time in which the process of a dispatcher was held up. What had arrived was not read then, so that time is
//! no silence of others.

use std::time::{Duration, Instant};

use super::state::State;
use crate::clock;

impl State {
    /// Records that the dispatcher is running. The time since the last call in which it was held up counts
    /// for no silence.
    pub(super) fn observe_running(&mut self, now: Instant) {
        let before = self.observed_at.replace(now);
        let gap = before.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let held_up = clock::held_up(gap);
        if held_up.is_zero() {
            return;
        }
        let later = |at: Instant| (at + held_up).min(now);
        for active_grant in self.active_grants.values_mut() {
            active_grant.granted = later(active_grant.granted);
        }
        for target in self.targets.values_mut() {
            target.health.move_activity(later);
            target.unanswered.move_signs(later);
        }
        self.sharing.move_digests(later);
        self.move_handover(held_up);
    }
}
