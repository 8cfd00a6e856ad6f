//! Lifecycle of one routed request: it waits for a grant, is sent to a target, and ends.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::clock::Clock;
use lilaccrank::dispatch::message::{PartialAnswer, Submission};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::ids::{ContentDigest, RequestId, TargetId};
use lilaccrank::rules::matching::Route;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::admin::metrics::EndStats;
use crate::callers::caller_request::{CallerRequest, Operation};
use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::pools::client::{self, HeldGrant};
use crate::request::answer_buffer::{AnswerBuffer, End};
use crate::request::dispatch_refusal;
use crate::request::interruption;
use crate::request::key_state::KeyState;
use crate::request::quotas::Charge;
use crate::request::send::SendError;
use crate::request::send_history::{PriorSends, SendHistory};
use crate::request::spill;
use crate::targets::forward::Delivered;

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
) {
    let routed = Rc::new(routed);
    let (result, key) = routed.execute(&daemon, key, &buffer).await;
    let settling = monoio::spawn({
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
            buffer.finish(End::Complete);
        }
        Err(refusal) => {
            log::info!(
                abandoned_ms = log_ms(buffer.abandoned_for()),
                begun = buffer.has_head(),
                kind:% = refusal.kind,
                parts = buffer.timing().chunk_count,
                ran:% = refusal.ran,
                request = routed.log_id(),
                retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
                total_ms = total_ms,
                why = refusal.message;
                "ended without a whole answer"
            );
            daemon.metrics.record_refusal(refusal.kind);
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
            let ttl = Duration::from_millis(daemon.cfg.answer_ttl_ms);
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

    /// Sends the request until it succeeds, fails for good or is spilled. Returns no key if the key
    /// could not be marked, since it is settled then.
    async fn execute(
        &self,
        daemon: &Rc<Daemon>,
        mut key: KeyState,
        buffer: &AnswerBuffer,
    ) -> (Result<()>, Option<KeyState>) {
        let mut history = SendHistory::new(self);
        let mut migration_grant = None;
        daemon.retry_budgets.record_request(&self.route.pool);
        loop {
            let grant_result = match migration_grant.take() {
                Some(grant) => Ok(grant),
                None => self.wait_for_grant(daemon, buffer, &history).await,
            };
            // Meanwhile, other daemons may have reported crashes of targets under this content.
            let grant_result =
                grant_result.and_then(|grant| self.check_quarantine(daemon).map(|()| grant));
            let grant = match grant_result {
                Ok(grant) => grant,
                Err(refusal) if history.is_unsent() && self.can_spill(&refusal, &key) => {
                    let key = match key.mark_handed_on().await {
                        Ok(marked) => marked,
                        Err(refusal) => return (Err(refusal), None),
                    };
                    return (self.spill(daemon, buffer, refusal).await, Some(key));
                }
                Err(refusal) => return (history.final_result(refusal, buffer), Some(key)),
            };
            key = match key.mark().await {
                Ok(marked) => marked,
                Err(refusal) => return (Err(refusal), None),
            };
            let target = grant.target.clone();
            match self.send(daemon, buffer, grant, &mut history).await {
                Ok(()) => {
                    self.record_completion(daemon, &history.delivered);
                    return (Ok(()), Some(key));
                }
                Err(SendError::Migrated(grant)) => {
                    history.record_migration(target);
                    migration_grant = Some(grant);
                }
                Err(SendError::Failed(failed)) => {
                    if let Some(end) = history.record_failure(daemon, self, target, failed, buffer)
                    {
                        return (end, Some(key));
                    }
                }
            }
        }
    }

    async fn wait_for_grant(
        &self,
        daemon: &Rc<Daemon>,
        buffer: &AnswerBuffer,
        history: &SendHistory,
    ) -> Result<HeldGrant> {
        self.check_quarantine(daemon)?;
        daemon.record(
            EventKind::Asked,
            self.subject(self.route.pool.clone(), None),
        );
        let partial = self.partial_answer(daemon, &history.delivered);
        let submission = self.ask(daemon, &history.prior, partial);
        let interrupted = self.interrupted(daemon, buffer);
        let asking = client::submit(daemon, &self.route.pool, submission);
        pin_mut!(asking, interrupted);
        match future::select(asking, interrupted).await {
            Either::Left((Ok(grant), _)) => {
                log::info!(
                    abandoned_ms = log_ms(buffer.abandoned_for()),
                    expected_ms = log_ms(grant.expected),
                    left_ms = log_ms(self.time_left()),
                    list_age_ms = log_ms(daemon.live_list.freshness.age(MonoioClock.boot_time())),
                    since_arrival_ms = self.elapsed_ms(),
                    request = self.log_id(),
                    target = grant.target.id;
                    "granted"
                );
                daemon.record(
                    EventKind::Granted,
                    self.subject(String::new(), Some(&grant.target.id)),
                );
                Ok(grant)
            }
            Either::Left((Err(refuse), _)) => Err(dispatch_refusal::refusal(daemon, &refuse)),
            Either::Right((refusal, _)) => Err(refusal.ran(Executed::No)),
        }
    }

    /// Describes the part of an interrupted answer that the caller has; `None` if it has no tokens.
    fn partial_answer(&self, daemon: &Daemon, delivered: &Delivered) -> Option<PartialAnswer> {
        let tokens_in_event = daemon.tokens_in_event(&self.route.pool);
        let tokens = delivered.events.saturating_mul(tokens_in_event);
        (tokens > 0).then_some(PartialAnswer {
            remaining: None,
            tokens,
        })
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
        let now = Instant::now();
        let mut exclusions = prior.exclusions.clone();
        if !daemon.duties.is_dispatch_local() {
            exclusions.extend(daemon.paths.unreachable());
            let paused = daemon.pauses.in_force(now).into_iter();
            exclusions.extend(paused.map(|(target, _)| target));
        }
        Submission {
            partial,
            customer: facts.customer.clone(),
            deadline: self.time_left(),
            entry: daemon.cfg.vm.clone(),
            exclusions,
            limit: self.route.limit,
            max_tokens: facts.max_tokens,
            prefix,
            objective: self.time_to_objective(prior.waiting_since, now),
            prompt_tokens: facts.prompt_tokens,
            rank: self.caller.rank,
            request: self.id.clone(),
            rule: self.route.rule.clone(),
            tier: self.route.tier,
            wait_at_most: self.route.wait_at_most,
            weight: self.caller.weight,
            ..Submission::default()
        }
    }

    fn can_spill(&self, refusal: &Refusal, key: &KeyState) -> bool {
        let allowed = !self.route.spill.is_empty() && self.caller.spilled_from.is_none();
        // The claim in the store belongs to this data centre, so the claim of another one would be
        // refused.
        let claimed_here = key.is_marked() && !self.is_idempotent();
        allowed && !claimed_here && spill::is_spillable(refusal.kind)
    }

    async fn spill(&self, daemon: &Daemon, buffer: &AnswerBuffer, refusal: Refusal) -> Result<()> {
        let (deadline, caller) = (self.deadline(), &self.caller);
        let interrupted = self.interrupted(daemon, buffer);
        let spilling =
            spill::try_data_centres(daemon, caller, &self.route.spill, deadline, buffer, refusal);
        pin_mut!(spilling, interrupted);
        match future::select(spilling, interrupted).await {
            Either::Left((result, _)) => result,
            Either::Right((refusal, _)) => Err(refusal),
        }
    }

    /// Completes when the request must stop, with the reason.
    pub fn interrupted(
        &self,
        daemon: &Daemon,
        buffer: &AnswerBuffer,
    ) -> impl Future<Output = Refusal> {
        let (deadline, grace) = (self.deadline(), self.grace(daemon));
        interruption::interrupted(buffer, deadline, grace, &daemon.abort_signal)
    }

    fn grace(&self, daemon: &Daemon) -> Duration {
        match self.caller.facts.key {
            Some(_) => Duration::from_millis(daemon.cfg.grace_ms),
            None => Duration::ZERO,
        }
    }
}

/// Duration in milliseconds for log lines, or -1 without one.
pub fn log_ms(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| {
        i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
    })
}
