//! Admission control: decides a submission at once or puts it into the queue.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use indexmap::IndexMap;

use super::choice::{self, Occupancy};
use super::limits::{self, CounterKey};
use super::message::{Refuse, Submission, SubmissionNumber, Unmeetable, Verdict};
use super::state::{self, State, Waiter, WaiterId};
use crate::error_kind::ErrorKind;
use crate::paths::Route;
use crate::prompt;
use crate::target_instance::TargetInstance;

/// Maximum number of exclusions kept per submission.
const EXCLUSIONS_LIMIT: usize = 32;

/// Result of a submission.
pub(super) enum Admission {
    Decided(Verdict),
    Queued(WaiterId, oneshot::Receiver<Verdict>),
}

impl State {
    /// Decides a submission at once if possible, and enqueues it otherwise.
    pub(super) fn submit(&mut self, mut submission: Submission, now: Instant) -> Admission {
        submission.exclusions.truncate(EXCLUSIONS_LIMIT);
        self.tiers
            .record_request(submission.tier, submission.objective, now);
        submission.prefix.truncate(prompt::MAX_PREFIX_BLOCKS);
        let waiting = self
            .waiting
            .get(&submission.request)
            .map(|waiting| waiting.submission.submission);
        let granted = self
            .active_grants
            .get(&submission.request)
            .map(|grant| grant.submission);
        let newest = waiting.max(granted);
        let has_ended = self
            .ended
            .contains(&submission.request, submission.submission);
        if has_ended || newest > Some(submission.submission) {
            return Admission::Decided(state::refuse(&submission, ErrorKind::Cancelled, None));
        }
        if waiting == Some(submission.submission) {
            return self.attach(&submission.request);
        }
        if self.is_granted(&submission.request, submission.submission) {
            return Admission::Decided(
                self.grant_verdict(&submission.request, submission.submission),
            );
        }
        let counter_key = self.supersede(&submission.request, now);
        match self.admit(&submission, counter_key, now) {
            Ok(counter_key) => {
                let request = submission.request.clone();
                self.enqueue(submission, counter_key, now);
                let admission = self.attach(&request);
                // Dispatch before shedding: a submission that is granted at once takes no place in
                // the queue.
                self.dispatch(now);
                self.shed(now);
                admission
            }
            Err(refusal) => Admission::Decided(Verdict::Refuse(refusal)),
        }
    }

    /// Cancels the submission with this number and all earlier ones of the request, waiting or
    /// granted.
    pub(super) fn cancel(&mut self, request: &str, submission: SubmissionNumber, now: Instant) {
        let waiting = self.waiting.get(request).map(|w| &w.submission);
        if let Some(waiting) = waiting.filter(|waiting| waiting.submission <= submission) {
            if waiting.has_unique_number {
                self.ended.record(request, submission, now);
            }
            self.refuse(request, ErrorKind::Cancelled, None);
        }
        if self
            .active_grants
            .get(request)
            .is_some_and(|r| r.submission <= submission)
        {
            self.end(request, now);
        }
        self.dispatch(now);
    }

    /// Cancels a waiting submission whose call was dropped before its verdict. A later call for the
    /// same submission is not affected.
    pub(super) fn abandon(&mut self, request: &str, waiter: WaiterId, now: Instant) {
        let waiting = self.waiting.get(request);
        let current = waiting.and_then(|waiting| waiting.waiter.as_ref());
        if current.is_some_and(|current| current.id == waiter) {
            self.refuse(request, ErrorKind::Cancelled, None);
            self.dispatch(now);
        }
    }

    fn attach(&mut self, request: &str) -> Admission {
        let (tx, rx) = oneshot::channel();
        let id = self.next_waiter;
        self.next_waiter += 1;
        if let Some(waiting) = self.waiting.get_mut(request) {
            let earlier = waiting.waiter.replace(Waiter { id, tx });
            if let Some(earlier) = earlier {
                let _ = earlier.tx.send(state::refuse(
                    &waiting.submission,
                    ErrorKind::Cancelled,
                    None,
                ));
            }
        }
        Admission::Queued(id, rx)
    }

    /// Ends the earlier submission of a request and returns its counter key, so that the new
    /// submission keeps its place under the limits.
    fn supersede(&mut self, request: &str, now: Instant) -> Option<CounterKey> {
        let counter_key = match self.waiting.get_mut(request) {
            Some(waiting) => waiting.counter_key.take(),
            None => self.active_grants.get_mut(request)?.counter_key.take(),
        };
        self.refuse(request, ErrorKind::Cancelled, None);
        self.release(request, now);
        counter_key
    }

