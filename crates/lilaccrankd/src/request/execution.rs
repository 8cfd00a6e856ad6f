//! Execution of one routed request: it waits for grants, is sent to targets, or is spilled.
//!
//! [`Execution::run`] may be dropped at any of its waits, when the request is cancelled.
//! [`Execution::cancel`] then tells how the request ends.

use std::mem;
use std::rc::Rc;

use lilaccrank::attempts::Failure;
use lilaccrank::clock::Clock;
use lilaccrank::dispatch::message::{PartialAnswer, Refuse, Submission};
use lilaccrank::ids::RequestId;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank::timeline::EventKind;
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::pools::client::{self, HeldGrant};
use crate::request::admission::InProgress;
use crate::request::answer_buffer::AnswerBuffer;
use crate::request::cancellation::Cancellation;
use crate::request::dispatch_refusal;
use crate::request::key_state::KeyState;
use crate::request::lifecycle::{self, RoutedRequest};
use crate::request::pool_retry_budgets::RetryPermit;
use crate::request::send_history::{PriorSends, SendHistory};
use crate::request::spill;
use crate::rollouts::lane::LaneUse;
use crate::targets::forward::SendFailure;

/// Execution of one routed request.
pub struct Execution<'a> {
    /// Buffer of the answer.
    pub buffer: &'a AnswerBuffer,
    /// What cancels the request.
    pub cancellation: &'a Rc<Cancellation>,
    /// The daemon that runs it.
    pub daemon: &'a Rc<Daemon>,
    /// The sends so far.
    pub history: SendHistory,
    /// Counts the request as in progress.
    pub in_progress: &'a Rc<InProgress>,
    /// Its key; `None` if it could not be marked and is settled.
    pub key: Option<KeyState>,
    /// Permit for the next send, if it is a retry that the budget has to allow.
    pub retry: Option<RetryPermit>,
    /// Version that it goes to, while a roll-out runs.
    pub lane: Option<LaneUse>,
    /// The request.
    pub routed: &'a RoutedRequest,
    /// What it may have caused.
    pub stage: Stage,
}

/// What a cancelled request may have caused.
#[derive(Default)]
pub enum Stage {
    /// What the history of its sends tells.
    #[default]
    Sends,
    /// Its key may be marked, or another data centre may have it.
    KeyOrSpill,
}

impl<'a> Execution<'a> {
    /// Sends the request until it succeeds, fails for good or is spilled.
    ///
    /// # Errors
    ///
    /// The refusal for the caller.
    pub async fn run(&mut self) -> Result<()> {
        let (daemon, routed) = (self.daemon, self.routed);
        daemon.retry_budgets.record_request(&routed.route.pool);
        loop {
            let granted = self.next_grant().await;
            // Meanwhile, other daemons may have reported crashes of targets under this content.
            let granted = granted.and_then(|grant| self.check_sendable().map(|()| grant));
            let grant = match granted {
                Ok(grant) => grant,
                Err(refusal) if self.can_spill(&refusal) => return self.spill(refusal).await,
                Err(refusal) => {
                    self.log_no_target(&refusal);
                    return self.history.final_result(refusal, self.buffer);
                }
            };
            self.mark_key(KeyState::mark).await?;
            let (target, ended) = self.send(grant).await;
            let Err(failed) = ended else {
                routed.record_completion(daemon, &target, &self.history.delivered);
                return Ok(());
            };
            if let Some(result) = self.record_failure(target, failed) {
                return result;
            }
        }
    }

    /// Logs why no target takes a request that was sent before. Its caller gets the earlier refusal.
    fn log_no_target(&self, refusal: &Refusal) {
        let Some(ended_by) = self.history.ended_by else {
            return;
        };
        log::info!(
            ended_by:% = ended_by,
            kind:% = refusal.kind,
            parts = self.buffer.timing().chunk_count,
            request = self.routed.log_id(),
            waited_ms = lifecycle::log_ms(Some(self.history.prior.waiting_since.elapsed())),
            why = refusal.message;
            "no target goes on with a request"
        );
    }

    /// Checks that the request is not known to crash targets.
    pub(super) fn check_sendable(&self) -> Result<()> {
        self.routed.check_quarantine(self.daemon)?;
        match self.history.is_unsent() {
            true => Ok(()),
            false => self.routed.check_repeat(self.daemon),
        }
    }

    /// Result of the request after [`Self::run`] was dropped for this reason.
    ///
    /// # Errors
    ///
    /// The refusal for the caller.
    pub fn cancel(&mut self, refusal: Refusal) -> Result<()> {
        match self.stage {
            Stage::KeyOrSpill => Err(refusal),
            Stage::Sends => self.history.cancel(self.routed, refusal, self.buffer),
        }
    }

    /// Records a failed send. Returns the result of the request, or `None` if it is to be sent
    /// again.
    fn record_failure(
        &mut self,
        target: TargetInstance,
        failed: SendFailure,
    ) -> Option<Result<()>> {
        let (daemon, routed) = (self.daemon, self.routed);
        self.record_lost_connection(&target, &failed);
        let may_repeat =
            self.cancellation.check().is_ok() && !failed.refusal.kind.is_unrelated_to_target();
        let retry = &mut self.retry;
        let take_repeat = |failure| {
            if may_repeat && failure != Failure::Unsent {
                *retry = RetryPermit::take(daemon, &routed.route.pool);
            }
            may_repeat && (failure == Failure::Unsent || retry.is_some())
        };
        self.history
            .record_failure(routed, target, failed, self.buffer, take_repeat)
    }

