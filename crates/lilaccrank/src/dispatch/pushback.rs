//! Pauses that targets ask for.
//!
//! A target that turns a request away may say for how long it wants no requests of the daemon that
//! sent it. After the pause one request tries it, so that a queue that has built up does not rush to
//! it.

use std::time::{Duration, Instant};

use super::message::{Refuse, Submission};
use super::state::{self, State};
use crate::error_kind::ErrorKind;
use crate::ids::RequestId;
use crate::target_instance::TargetInstance;

/// A pause of one target, and the trial after it.
#[derive(Clone, Copy, Debug)]
pub struct Pushback {
    /// Set while the request that tries the target after the pause is in progress.
    has_trial: bool,
    until: Instant,
}

impl Pushback {
    /// Starts a pause that ends at `until`.
    #[must_use]
    pub fn new(until: Instant) -> Self {
        Self {
            has_trial: false,
            until,
        }
    }

    /// Extends the pause. A later answer that asks for less does not shorten it: the target may have
    /// made it before the other one.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// End of the pause.
    #[must_use]
    pub fn until(self) -> Instant {
        self.until
    }

    /// Returns `true` if a request may try the target.
    #[must_use]
    pub fn allows(self, now: Instant) -> bool {
        !self.has_trial && now >= self.until
    }

    /// Records the start or the end of the request that tries the target.
    pub fn set_trial(&mut self, has_trial: bool) {
        self.has_trial = has_trial;
    }
}

impl State {
    /// Pauses the grants of a target, and refuses the waiting submissions that can't wait until a
    /// target may be tried again.
    pub(super) fn push_back(&mut self, target: &TargetInstance, pause: Duration, now: Instant) {
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        let until = now + pause;
        let pushback = target.pushback.get_or_insert(Pushback::new(until));
        pushback.extend(until);
        let waiting: Vec<RequestId> = self.queue.requests().cloned().collect();
        for request in waiting {
            let until = self.queue.get(&request).and_then(|item| item.until);
            let first_end = self.first_pause_end(&self.waiting[&request].submission, now);
            if let Some(end) = first_end.filter(|end| until.is_some_and(|until| until <= *end)) {
                let pause = end.saturating_duration_since(now);
                let retry = pause + self.retry_after(&request, now);
                self.refuse(&request, ErrorKind::Overloaded, Some(retry));
            }
        }
    }

    /// Refuses a new submission that can't wait until a target may be tried again.
    pub(super) fn check_pushback(
        &mut self,
        submission: &Submission,
        now: Instant,
    ) -> Option<Refuse> {
        let end = self.first_pause_end(submission, now)?;
        self.waits_until(submission, now)
            .filter(|until| *until <= end)?;
        self.record_outcome(submission, false);
        let work_ahead = self.queue.work_ahead(
            submission.priority(),
            &submission.customer,
            submission.weight,
        );
        // Callers that return are spread over the time that the work ahead of them needs.
        let pause = end.saturating_duration_since(now);
        let retry = pause + self.retry_after_work(work_ahead, now);
        Some(state::refusal_of(
            submission,
            ErrorKind::Overloaded,
            Some(retry),
        ))
    }

    /// End of the first pause, if all targets that may serve the submission are in one.
    fn first_pause_end(&self, submission: &Submission, now: Instant) -> Option<Instant> {
        let usable = self
            .targets
            .values()
            .filter(|target| target.serves(submission.version_needs()))
            .filter(|target| !submission.exclusions.contains(&target.instance));
        let mut first_end: Option<Instant> = None;
        for target in usable {
            let end = target.pushback?.until();
            if end <= now {
                return None;
            }
            first_end = Some(first_end.map_or(end, |first| first.min(end)));
        }
        first_end
    }
}
