//! Sends a granted request to its target once and reports its progress to the dispatcher.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::From;
use futures::FutureExt;
use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::attempts::Failure;
use lilaccrank::dispatch::message::{Outcome, ReportKind};
use lilaccrank::document::Target;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::ids::{ContentDigest, PoolId};
use lilaccrank::software_version::VersionDigest;
use lilaccrank::stream_origins::Record;
use lilaccrank::stream_progress::StreamProgress;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank::timeline::EventKind;
use lilaccrank_http::client;

use crate::callers::caller_request::Operation;
use crate::callers::refusal::{self, Refusal};
use crate::daemon::{Daemon, InProgress};
use crate::pools::client::HeldGrant;
use crate::request::answer_buffer::AnswerBuffer;
use crate::request::execution::Execution;
use crate::request::lifecycle;
use crate::rollouts::lane;
use crate::rollouts::send_record::SendRecord;
use crate::targets::engine_run::{self, EngineRequest, Observer, RunOutcome};
use crate::targets::engine_stream::EngineStream;
use crate::targets::forward::{self, Forwarder, SendFailure};
use crate::targets::paths;
use crate::targets::protocol::{OutgoingRequest, RateLimit};
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

/// Least time between two progress reports to the dispatcher.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

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

/// Reports the progress of a send to the dispatcher and the metrics.
pub struct SendObserver {
    /// The daemon that sends.
    pub daemon: Rc<Daemon>,
    /// Grant of the target.
    pub grant: HeldGrant,
    reported_tokens: Cell<u32>,
    last_report_at: Cell<Instant>,
    /// Parts of the prompt, until the target has gone on with the answer.
    unproven_parts: RefCell<Vec<ContentDigest>>,
    first_event_at: Cell<Option<Instant>>,
    stream_progress: Cell<StreamProgress>,
    tokens: Cell<u32>,
    tokens_in_event: u32,
    elapsed_before_send: Duration,
    /// Pool of the target.
    pool: PoolId,
    /// Record of the stream, if others may resume it.
    record: Option<Record>,
    /// What the send tells about a version that is being rolled out.
    rollout: Option<SendRecord>,
    /// Version of the target's software by the list at the send; `None` if unknown.
    pub version: Option<VersionDigest>,
    /// Set once the target has asked for a pause.
    was_pushed_back: Cell<bool>,
    /// A daemon that ends waits until targets were told to cancel their work.
    _in_progress: Rc<InProgress>,
}

impl SendObserver {
    fn new(execution: &Execution<'_>, grant: HeldGrant, target: &Target) -> Self {
        let (daemon, routed) = (execution.daemon, execution.routed);
        let tokens_in_event = daemon.tokens_in_event(&routed.route.pool);
        let delivered = &execution.history.delivered;
        let version = VersionDigest::of(target);
        let origin = execution.history.prior.origin.after(version);
        let earlier_tokens = delivered.events.saturating_mul(tokens_in_event);
        Self {
            daemon: Rc::clone(daemon),
            grant,
            reported_tokens: Cell::new(0),
            last_report_at: Cell::new(Instant::now()),
            unproven_parts: RefCell::new(routed.caller.shared_parts.clone()),
            first_event_at: Cell::new(None),
            stream_progress: Cell::new(StreamProgress::new(earlier_tokens, routed.deadline())),
            tokens: Cell::new(0),
            tokens_in_event,
            elapsed_before_send: routed.arrived.elapsed(),
            pool: routed.route.pool.clone(),
            record: routed.stream_record(origin, target),
            rollout: SendRecord::new(daemon, routed, target),
            version,
            was_pushed_back: Cell::new(false),
            _in_progress: Rc::clone(execution.in_progress),
        }
    }
}

impl SendObserver {
    /// Progress of the answer so far.
    #[must_use]
    pub fn stream_progress(&self) -> StreamProgress {
        self.stream_progress.get()
    }
}

