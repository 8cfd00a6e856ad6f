//! How long an ask with an objective waits before its caller is told to come back.
//!
//! A caller that hears late that there is no place has lost the time in which it could have gone
//! elsewhere, or come back while its answer was still worth something. An ask waits as long as a
//! target that comes free can still give it a first token in time. Work of the first tier goes on
//! waiting for a part of the time that its caller has: late, it is still worth more than work of a
//! later tier that takes its place. Late work of a tier behind it would take the places of work that
//! can still be in time: in order of arrival all of a tier is late while it is asked for more than the
//! targets can do.

use std::time::{Duration, Instant};

use super::message::Ask;
use super::state::{self, State};
use crate::ids::Tier;

/// Part of its objective that an ask leaves for what estimates miss.
const OBJECTIVE_MARGIN: f64 = 0.1;
/// Tiers from 0 on whose late answers go before other tiers' timely ones.
const LATE_TIERS: Tier = 1;
/// Part of the time to its deadline for which such an ask waits: what is left has to do for the
/// answer itself.
const LATE_WAIT_RATIO: f64 = 0.3;

impl State {
    /// When the ask stops waiting; `None` if its caller told no objective, or if another target generates
    /// its answer meanwhile.
    pub(super) fn queue_deadline(&self, ask: &Ask, now: Instant) -> Option<Instant> {
        if ask
            .partial
            .is_some_and(|partial| partial.remaining.is_some())
        {
            return None;
        }
        let objective = ask.objective?.as_secs_f64();
        let in_time = objective * (1.0 - OBJECTIVE_MARGIN) - self.min_time_to_first_token(ask, now);
        let late = match ask.deadline {
            Some(left) if ask.tier < LATE_TIERS => left.as_secs_f64() * LATE_WAIT_RATIO,
            _ => 0.0,
        };
        let wait = in_time.max(late).max(0.0);
        Some(now + Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Shortest time in which any live target gives a first token, if it is free, in seconds.
    fn min_time_to_first_token(&self, ask: &Ask, now: Instant) -> f64 {
        let prompt = state::work(ask).prefill as f64;
        let live = self.targets.values().filter(|target| target.live);
        let times = live.map(|target| {
            let estimate = &target.estimate;
            estimate.overhead() + prompt / estimate.prefill_rate(now)
        });
        times.fold(f64::INFINITY, f64::min).min(f64::MAX)
    }
}