    /// Records that the connection to a target was lost, if it was, as evidence of a crash.
    pub(super) fn record_lost_connection(&self, target: &TargetInstance, failed: &SendFailure) {
        if failed.refusal.connection_lost {
            let delivered = &self.history.delivered;
            self.routed.record_lost_connection(
                self.daemon,
                target,
                delivered,
                failed.is_path_fault,
            );
        }
    }

    async fn mark_key(
        &mut self,
        mark: impl AsyncFnOnce(KeyState) -> Result<KeyState>,
    ) -> Result<()> {
        let Some(key) = self.key.take() else {
            return Ok(());
        };
        let stage = mem::replace(&mut self.stage, Stage::KeyOrSpill);
        self.key = Some(mark(key).await?);
        self.stage = stage;
        Ok(())
    }

    async fn next_grant(&mut self) -> Result<HeldGrant> {
        if self.history.prior.origin.is_new() {
            self.history.prior.origin = self.routed.origin(self.daemon).await?;
        }
        let prior = self.history.prior.clone();
        let partial = self.partial_answer();
        self.wait_for_grant(&self.routed.id, &prior, partial).await
    }

    /// Waits for the grant of a target, by a submission with this id.
    pub(super) async fn wait_for_grant(
        &mut self,
        id: &RequestId,
        prior: &PriorSends,
        partial: Option<PartialAnswer>,
    ) -> Result<HeldGrant> {
        let (daemon, routed) = (self.daemon, self.routed);
        routed.check_quarantine(daemon)?;
        let pool = &routed.route.pool;
        daemon.version_record.until_recorded(daemon, pool).await;
        daemon.record(
            EventKind::Asked,
            routed.subject(routed.route.pool.clone(), None),
        );
        let granted = self.submit(id, prior, partial).await;
        let grant = granted.map_err(|refuse| dispatch_refusal::refusal(daemon, &refuse))?;
        log::info!(
            abandoned_ms = lifecycle::log_ms(self.buffer.abandoned_for()),
            expected_ms = lifecycle::log_ms(grant.expected),
            left_ms = lifecycle::log_ms(routed.time_left()),
            list_age_ms = lifecycle::log_ms(daemon.live_list.freshness.age(MonoioClock.boot_time())),
            since_arrival_ms = routed.elapsed_ms(),
            request = routed.log_id(),
            target = grant.target.id,
            version = daemon.version(&routed.route.pool, &grant.target).unwrap_or_default();
            "granted"
        );
        daemon.record(
            EventKind::Granted,
            routed.subject(String::new(), Some(&grant.target.id)),
        );
        Ok(grant)
    }

    /// Submits the request to the dispatcher, and once more for an old version if it was to try a new
    /// one that has no target for it.
    async fn submit(
        &mut self,
        id: &RequestId,
        prior: &PriorSends,
        partial: Option<PartialAnswer>,
    ) -> Result<HeldGrant, Refuse> {
        let (daemon, routed) = (self.daemon, self.routed);
        // The earlier choice ends first, or it would count twice.
        self.lane = None;
        self.lane = LaneUse::choose(daemon, routed, prior.origin, !self.history.is_unsent());
        loop {
            let submission = Submission {
                request: id.clone(),
                ..routed.ask(daemon, prior, partial)
            };
            let submission = match &self.lane {
                Some(lane) => lane.restrict(submission),
                None => submission,
            };
            let granted = client::submit(daemon, &routed.route.pool, submission).await;
            match (&mut self.lane, granted) {
                (Some(lane), Err(_)) if lane.is_trial() => lane.give_up_trial(),
                (_, granted) => return granted,
            }
        }
    }

    /// Describes the part of an interrupted answer that the caller has; `None` if it has no tokens.
    pub(super) fn partial_answer(&self) -> Option<PartialAnswer> {
        let tokens_in_event = self.daemon.tokens_in_event(&self.routed.route.pool);
        let events = self.history.delivered.events();
        let tokens = events.saturating_mul(tokens_in_event);
        (tokens > 0).then_some(PartialAnswer {
            remaining: None,
            tokens,
        })
    }

    fn can_spill(&self, refusal: &Refusal) -> bool {
        let routed = self.routed;
        let allowed = !routed.route.spill.is_empty() && routed.caller.spilled_from.is_none();
        // The claim in the store belongs to this data centre, so the claim of another one would be
        // refused.
        let is_marked = self.key.as_ref().is_some_and(KeyState::is_marked);
        let claimed_here = is_marked && !routed.is_idempotent();
        let is_unsent = self.history.is_unsent();
        is_unsent && allowed && !claimed_here && spill::is_spillable(refusal.kind)
    }

    async fn spill(&mut self, refusal: Refusal) -> Result<()> {
        self.mark_key(KeyState::mark_handed_on).await?;
        self.stage = Stage::KeyOrSpill;
        spill::try_data_centres(self, refusal).await
    }
}