impl SendObserver {
    /// Records that no part of the prompt crashes targets, once the answer has gone on for long enough.
    fn prove_parts(&self, now: Instant) {
        let since_first = self.first_event_at.get().map(|first| now - first);
        if since_first.is_none_or(|since| since < forward::BEGINNING) {
            return;
        }
        let exchange = &self.daemon.load_exchange;
        let parts = self.unproven_parts.take();
        self.daemon.advisories.record_proven_parts(&parts, exchange);
    }
}

impl Observer for SendObserver {
    fn decoded(&self, tokens: u32) {
        self.grant.record_decoded(tokens);
        self.prove_parts(Instant::now());
    }

    fn first_token(&self, after: Duration) {
        self.first_event_at.set(Some(Instant::now()));
        if let Some(record) = &self.rollout {
            record.begin();
        }
        let total = self.elapsed_before_send + after;
        self.daemon.metrics.first_token.observe(total.as_secs_f64());
        self.grant.report(ReportKind::FirstToken { after });
    }

    fn progress(&self, tokens: u32, step: Duration) {
        self.grant.report(ReportKind::Progress { step, tokens });
    }

    fn leaving(&self) {
        let target = &self.grant.target;
        let exchange = &self.daemon.load_exchange;
        self.daemon.advisories.record_leaving(target, exchange);
    }

    fn pause(&self, pause: Duration) {
        let target = &self.grant.target;
        log::info!(
            pause_ms = lifecycle::log_ms(Some(pause)),
            target = target.id;
            "a target asked for a pause"
        );
        self.was_pushed_back.set(true);
        self.daemon.pauses.record(target, pause, Instant::now());
        self.grant.push_back(pause);
    }
}

impl forward::Observer for SendObserver {
    fn brittleness(&self, limit: Option<u32>) {
        let daemon = &self.daemon;
        let target = &self.grant.target;
        let known = daemon.pool_server.brittle_limit(target.digest());
        daemon
            .advisories
            .record_brittle(target, limit, known.is_some(), &daemon.load_exchange);
    }

    fn leaving(&self) {
        Observer::leaving(self);
    }

    fn pause(&self, pause: Duration) {
        Observer::pause(self, pause);
    }

    fn rate_limit(&self, limit: RateLimit) {
        let exchange = &self.daemon.load_exchange;
        self.daemon
            .advisories
            .record_rate_limit(&self.grant.target, limit, exchange);
    }

    fn event(&self, first: bool, since_sent: Duration) {
        self.tokens.set(self.tokens.get() + self.tokens_in_event);
        self.grant.record_decoded(self.tokens.get());
        let now = Instant::now();
        let mut stream_progress = self.stream_progress.get();
        stream_progress.record_tokens(self.tokens_in_event, now);
        self.prove_parts(now);
        self.stream_progress.set(stream_progress);
        if first {
            if let Some(record) = self.record {
                self.daemon.origins.record_stream(&self.pool, record);
            }
            self.first_token(since_sent);
            self.reported_tokens.set(self.tokens.get());
            self.last_report_at.set(now);
            return;
        }
        let since = now - self.last_report_at.get();
        let new = self.tokens.get() - self.reported_tokens.get();
        if since >= PROGRESS_INTERVAL && new > 0 {
            self.progress(new, since / new);
            self.reported_tokens.set(self.tokens.get());
            self.last_report_at.set(now);
        }
    }
}

fn outcome(sent: &Result<()>) -> Outcome {
    match sent {
        Ok(()) => Outcome::Complete,
        Err(SendError::Migrated(_)) => Outcome::Cancelled,
        Err(SendError::Failed(failed)) => match failed {
            failed if failed.is_path_fault => Outcome::Unused,
            failed if failed.refusal.kind.is_unrelated_to_target() => Outcome::Cancelled,
            failed if failed.refusal.kind == ErrorKind::NoTarget => Outcome::Unused,
            failed if failed.answer.is_some() => Outcome::Erred,
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
    if buffer.has_head() {
        lost.failure = Failure::BrokenOff;
    }
    lost
}
