//! Sends a granted request to its target once and reports its progress to the dispatcher.

use std::rc::Rc;
use std::time::Duration;

use derive_more::From;
use futures::FutureExt;
use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::attempts::Failure;
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
use crate::request::send_observer::SendObserver;
use crate::rollouts::lane;
use crate::targets::engine_run::{self, EngineRequest, RunOutcome};
use crate::targets::engine_stream::EngineStream;
use crate::targets::forward::{Forwarder, SendFailure};
use crate::targets::paths;
use crate::targets::protocol::OutgoingRequest;
use crate::targets::proxied_request::ProxiedRequest;
use crate::targets::sendable;
use crate::targets::transport::Transport;

/// Result of one send.
pub type Result<T, E = SendError> = std::result::Result<T, E>;

/// Reason why a send ended without a complete answer.
#[derive(From)]
pub enum SendError {
    /// The send failed or was stopped.
    Failed(SendFailure),
    /// Another target resumes the answer under this grant.
    Migrated(HeldGrant),
}

impl Execution<'_> {
    /// Sends the request to the target of `grant`.
    ///
    /// # Errors
    ///
    /// The answer is not complete. The error says whether the target may have run the request.
    pub async fn send(&mut self, grant: HeldGrant) -> Result<()> {
        let (daemon, routed) = (self.daemon, self.routed);
        daemon.record(
            EventKind::Dispatched,
            routed.subject(String::new(), Some(&grant.target.id)),
        );
        let usable = sendable::until_usable(daemon, &routed.route.pool, &grant.target).await;
        let target = usable.map_err(SendFailure::new)?;
        self.check_version(&target).map_err(SendFailure::new)?;
        let pool = &routed.route.pool;
        lane::check(daemon, pool, &target).map_err(SendFailure::new)?;
        self.history.record_send(&grant.target);
        if let Some(permit) = self.retry.take() {
            permit.spend();
        }
        grant.record_decoded(0);
        let observer = Rc::new(SendObserver::new(self, grant, &target));
        let (sent, decoded, prefill) = match &routed.caller.operation {
            Operation::Generate { .. } => {
                let ended = self.generate(&observer, &target).await;
                let result = ended
                    .result
                    .map_err(|refusal| SendFailure::new(refusal).into());
                (result, ended.decoded, ended.prefill)
            }
            Operation::Proxy(proxied) => {
                let sent = self.forward(&observer, &target, proxied).await;
                (sent, observer.tokens.get(), None)
            }
        };
        if self.history.delivered.events > 0 {
            let origin = &mut self.history.prior.origin;
            *origin = routed.origin_after(daemon, *origin, &target);
        }
        self.history.delivered.began_at = observer.first_event_at.get();
        let grant = &observer.grant;
        let sent = match sent {
            Err(SendError::Failed(failed)) => {
                Err(self.with_path_fault(&grant.target, failed).await.into())
            }
            sent => sent,
        };
        // A pause controls the flow; it is no error of the target.
        let outcome = match observer.was_pushed_back.get() {
            true => Outcome::Unused,
            false => outcome(&sent),
        };
        if let Some(record) = &observer.rollout {
            record.end(outcome);
        }
        grant.finish(outcome, decoded, prefill);
        sent
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
    async fn with_path_fault(
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
    fn max_idle(&self) -> Duration {
        if self.routed.is_retryable() {
            client::MAX_IDLE
        } else {
            Duration::from_millis(self.daemon.cfg.unrepeatable_rest_ms)
        }
    }

    async fn forward(
        &mut self,
        observer: &SendObserver,
        target: &Target,
        proxied: &ProxiedRequest,
    ) -> Result<()> {
        let (daemon, routed, buffer) = (self.daemon, self.routed, self.buffer);
        let after = self.history.delivered.last_event.clone();
        let sending = OutgoingRequest {
            after: after.as_deref(),
            caller: &routed.caller,
            id: &routed.id,
            remaining: routed.time_left(),
            proxied,
            target,
        };
        let transport = Transport::new(self, target);
        let forwarding = Forwarder {
            bounds: daemon.bounds(),
            client: &daemon.client,
            observer,
            protocol: &*daemon.ports.targets,
            rest: self.max_idle(),
            transport: &transport,
            buffer,
            stream: routed.route.terms.stream,
        };
        let restarted = async {
            daemon.live_list.superseded(&observer.grant.target).await;
            SendError::from(target_restarted(buffer))
        };
        let can_retry = self.history.can_retry(buffer);
        let cut = async {
            transport.cut().await;
            if !can_retry() || !daemon.retry_budgets.has_budget(&routed.route.pool) {
                return future::pending().await;
            }
            SendError::from(path_lost(buffer))
        };
        let resumable = self.history.can_resume();
        let (prior, delivered) = (&self.history.prior, &mut self.history.delivered);
        let migrated = async {
            let grant = routed.migration_grant(observer, resumable, prior).await;
            SendError::from(grant)
        };
        let stops = [
            cut.boxed_local(),
            restarted.boxed_local(),
            migrated.boxed_local(),
        ];
        let sent = forwarding.send(&sending, delivered);
        pin_mut!(sent);
        match future::select(sent, future::select_all(stops)).await {
            Either::Left((sent, _)) => Ok(sent?),
            // Dropping the exchange closes its connection, which makes the target stop.
            Either::Right(((stop, ..), _)) => Err(stop),
        }
    }
}

fn outcome(sent: &Result<()>) -> Outcome {
    match sent {
        Ok(()) => Outcome::Complete,
        Err(SendError::Migrated(_)) => Outcome::Cancelled,
        Err(SendError::Failed(failed)) => match failed {
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
        },
    }
}

/// Failure of a send whose answer can't arrive, since this daemon has lost its path to the target.
fn path_lost(buffer: &AnswerBuffer) -> SendFailure {
    let message = "the path to the target was lost, while others reach it";
    let refusal = Refusal::new(ErrorKind::TargetSilent, message);
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
fn target_restarted(buffer: &AnswerBuffer) -> SendFailure {
    let refusal = Refusal::new(ErrorKind::TargetFailed, "the target has started again");
    let mut lost = SendFailure::new(refusal.ran(Executed::Maybe).connection_lost());
    lost.ended_by = EndedBy::Restart;
    if buffer.has_head() {
        lost.failure = Failure::BrokenOff;
    }
    lost
}
