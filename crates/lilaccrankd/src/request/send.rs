//! Sends a granted request to its target once and reports its progress to the dispatcher.

use std::cell::Cell;
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
use lilaccrank::stream_progress::StreamProgress;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank::timeline::EventKind;
use lilaccrank_http::client;

use crate::callers::caller_request::Operation;
use crate::callers::refusal::Refusal;
use crate::daemon::Daemon;
use crate::pools::client::HeldGrant;
use crate::request::answer_buffer::AnswerBuffer;
use crate::request::lifecycle::{self, RoutedRequest};
use crate::request::send_history::SendHistory;
use crate::targets::engine_run::{self, EngineRequest, Observer, RunOutcome};
use crate::targets::engine_stream::EngineStream;
use crate::targets::forward::{self, Delivered, Forwarder, SendFailure};
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

impl RoutedRequest {
    /// Sends the request to the target of `grant`.
    ///
    /// # Errors
    ///
    /// The answer is not complete. The error says whether the target may have run the request.
    pub async fn send(
        &self,
        daemon: &Rc<Daemon>,
        buffer: &AnswerBuffer,
        grant: HeldGrant,
        history: &mut SendHistory,
    ) -> Result<()> {
        daemon.record(
            EventKind::Dispatched,
            self.subject(String::new(), Some(&grant.target.id)),
        );
        let checked = sendable::until_usable(daemon, &self.route.pool, &grant.target).await;
        let observer = SendObserver::new(self, daemon, &grant, &history.delivered);
        let (sent, decoded, prefill) = match checked {
            Err(refusal) => (Err(SendFailure::new(refusal).into()), 0, None),
            Ok(target) => match &self.caller.operation {
                Operation::Generate { .. } => {
                    let ended = self.generate(&observer, buffer, &target).await;
                    let result = ended
                        .result
                        .map_err(|refusal| SendFailure::new(refusal).into());
                    (result, ended.decoded, ended.prefill)
                }
                Operation::Proxy(proxied) => {
                    let sent = self
                        .forward(&observer, buffer, &target, proxied, history)
                        .await;
                    (sent, observer.tokens.get(), None)
                }
            },
        };
        let sent = match sent {
            Err(SendError::Failed(failed)) => Err(self
                .with_path_fault(daemon, &grant.target, failed)
                .await
                .into()),
            sent => sent,
        };
        // A pause controls the flow; it is no error of the target.
        let outcome = match observer.was_pushed_back.get() {
            true => Outcome::Unused,
            false => outcome(&sent),
        };
        grant.finish(outcome, decoded, prefill);
        sent
    }

    /// Tells whether a connection that was lost is the fault of this daemon's path, which a probe
    /// shows. What happened to the path says nothing about the target.
    async fn with_path_fault(
        &self,
        daemon: &Rc<Daemon>,
        instance: &TargetInstance,
        mut failed: SendFailure,
    ) -> SendFailure {
        let target = daemon.target(&self.route.pool, instance);
        if let Some(target) = target.filter(|_| failed.refusal.connection_lost) {
            failed.is_path_fault = daemon.paths.is_down(instance)
                || !paths::probe(daemon, &self.route.pool, &target).await;
        }
        failed
    }

    async fn generate(
        &self,
        observer: &SendObserver<'_>,
        buffer: &AnswerBuffer,
        target: &Target,
    ) -> RunOutcome {
        let daemon = observer.daemon;
        let Operation::Generate {
            body,
            answer_format,
            stream,
            ..
        } = &self.caller.operation
        else {
            unreachable!("only model requests are generated");
        };
        let req = EngineRequest {
            answer_limit: daemon.cfg.answer_limit,
            body: body.clone(),
            key: self.caller.facts.key.as_deref(),
            format: *answer_format,
            stream: *stream,
        };
        let client = daemon.client.clone();
        let transport = self.transport(daemon, target);
        let engine = EngineStream::new(
            client,
            transport,
            self.id.clone(),
            daemon.silence_timeouts(),
        );
        let interrupted = self.interrupted(daemon, buffer);
        engine_run::run(engine, req, buffer, observer, interrupted).await
    }

    fn transport(&self, daemon: &Rc<Daemon>, target: &Target) -> Transport {
        let log_id = self.log_id();
        Transport::new(daemon, &self.route.pool, target, self.deadline(), log_id)
    }

