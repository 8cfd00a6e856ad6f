//! Lifecycle of one routed request: it is executed, settled and ended.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::clock;
use lilaccrank::dispatch::message::{PartialAnswer, Submission};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::ids::{ContentDigest, RequestId, TargetId};
use lilaccrank::rules::matching::Route;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::runtime;

use crate::admin::metrics::EndStats;
use crate::callers::caller_request::{CallerRequest, Continuation, Operation};
use crate::callers::refusal::Result;
use crate::daemon::Daemon;
use crate::request::admission::InProgress;
use crate::request::answer_buffer::{AnswerBuffer, End};
use crate::request::cancellation::Cancellation;
use crate::request::execution::{Execution, Stage};
use crate::request::key_state::KeyState;
use crate::request::quotas::Charge;
use crate::request::send_history::{PriorSends, SendHistory};
use crate::startup;

/// Longest time for which the end of a request waits until its key is settled.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(200);

/// A request with the route that the rules chose for it.
pub struct RoutedRequest {
    /// Time of arrival.
    pub arrived: Instant,
    /// The request as the caller sent it.
    pub caller: CallerRequest,
    /// What it took from its customer's quota; `None` without a quota.
    pub charge: Option<Charge>,
    /// Digest of its content, computed on first use.
    pub content_digest: OnceCell<ContentDigest>,
    /// Id that this daemon gave it.
    pub id: RequestId,
    /// Decision of the rules.
    pub route: Route,
}

/// Runs a request to its end and writes the answer to `buffer`.
pub async fn drive(
    daemon: Rc<Daemon>,
    routed: RoutedRequest,
    key: KeyState,
    buffer: Rc<AnswerBuffer>,
    in_progress: Rc<InProgress>,
) {
    let routed = Rc::new(routed);
    let cancellation = Rc::new(routed.cancellation(&daemon, &buffer));
    let mut execution = Execution {
        buffer: &buffer,
        cancellation: &cancellation,
        daemon: &daemon,
        history: SendHistory::new(&routed),
        in_progress: &in_progress,
        key: Some(key),
        lane: None,
        retry: None,
        routed: &routed,
        stage: Stage::default(),
    };
    // Unboxed, each future that it passes through would hold room for it twice.
    let executed = cancellation.run(Box::pin(execution.run())).await;
    let result = executed.unwrap_or_else(|refusal| execution.cancel(refusal));
    let ended_by = execution.history.ended_by;
    let ended_by = ended_by.map_or(String::new(), |by| by.to_string());
    let key = execution.key;
    let settling = runtime::spawn({
        let (daemon, routed, buffer) = (Rc::clone(&daemon), Rc::clone(&routed), Rc::clone(&buffer));
        let result = result.clone();
        async move { settle(&daemon, &routed, &result, key, &buffer).await }
    });
    // A caller that repeats its request at once should find the key settled. The timeout keeps an
    // unreachable key owner from delaying the end of the answer.
    let _ = monoio::time::timeout(SETTLE_TIMEOUT, settling).await;
    let total_ms = routed.elapsed_ms();
    daemon
        .metrics
        .record_end(routed.end_stats(&daemon, &result, &buffer));
    match result {
        Ok(()) => {
            let timing = buffer.timing();
            log::info!(
                first_ms = timing.first_chunk.map_or(-1, |first| routed.offset_ms(first)),
                parts = timing.chunk_count,
                pause_ms = timing.longest_pause.as_millis() as u64,
                request = routed.log_id(),
                total_ms = total_ms;
                "answered"
            );
            daemon.metrics.record_answer(routed.route.tier);
            startup::record_served(&daemon);
            buffer.finish(End::Complete);
        }
        Err(refusal) => {
            log::info!(
                abandoned_ms = log_ms(buffer.abandoned_for()),
                begun = buffer.has_head(),
                ended_by:% = ended_by,
                kind:% = refusal.kind,
                parts = buffer.timing().chunk_count,
                ran:% = refusal.ran,
                request = routed.log_id(),
                retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
                total_ms = total_ms,
                up_ms = daemon.startup.age().as_millis() as u64,
                why = refusal.message;
                "ended without a whole answer"
            );
            daemon.metrics.record_refusal(refusal.kind);
            startup::record_refused(&daemon);
            buffer.finish(End::Failed(refusal));
        }
    }
}

/// Records the end of a request: refunds its quota if it did not run, releases its key or stores
/// the outcome, and updates the answer cache.
async fn settle(
    daemon: &Daemon,
    routed: &RoutedRequest,
    result: &Result<()>,
    key: Option<KeyState>,
    buffer: &Rc<AnswerBuffer>,
) {
    let kind = match result {
        Ok(()) => EventKind::Ended,
        Err(refusal) if refusal.kind == ErrorKind::Cancelled => EventKind::Cancelled,
        Err(refusal) if refusal.kind == ErrorKind::Overloaded => EventKind::Shed,
        Err(_) => EventKind::Refused,
    };
    let detail = result.as_ref().err().map(ToString::to_string);
    daemon.record(kind, routed.subject(detail.unwrap_or_default(), None));
    let scoped = routed.caller.scoped_key();
    if let (Err(refusal), Some(charge)) = (result, &routed.charge)
        && refusal.ran == Executed::No
    {
        daemon.quotas.refund(charge);
    }
    match (result, key) {
        (Err(refusal), Some(key)) if refusal.ran == Executed::No => key.release().await,
        (_, Some(key)) => {
            let ttl = clock::millis(daemon.cfg.answer_ttl_ms);
            key.end(result, ttl).await;
        }
        (_, None) => {}
    }
    if let Some(scoped) = scoped {
        if result.is_ok() {
            daemon.answer_cache.mark_ended(&scoped, buffer);
        } else {
            daemon.answer_cache.remove(&scoped, buffer);
        }
    }
}

