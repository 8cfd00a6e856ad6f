//! Sends a granted request to its target once and reports its progress to the dispatcher.

use std::rc::Rc;
use std::time::Duration;

use lilaccrank::attempts::Failure;
use lilaccrank::clock;
use lilaccrank::dispatch::message::Outcome;
use lilaccrank::document::Target;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::software_version::VersionDigest;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank::timeline::EventKind;
use lilaccrank_http::client;

use crate::callers::caller_request::Operation;
use crate::callers::refusal::{self, Refusal};
use crate::pools::client::HeldGrant;
use crate::request::answer_buffer::AnswerBuffer;
use crate::request::ended_by::EndedBy;
use crate::request::execution::Execution;
use crate::request::run::Sent;
use crate::request::send_observer::SendObserver;
use crate::rollouts::lane;
use crate::targets::engine_run::{self, EngineRequest, RunOutcome};
use crate::targets::engine_stream::EngineStream;
use crate::targets::forward::{self, SendFailure};
use crate::targets::paths;
use crate::targets::sendable;
use crate::targets::transport::Transport;

/// Why a run is to be taken over whose answer can't arrive here.
pub(super) const PATH_LOST: &str = "the path to the target was lost, while others reach it";
/// Why a run is to be taken over whose target process is gone.
pub(super) const RESTARTED: &str = "the target has started again";

/// A send that has ended, with the target whose run was the last.
pub type Ended = (TargetInstance, forward::Result<()>);

impl<'a> Execution<'a> {
    /// Sends the request to the target of `grant`, and to others that take over from it. The answer is
    /// complete, or the error says whether the last target may have run the request.
    pub async fn send(&mut self, grant: HeldGrant) -> Ended {
        let (daemon, routed) = (self.daemon, self.routed);
        daemon.record(
            EventKind::Dispatched,
            routed.subject(String::new(), Some(&grant.target.id)),
        );
        let target = match self.usable(&grant.target).await {
            Ok(target) => target,
            Err(refusal) => return (grant.target.clone(), Err(SendFailure::new(refusal))),
        };
        match &routed.caller.operation {
            Operation::Generate { .. } => self.send_to_engine(grant, target).await,
            Operation::Proxy(proxied) => {
                let run = self.begin_run(grant, target, proxied);
                let (sent, ended) = self.carry(run, proxied).await;
                let instance = sent.instance().clone();
                let ended = match ended {
                    Err(failed) => Err(self.with_path_fault(&instance, failed).await),
                    ended => ended,
                };
                self.end_run(&sent, outcome(&ended));
                (instance, ended)
            }
        }
    }

    /// Returns the target of a grant if it may get the request now.
    ///
    /// # Errors
    ///
    /// The refusal, which says that the request was not sent.
    pub(super) async fn usable(&self, instance: &TargetInstance) -> refusal::Result<Target> {
        let (daemon, pool) = (self.daemon, &self.routed.route.pool);
        let target = sendable::until_usable(daemon, pool, instance).await?;
        self.check_version(&target)?;
        lane::check(daemon, pool, &target)?;
        Ok(target)
    }

    async fn send_to_engine(&mut self, grant: HeldGrant, target: Target) -> Ended {
        let instance = grant.target.clone();
        self.record_send(&grant);
        let observer = Rc::new(SendObserver::new(self, grant, &target));
        let RunOutcome {
            decoded,
            prefill,
            result,
        } = self.generate(&observer, &target).await;
        let ended = match result {
            Err(refusal) => Err(self
                .with_path_fault(&instance, SendFailure::new(refusal))
                .await),
            Ok(()) => Ok(()),
        };
        self.history.delivered.began_at = observer.first_event_at.get();
        observer.end(outcome(&ended), decoded, prefill);
        (instance, ended)
    }

    /// Records that a request is about to be sent under `grant`.
    pub(super) fn record_send(&mut self, grant: &HeldGrant) {
        self.history.record_send(&grant.target);
        if let Some(permit) = self.retry.take() {
            permit.spend();
        }
        grant.record_decoded(0);
    }

    /// Ends the run of a forwarded request and releases its slot.
    pub(super) fn end_run(&mut self, sent: &Sent, outcome: Outcome) {
        let observer = &sent.observer;
        self.record_origin(sent);
        self.history.delivered.began_at = observer.first_event_at.get();
        observer.end(outcome, observer.tokens.get(), None);
    }

    /// Records which version has begun the stream, if a run has delivered events of it.
    pub(super) fn record_origin(&mut self, sent: &Sent) {
        if sent.observer.first_event_at.get().is_some() {
            let origin = &mut self.history.prior.origin;
            *origin = self.routed.origin_after(self.daemon, *origin, &sent.target);
        }
    }