    /// Longest idle time of a connection to a target that the request may reuse.
    ///
    /// An idle connection may be dead without notice. A request that was sent on such a connection
    /// may have run, so it could neither be reported as not run nor be sent again. A request that
    /// can't be retried therefore uses a new connection, or one that has just served an answer.
    fn max_idle(&self, daemon: &Daemon) -> Duration {
        if self.is_retryable() {
            client::MAX_IDLE
        } else {
            Duration::from_millis(daemon.cfg.unrepeatable_rest_ms)
        }
    }

    async fn forward(
        &self,
        send_observer: &SendObserver<'_>,
        buffer: &AnswerBuffer,
        target: &Target,
        proxied: &ProxiedRequest,
        history: &mut SendHistory,
    ) -> Result<()> {
        let daemon = send_observer.daemon;
        let after = history.delivered.last_event.clone();
        let sending = OutgoingRequest {
            after: after.as_deref(),
            caller: &self.caller,
            id: &self.id,
            remaining: self.time_left(),
            proxied,
            target,
        };
        let transport = self.transport(daemon, target);
        let forwarding = Forwarder {
            bounds: daemon.bounds(),
            client: &daemon.client,
            observer: send_observer,
            protocol: &*daemon.ports.targets,
            rest: self.max_idle(daemon),
            transport: &transport,
            buffer,
            stream: self.route.terms.stream,
        };
        let interrupted = async {
            let refusal = self.interrupted(daemon, buffer).await;
            SendError::from(SendFailure::new(refusal.ran(Executed::Maybe)))
        };
        let restarted = async {
            daemon
                .live_list
                .superseded(&send_observer.grant.target)
                .await;
            SendError::from(target_restarted(buffer))
        };
        let can_retry = history.can_retry(buffer);
        let cut = async {
            transport.cut().await;
            if !can_retry() || !daemon.retry_budgets.has_budget(&self.route.pool) {
                return future::pending().await;
            }
            SendError::from(path_lost(buffer))
        };
        let resumable = history.can_resume();
        let (prior, delivered) = (&history.prior, &mut history.delivered);
        let migrated = async {
            let grant = self.migration_grant(send_observer, resumable, prior).await;
            SendError::from(grant)
        };
        let stops = [
            interrupted.boxed_local(),
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
pub struct SendObserver<'a> {
    /// The daemon that sends.
    pub daemon: &'a Rc<Daemon>,
    /// Grant of the target.
    pub grant: &'a HeldGrant,
    reported_tokens: Cell<u32>,
    last_report_at: Cell<Instant>,
    stream_progress: Cell<StreamProgress>,
    tokens: Cell<u32>,
    tokens_in_event: u32,
    elapsed_before_send: Duration,
    /// Set once the target has asked for a pause.
    was_pushed_back: Cell<bool>,
}

impl<'a> SendObserver<'a> {
    fn new(
        routed: &RoutedRequest,
        daemon: &'a Rc<Daemon>,
        grant: &'a HeldGrant,
        delivered: &Delivered,
    ) -> Self {
        let tokens_in_event = daemon.tokens_in_event(&routed.route.pool);
        let earlier_tokens = delivered.events.saturating_mul(tokens_in_event);
        Self {
            daemon,
            grant,
            reported_tokens: Cell::new(0),
            last_report_at: Cell::new(Instant::now()),
            stream_progress: Cell::new(StreamProgress::new(earlier_tokens, routed.deadline())),
            tokens: Cell::new(0),
            tokens_in_event,
            elapsed_before_send: routed.arrived.elapsed(),
            was_pushed_back: Cell::new(false),
        }
    }
}

impl SendObserver<'_> {
    /// Progress of the answer so far.
    #[must_use]
    pub fn stream_progress(&self) -> StreamProgress {
        self.stream_progress.get()
    }
}

impl Observer for SendObserver<'_> {
    fn first_token(&self, after: Duration) {
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

impl forward::Observer for SendObserver<'_> {
    fn brittleness(&self, limit: Option<u32>) {
        let exchange = &self.daemon.load_exchange;
        self.daemon
            .advisories
            .record_brittle(&self.grant.target, limit, exchange);
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
        let now = Instant::now();
        let mut stream_progress = self.stream_progress.get();
        stream_progress.record_tokens(self.tokens_in_event, now);
        self.stream_progress.set(stream_progress);
        if first {
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