impl RoutedRequest {
    /// Token counts and outcome, for the metrics.
    fn end_stats(&self, daemon: &Daemon, result: &Result<()>, buffer: &AnswerBuffer) -> EndStats {
        let tokens_in_event = daemon.tokens_in_event(&self.route.pool);
        EndStats {
            answer_tokens: buffer.timing().chunk_count.saturating_mul(tokens_in_event),
            kind: result.as_ref().err().map(|refusal| refusal.kind),
            prompt_tokens: self.caller.facts.prompt_tokens,
            tier: self.route.tier,
        }
    }

    /// Id of the request in logs.
    #[must_use]
    pub fn log_id(&self) -> &str {
        self.caller.log_id(&self.id)
    }

    /// Milliseconds since arrival.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Milliseconds from arrival until `at`.
    fn offset_ms(&self, at: Instant) -> i64 {
        let until = at.saturating_duration_since(self.arrived);
        i64::try_from(until.as_millis()).unwrap_or(i64::MAX)
    }

    /// Time from which on the answer has no use: the caller's deadline or the rule's timeout,
    /// whichever is earlier.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let limits = [self.caller.facts.deadline, self.route.terms.timeout()];
        let until = |time_left: Duration| self.arrived + time_left;
        limits.into_iter().flatten().map(until).min()
    }

    /// Time left until [`Self::deadline`]; `None` without one.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        let until = self.deadline()?;
        Some(until.saturating_duration_since(Instant::now()))
    }

    /// Time left of the rule's objective for the next part of the answer, which the caller has
    /// awaited since `since`.
    fn time_to_objective(&self, since: Instant, now: Instant) -> Option<Duration> {
        let until = since + self.route.terms.objective()?;
        Some(until.saturating_duration_since(now))
    }

    /// Returns `true` if the request may be sent again after a target failed.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        self.is_idempotent() && self.route.terms.attempts.unwrap_or(1) > 1
    }

    /// Returns `true` if the request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        let terms = &self.route.terms;
        let idempotent = terms.idempotent.unwrap_or(self.caller.facts.idempotent);
        idempotent || terms.resumable
    }

    /// This request as the subject of a timeline event.
    #[must_use]
    pub fn subject(&self, detail: String, target: Option<&TargetId>) -> Subject {
        Subject {
            detail,
            request: Some(self.id.clone()),
            target: target.cloned(),
        }
    }

    /// Builds the ask for a target that is sent to the dispatcher.
    #[must_use]
    pub fn ask(
        &self,
        daemon: &Daemon,
        prior: &PriorSends,
        partial: Option<PartialAnswer>,
    ) -> Submission {
        let facts = &self.caller.facts;
        let prefix = match &self.caller.operation {
            Operation::Generate { prefix, .. } => prefix.clone(),
            Operation::Proxy(_) => Vec::new(),
        };
        let received = self.received_tokens(daemon);
        let now = Instant::now();
        let mut exclusions = prior.exclusions.clone();
        if !daemon.duties.is_dispatch_local() {
            exclusions.extend(daemon.paths.unreachable());
            let paused = daemon.pauses.in_force(now).into_iter();
            exclusions.extend(paused.map(|(target, _)| target));
        }
        Submission {
            origin: prior.origin,
            partial,
            customer: facts.customer.clone(),
            deadline: self.time_left(),
            entry: daemon.cfg.vm.clone(),
            exclusions,
            limit: self.route.limit,
            max_tokens: facts.max_tokens - received,
            prefix,
            objective: self.time_to_objective(prior.waiting_since, now),
            prompt_tokens: facts.prompt_tokens.saturating_add(received),
            rank: self.caller.rank,
            request: self.id.clone(),
            rule: self.route.rule.clone(),
            tier: self.route.tier,
            wait_at_most: self.route.wait_at_most,
            weight: self.caller.weight,
            ..Submission::default()
        }
    }

    /// Tokens of the stream that the caller has from an earlier request. A target reads them like the
    /// prompt and does not make them again.
    fn received_tokens(&self, daemon: &Daemon) -> u32 {
        if self.caller.continuation == Continuation::New {
            return 0;
        }
        let tokens_in_event = daemon.tokens_in_event(&self.route.pool);
        let received = self.caller.received_events.saturating_mul(tokens_in_event);
        received.min(self.caller.facts.max_tokens.saturating_sub(1))
    }

    fn cancellation(&self, daemon: &Rc<Daemon>, buffer: &Rc<AnswerBuffer>) -> Cancellation {
        let grace = match self.caller.facts.key {
            Some(_) => clock::millis(daemon.cfg.grace_ms),
            None => Duration::ZERO,
        };
        Cancellation::new(daemon, buffer, self.deadline(), grace)
    }
}

/// Duration in milliseconds for log lines, or -1 without one.
pub fn log_ms(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| {
        i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
    })
}

/// A time in microseconds for the log; -1 if there is none.
pub(super) fn log_us(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| {
        i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
    })
}