    /// Checks the target's version by the list at the send, which may be newer than the one by which it
    /// was granted.
    fn check_version(&self, target: &Target) -> refusal::Result<()> {
        let origin = self.history.prior.origin;
        if origin.permits(VersionDigest::of(target)) {
            return Ok(());
        }
        let message = "the target has another software version than the one that began the stream";
        Err(Refusal::new(ErrorKind::NoTarget, message).ran(Executed::No))
    }

    /// Tells whether a connection that was lost is the fault of this daemon's path, which a probe
    /// shows. What happened to the path says nothing about the target.
    pub(super) async fn with_path_fault(
        &self,
        instance: &TargetInstance,
        mut failed: SendFailure,
    ) -> SendFailure {
        let (daemon, pool) = (self.daemon, &self.routed.route.pool);
        let target = daemon.target(pool, instance);
        if let Some(target) = target.filter(|_| failed.refusal.connection_lost) {
            failed.is_path_fault =
                daemon.paths.is_down(instance) || !paths::probe(daemon, pool, &target).await;
            if failed.is_path_fault {
                failed.ended_by = EndedBy::Path;
            }
        }
        failed
    }

    async fn generate(&self, observer: &Rc<SendObserver>, target: &Target) -> RunOutcome {
        let (daemon, caller) = (self.daemon, &self.routed.caller);
        let Operation::Generate {
            body,
            answer_format,
            stream,
            ..
        } = &caller.operation
        else {
            unreachable!("only model requests are generated");
        };
        let req = EngineRequest {
            answer_limit: daemon.cfg.answer_limit,
            body: body.clone(),
            key: caller.facts.key.as_deref(),
            format: *answer_format,
            stream: *stream,
        };
        let engine = EngineStream::new(
            daemon.client.clone(),
            Transport::new(self, target),
            self.routed.id.clone(),
            daemon.silence_timeouts(),
        );
        engine_run::run(engine, req, self.buffer, observer).await
    }

    /// Longest idle time of a connection to a target that the request may reuse.
    ///
    /// An idle connection may be dead without notice. A request that was sent on such a connection
    /// may have run, so it could neither be reported as not run nor be sent again. A request that
    /// can't be retried therefore uses a new connection, or one that has just served an answer.
    pub(super) fn max_idle(&self) -> Duration {
        if self.routed.is_retryable() {
            client::MAX_IDLE
        } else {
            clock::millis(self.daemon.cfg.unrepeatable_rest_ms)
        }
    }
}

fn outcome(ended: &forward::Result<()>) -> Outcome {
    match ended {
        Ok(()) => Outcome::Complete,
        Err(failed) => outcome_of(failed),
    }
}

/// Outcome of a run that failed, for the dispatcher.
pub(super) fn outcome_of(failed: &SendFailure) -> Outcome {
    match failed {
        failed if failed.is_path_fault => Outcome::Unused,
        failed if failed.refusal.kind.is_unrelated_to_target() => match failed.failure {
            Failure::Unsent => Outcome::Unused,
            _ => Outcome::Cancelled,
        },
        failed if failed.refusal.kind == ErrorKind::NoTarget => Outcome::Unused,
        failed if failed.answer.is_some() => Outcome::Erred,
        failed if failed.is_misdirected => Outcome::Misdirected,
        failed if failed.failure == Failure::NotRun => Outcome::TurnedAway,
        _ => Outcome::Failed,
    }
}

/// Failure of a send whose answer can't arrive, since this daemon has lost its path to the target.
pub(super) fn path_lost(buffer: &AnswerBuffer) -> SendFailure {
    let refusal = Refusal::new(ErrorKind::TargetSilent, PATH_LOST);
    let mut lost = SendFailure::new(refusal.ran(Executed::Maybe));
    lost.ended_by = EndedBy::Path;
    lost.is_path_fault = true;
    if buffer.has_head() {
        lost.failure = Failure::BrokenOff;
    }
    lost
}

/// Failure of a send whose target process is gone, as after a crash.
///
/// The connection may stay open without notice. The request would then hang until its deadline and
/// hold a slot that no longer exists.
pub(super) fn target_restarted(buffer: &AnswerBuffer) -> SendFailure {
    let refusal = Refusal::new(ErrorKind::TargetFailed, RESTARTED);
    let mut lost = SendFailure::new(refusal.ran(Executed::Maybe).connection_lost());
    lost.ended_by = EndedBy::Restart;
    if buffer.has_head() {
        lost.failure = Failure::BrokenOff;
    }
    lost
}
