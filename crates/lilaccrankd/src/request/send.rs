//! Sends a granted request to its target, once, and tells the dispatcher what is seen of it.

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
use lilaccrank::timeline::EventKind;
use lilaccrank_http::client;

use crate::callers::caller_request::Work;
use crate::callers::refusal::Refusal;
use crate::daemon::Daemon;
use crate::pools::client::Held;
use crate::request::life::Routed;
use crate::request::run::Run;
use crate::request::sends::Sends;
use crate::targets::engine_run::{self, Ended, EngineRequest, Observer};
use crate::targets::engine_stream::EngineStream;
use crate::targets::forward::{self, Failed, Forwarding, Passed};
use crate::targets::protocol::{RateLimit, Sending};
use crate::targets::proxied::Proxied;

/// Result of one send.
pub type Result<T, E = Unfinished> = std::result::Result<T, E>;

/// Why a send ended without a whole answer.
#[derive(From)]
pub enum Unfinished {
    /// It failed, or was stopped.
    Failed(Failed),
    /// Another target resumes the answer, by this grant.
    Migrated(Held),
}

/// How often the dispatcher hears of the tokens of a stream.
const PROGRESS_EVERY: Duration = Duration::from_millis(250);

impl Routed {
    /// Sends the request to the target that `held` grants.
    ///
    /// # Errors
    ///
    /// There is no whole answer; the error says whether the target may have run the request.
    pub async fn send(
        &self,
        daemon: &Rc<Daemon>,
        run: &Run,
        held: Held,
        sends: &mut Sends,
    ) -> Result<()> {
        daemon.record(
            EventKind::Dispatched,
            self.subject(String::new(), Some(&held.target.id)),
        );
        let (sent, decoded, prefill) = match daemon.target(&self.route.pool, &held.target) {
            None => (Err(removed().into()), 0, None),
            Some(target) => match &self.caller.work {
                Work::Generate { .. } => {
                    let ended = self.generate(daemon, run, &held, &target).await;
                    let result = ended.result.map_err(|refusal| failed(refusal).into());
                    (result, ended.decoded, ended.prefill)
                }
                Work::Proxy(proxied) => {
                    let seen = Seen::new(self, daemon, &held, &sends.passed);
                    let sent = self.forward(&seen, run, &target, proxied, sends).await;
                    (sent, seen.tokens.get(), None)
                }
            },
        };
        held.ended(outcome(&sent), decoded, prefill);
        sent
    }

    async fn generate(
        &self,
        daemon: &Rc<Daemon>,
        run: &Run,
        held: &Held,
        target: &Target,
    ) -> Ended {
        let Work::Generate {
            body,
            shape,
            stream,
            ..
        } = &self.caller.work
        else {
            unreachable!("only model requests are generated");
        };
        let req = EngineRequest {
            answer_limit: daemon.cfg.answer_limit,
            body: body.clone(),
            key: self.caller.facts.key.as_deref(),
            shape: *shape,
            stream: *stream,
        };
        let address = target.address.clone();
        let client = daemon.client.clone();
        let engine = EngineStream::new(client, address, self.id.clone(), daemon.patience());
        let seen = Seen::new(self, daemon, held, &Passed::default());
        let interrupted = self.interrupted(daemon, run);
        engine_run::run(engine, req, run, &seen, interrupted).await
    }

    /// Longest rest of a connection to a target that the request may go out on.
    ///
    /// An idle connection may have died without a word, and a request sent on it could neither be
    /// called not run nor be sent again: what is not sent again goes out on a new one, or on one
    /// that has just answered.
    fn rest(&self, daemon: &Daemon) -> Duration {
        if self.may_run_again() {
            client::PROVED_FOR
        } else {
            Duration::from_millis(daemon.cfg.unrepeatable_rest_ms)
        }
    }

    async fn forward(
        &self,
        seen: &Seen<'_>,
        run: &Run,
        target: &Target,
        proxied: &Proxied,
        sends: &mut Sends,
    ) -> Result<()> {
        let daemon = seen.daemon;
        let after = sends.passed.last_event.clone();
        let sending = Sending {
            after: after.as_deref(),
            caller: &self.caller,
            id: &self.id,
            left: self.left(),
            proxied,
            target,
        };
        let forwarding = Forwarding {
            bounds: daemon.bounds(),
            client: &daemon.client,
            observer: seen,
            protocol: &*daemon.ports.targets,
            rest: self.rest(daemon),
            run,
            stream: self.route.terms.stream,
        };
        let interrupted = async {
            let refusal = self.interrupted(daemon, run).await;
            Unfinished::from(failed(refusal.ran(Executed::Maybe)))
        };
        let restarted = async {
            daemon.live_list.is_over(&seen.held.target).await;
            Unfinished::from(lost_with_its_target(run))
        };
        let resumable = sends.can_resume();
        let (prior, passed) = (&sends.prior, &mut sends.passed);
        let migrated = async {
            let held = self.migration(seen, resumable, prior).await;
            Unfinished::from(held)
        };
        let stops = [
            interrupted.boxed_local(),
            restarted.boxed_local(),
            migrated.boxed_local(),
        ];
        let sent = forwarding.send(&sending, passed);
        pin_mut!(sent);
        match future::select(sent, future::select_all(stops)).await {
            Either::Left((sent, _)) => Ok(sent?),
            // Dropping the exchange closes its connection, which tells the target to stop.
            Either::Right(((stop, ..), _)) => Err(stop),
        }
    }
}

