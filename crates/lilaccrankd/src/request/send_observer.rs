//! Reports the progress of a send.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use lilaccrank::dispatch::message::{Outcome, ReportKind};
use lilaccrank::document::Target;
use lilaccrank::ids::{ContentDigest, PoolId};
use lilaccrank::software_version::VersionDigest;
use lilaccrank::stream_origins::Record;
use lilaccrank::stream_progress::StreamProgress;

use crate::daemon::Daemon;
use crate::pools::client::HeldGrant;
use crate::request::admission::InProgress;
use crate::request::execution::Execution;
use crate::request::lifecycle;
use crate::request::race::{Race, Side};
use crate::rollouts::send_record::SendRecord;
use crate::targets::engine_run::Observer;
use crate::targets::forward;
use crate::targets::protocol::RateLimit;

/// Least time between two progress reports to the dispatcher.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Reports the progress of a send to the dispatcher and the metrics.
pub struct SendObserver {
    /// The daemon that sends.
    pub daemon: Rc<Daemon>,
    /// Grant of the target.
    pub grant: HeldGrant,
    /// Notified when a part of the answer arrives.
    arrived: Event,
    /// The race that decides whether this run delivers the answer.
    race: RefCell<Option<(Rc<Race>, Side)>>,
    reported_tokens: Cell<u32>,
    last_report_at: Cell<Instant>,
    /// Parts of the prompt, until the target has gone on with the answer.
    unproven_parts: RefCell<Vec<ContentDigest>>,
    pub(super) first_event_at: Cell<Option<Instant>>,
    stream_progress: Cell<StreamProgress>,
    pub(super) tokens: Cell<u32>,
    tokens_in_event: u32,
    elapsed_before_send: Duration,
    /// Pool of the target.
    pool: PoolId,
    /// Record of the stream, if others may resume it.
    record: Option<Record>,
    /// What the send tells about a version that is being rolled out.
    pub(super) rollout: Option<SendRecord>,
    /// Version of the target's software by the list at the send; `None` if unknown.
    pub version: Option<VersionDigest>,
    /// Set once the target has asked for a pause.
    pub(super) was_pushed_back: Cell<bool>,
    /// A daemon that ends waits until targets were told to cancel their work.
    _in_progress: Rc<InProgress>,
}

impl SendObserver {
    /// Creates the observer of a send of `execution` to `target`.
    #[must_use]
    pub fn new(execution: &Execution<'_>, grant: HeldGrant, target: &Target) -> Self {
        let (daemon, routed) = (execution.daemon, execution.routed);
        let tokens_in_event = daemon.tokens_in_event(&routed.route.pool);
        let delivered = &execution.history.delivered;
        let version = VersionDigest::of(target);
        let origin = execution.history.prior.origin.after(version);
        let earlier_tokens = delivered.events().saturating_mul(tokens_in_event);
        Self {
            daemon: Rc::clone(daemon),
            grant,
            arrived: Event::new(),
            race: RefCell::default(),
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

    /// Progress of the answer so far.
    #[must_use]
    pub fn stream_progress(&self) -> StreamProgress {
        self.stream_progress.get()
    }

    /// Ends the run and releases its slot.
    pub(super) fn end(&self, outcome: Outcome, decoded: u32, prefill: Option<u32>) {
        // A pause controls the flow; it is no error of the target.
        let outcome = match self.was_pushed_back.get() {
            true => Outcome::Unused,
            false => outcome,
        };
        if let Some(record) = &self.rollout {
            record.end(outcome);
        }
        self.grant.finish(outcome, decoded, prefill);
    }

    /// Makes the delivery of the answer depend on a race.
    pub fn enter(&self, race: &Rc<Race>, side: Side) {
        self.race.replace(Some((Rc::clone(race), side)));
    }

    /// Completes when the next part of the answer arrives.
    pub async fn event_arrived(&self) {
        self.arrived.listen().await;
    }

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
    fn claim(&self) -> bool {
        self.arrived.notify(usize::MAX);
        let race = self.race.borrow();
        race.as_ref().is_none_or(|(race, side)| race.claim(*side))
    }

    fn brittleness(&self, limit: Option<u32>) {
        let daemon = &self.daemon;
        let target = &self.grant.target;
        let known = daemon.pool_server.brittle_limit(target.digest());
        daemon
            .advisories
            .record_brittle(target, limit, known.is_some(), &daemon.load_exchange);
    }

    fn head(&self) {
        self.grant.report(ReportKind::Head);
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

    fn paused(&self) {
        let mut stream_progress = self.stream_progress.get();
        stream_progress.pause(Instant::now());
        self.stream_progress.set(stream_progress);
        self.progress(0, Duration::ZERO);
    }

    fn resumed(&self) {
        let mut stream_progress = self.stream_progress.get();
        let pause = stream_progress.resume(Instant::now());
        self.stream_progress.set(stream_progress);
        self.last_report_at.set(self.last_report_at.get() + pause);
    }

    fn event(&self, first: bool, since_sent: Duration) {
        let tokens = self.tokens.get().saturating_add(self.tokens_in_event);
        self.tokens.set(tokens);
        self.grant.record_decoded(tokens);
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
