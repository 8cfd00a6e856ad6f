//! Maximum queueing time of a submission with an objective.
//!
//! A submission waits only while a target that becomes free could still return the first token in
//! time. A late refusal costs the caller time in which it could have gone elsewhere, or retried
//! while the answer was still useful. Submissions of the first tier wait longer, for a fraction of
//! the time to their deadline, since even a late answer is worth more than work of a later tier. In
//! any other tier, late work would take the slots of work that can still be in time: in order of
//! arrival, an overloaded tier would be late throughout.

use std::time::{Duration, Instant};

use super::message::Submission;
use super::state::{self, State};
use crate::ids::Tier;

/// Fraction of the objective kept as a margin for estimation errors.
const OBJECTIVE_MARGIN: f64 = 0.1;
/// Number of tiers, starting at 0, whose late answers go before timely ones of other tiers.
const LATE_TIERS: Tier = 1;
/// Fraction of the time to its deadline that such a submission waits; the rest is left for the
/// answer itself.
const LATE_WAIT_RATIO: f64 = 0.3;

impl State {
    /// Returns the time at which the submission stops waiting, or `None` if it has no objective or
    /// another target still generates its answer.
    pub(super) fn queue_deadline(&self, submission: &Submission, now: Instant) -> Option<Instant> {
        if submission
            .partial
            .is_some_and(|partial| partial.remaining.is_some())
        {
            return None;
        }
        let objective = submission.objective?.as_secs_f64();
        let timely_wait =
            objective * (1.0 - OBJECTIVE_MARGIN) - self.min_time_to_first_token(submission, now);
        let late_wait = match submission.deadline {
            Some(left) if submission.tier < LATE_TIERS => left.as_secs_f64() * LATE_WAIT_RATIO,
            _ => 0.0,
        };
        let wait = timely_wait.max(late_wait).max(0.0);
        Some(now + Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Shortest time to a first token on any live target without load, in seconds.
    fn min_time_to_first_token(&self, submission: &Submission, now: Instant) -> f64 {
        let prompt = state::work(submission).prefill as f64;
        let live = self.targets.values().filter(|target| target.live);
        let times = live.map(|target| {
            let estimate = &target.estimate;
            estimate.overhead() + prompt / estimate.prefill_rate(now)
        });
        times.fold(f64::INFINITY, f64::min).min(f64::MAX)
    }
}