/// Passes what the target does on to the dispatcher and the metrics.
pub struct Seen<'a> {
    /// The daemon.
    pub daemon: &'a Rc<Daemon>,
    /// The grant that is used.
    pub held: &'a Held,
    reported: Cell<u32>,
    reported_at: Cell<Instant>,
    stream_progress: Cell<StreamProgress>,
    tokens: Cell<u32>,
    tokens_in_event: u32,
    waited: Duration,
}

impl<'a> Seen<'a> {
    fn new(routed: &Routed, daemon: &'a Rc<Daemon>, held: &'a Held, passed: &Passed) -> Self {
        let tokens_in_event = daemon.tokens_in_event(&routed.route.pool);
        let earlier = passed.events.saturating_mul(tokens_in_event);
        Self {
            daemon,
            held,
            reported: Cell::new(0),
            reported_at: Cell::new(Instant::now()),
            stream_progress: Cell::new(StreamProgress::new(earlier, routed.deadline())),
            tokens: Cell::new(0),
            tokens_in_event,
            waited: routed.arrived.elapsed(),
        }
    }
}

impl Seen<'_> {
    /// Progress of the answer.
    #[must_use]
    pub fn stream_progress(&self) -> StreamProgress {
        self.stream_progress.get()
    }
}

impl Observer for Seen<'_> {
    fn first_token(&self, after: Duration) {
        let total = self.waited + after;
        self.daemon.metrics.first_token.observe(total.as_secs_f64());
        self.held.report(ReportKind::FirstToken { after });
    }

    fn progress(&self, tokens: u32, step: Duration) {
        self.held.report(ReportKind::Progress { step, tokens });
    }
}

impl forward::Observer for Seen<'_> {
    fn rate_limit(&self, limit: RateLimit) {
        let cell = &self.daemon.load_exchange;
        self.daemon
            .advisories
            .rate_limited(&self.held.target, limit, cell);
    }

    fn event(&self, first: bool, since_sent: Duration) {
        self.tokens.set(self.tokens.get() + self.tokens_in_event);
        let now = Instant::now();
        let mut stream_progress = self.stream_progress.get();
        stream_progress.record_tokens(self.tokens_in_event, now);
        self.stream_progress.set(stream_progress);
        if first {
            self.first_token(since_sent);
            self.reported.set(self.tokens.get());
            self.reported_at.set(now);
            return;
        }
        let since = now - self.reported_at.get();
        let new = self.tokens.get() - self.reported.get();
        if since >= PROGRESS_EVERY && new > 0 {
            self.progress(new, since / new);
            self.reported.set(self.tokens.get());
            self.reported_at.set(now);
        }
    }
}

fn outcome(sent: &Result<()>) -> Outcome {
    match sent {
        Ok(()) => Outcome::Complete,
        Err(Unfinished::Migrated(_)) => Outcome::Cancelled,
        Err(Unfinished::Failed(failed)) => match failed {
            failed if failed.refusal.kind.is_unrelated_to_target() => Outcome::Cancelled,
            failed if failed.refusal.kind == ErrorKind::NoTarget => Outcome::Unused,
            failed if failed.answer.is_some() => Outcome::Erred,
            failed if failed.how == Failure::NotRun => Outcome::Erred,
            _ => Outcome::Failed,
        },
    }
}

/// A send that ended with this refusal; the target got nothing if it says "not run".
fn failed(refusal: Refusal) -> Failed {
    let how = match refusal.ran {
        Executed::No => Failure::Unsent,
        Executed::Maybe => Failure::Failed,
    };
    Failed {
        answer: None,
        how,
        refusal,
    }
}

/// The process that ran the request is gone, as after a crash.
///
/// Its connection may stay open without a word: a request on it would hang until its deadline, and
/// hold a slot that nobody has.
fn lost_with_its_target(run: &Run) -> Failed {
    let refusal = Refusal::new(ErrorKind::TargetFailed, "the target has started again");
    let mut lost = failed(refusal.ran(Executed::Maybe).connection_lost());
    if run.has_head() {
        lost.how = Failure::BrokenOff;
    }
    lost
}

fn removed() -> Failed {
    failed(Refusal::new(ErrorKind::NoTarget, "the target was removed"))
}