    fn admit(
        &mut self,
        submission: &Submission,
        counter_key: Option<CounterKey>,
        now: Instant,
    ) -> Result<Option<CounterKey>, Refuse> {
        let refusal = self.check_feasibility(submission, now);
        if let Some(refusal) = refusal {
            if let Some(counter_key) = counter_key {
                self.limits.release(&counter_key);
            }
            return Err(refusal);
        }
        if counter_key.is_some() {
            return Ok(counter_key);
        }
        self.limits.acquire(submission, now).map_err(|err| {
            let limits::Error::Reached { retry_after } = err;
            state::refusal_of(submission, ErrorKind::RateLimited, Some(retry_after))
        })
    }

    /// Returns `true` if a submission with an objective would most likely time out in the queue,
    /// see [`super::wait_outcomes`]. Submissions of the first tier always wait, since they get
    /// every slot that becomes free.
    fn is_tier_starved(&self, submission: &Submission, now: Instant) -> bool {
        if submission.objective.is_none()
            || submission.is_resumed()
            || self.tiers.count_before(submission.tier) == 0
        {
            return false;
        }
        if !self.wait_outcomes.mostly_time_out(submission.tier, now) {
            return false;
        }
        let has_waiter_in_tier = self
            .queue
            .priorities()
            .any(|priority| priority.tier == submission.tier);
        let needs = self.needs(submission, submission.deadline);
        has_waiter_in_tier
            && !choice::any_eligible(
                &self.targets,
                &needs,
                Occupancy::of(&self.targets, now),
                now,
            )
    }

    /// Returns `true` if some target could serve the submission, now or later.
    fn has_usable_target(&self, submission: &Submission) -> bool {
        self.targets.values().any(|target| {
            target.serves(submission.version_needs())
                && target.route != Route::Unreachable
                && !submission.exclusions.contains(&target.instance)
        })
    }

    /// Sets how requests get to the targets. Those that are not listed are reached directly. If none
    /// can be reached any more, all that wait are refused.
    pub(super) fn set_routes(&mut self, routes: &IndexMap<TargetInstance, Route>, now: Instant) {
        for target in self.targets.values_mut() {
            target.route = routes.get(&target.instance).copied().unwrap_or_default();
        }
        self.note_capacity_change();
        self.invalidate_capacity();
        self.refuse_unserved(now);
        self.dispatch(now);
    }

    /// Refuses the waiting submissions that no target may serve any more. While other targets are live,
    /// new ones wait, since targets that they don't exclude may come.
    pub(super) fn refuse_unserved(&mut self, now: Instant) {
        let mut live = self.targets.values().filter(|target| target.live);
        let has_live = live.any(|target| target.route != Route::Unreachable);
        let unserved = self.waiting.iter().filter(|(_, waiting)| {
            let submission = &waiting.submission;
            let may_wait = has_live && submission.origin.is_new();
            !may_wait && !self.has_usable_target(submission)
        });
        let unserved: Vec<_> = unserved
            .map(|(request, waiting)| (request.clone(), waiting.submission.no_target()))
            .collect();
        for (request, kind) in unserved {
            let retry = self.retry_without_target(kind, now);
            self.refuse(&request, kind, retry);
        }
    }

    /// Delay after which a retry makes sense for a submission that no target may serve.
    fn retry_without_target(&mut self, kind: ErrorKind, now: Instant) -> Option<Duration> {
        let is_retryable = kind.response().retryable;
        is_retryable.then(|| self.drain.retry_after(0, 0.0, now))
    }

    fn check_feasibility(&mut self, submission: &Submission, now: Instant) -> Option<Refuse> {
        if self.handover.is_some() {
            return None;
        }
        if !self.has_usable_target(submission) {
            let kind = submission.no_target();
            let retry = self.retry_without_target(kind, now);
            return Some(state::refusal_of(submission, kind, retry));
        }
        if let Some(refusal) = self.check_pushback(submission, now) {
            return Some(refusal);
        }
        let unmeetable = if self.is_infeasible(submission, now) {
            Unmeetable::Infeasible
        } else if self.is_tier_starved(submission, now) {
            Unmeetable::TierStarved
        } else {
            return None;
        };
        self.record_outcome(submission, false);
        let priority = submission.priority();
        let work_ahead = self
            .queue
            .work_ahead(priority, &submission.customer, submission.weight);
        let retry = self.retry_after_work(work_ahead, now);
        Some(state::refusal_of(submission, unmeetable, Some(retry)))
    }
}
