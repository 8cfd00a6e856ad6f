//! Pauses that targets ask for.
//!
//! A target that turns a request away may say for how long it wants no requests of the daemon that
//! sent it. After the pause one request tries it, so that a queue that has built up does not rush to
//! it.

use std::time::{Duration, Instant};

use super::message::Submission;
use super::state::State;
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
            let submission = &self.waiting[&request].submission;
            if let Some(pause) = self.hopeless_pause(submission, until, now) {
                let retry = self.retry_after_pause(pause, now);
                self.refuse(&request, ErrorKind::Overloaded, Some(retry));
            }
        }
    }

    /// Time until the first pause ends, if all targets that may serve the submission have asked for
    /// one and the submission waits until `until` at most, which is earlier.
    pub(super) fn hopeless_pause(
        &self,
        submission: &Submission,
        until: Option<Instant>,
        now: Instant,
    ) -> Option<Duration> {
        let usable = self
            .targets
            .values()
            .filter(|target| target.live && !submission.exclusions.contains(&target.instance));
        let mut first_end: Option<Instant> = None;
        for target in usable {
            let end = target.pushback?.until();
            if end <= now {
                return None;
            }
            first_end = Some(first_end.map_or(end, |first| first.min(end)));
        }
        let first_end = first_end?;
        let is_hopeless = until.is_some_and(|until| until <= first_end);
        is_hopeless.then(|| first_end.saturating_duration_since(now))
    }

    /// `Retry-After` of a submission that is refused because of a pause of this length. The callers
    /// that return are spread over the time after it.
    pub(super) fn retry_after_pause(&mut self, pause: Duration, now: Instant) -> Duration {
        pause + self.drain.retry_after(0, 0.0, now)
    }
}
