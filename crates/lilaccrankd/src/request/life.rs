//! The life of one request from its route to its end: waiting, granted, ended.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::dispatch::message::{Ask, PartialAnswer, Refuse};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::ids::{ContentDigest, RequestId, TargetId};
use lilaccrank::rules::matching::Route;
use lilaccrank::timeline::{EventKind, Subject};

use crate::admin::metrics::Ended;
use crate::callers::caller_request::{CallerRequest, Work};
use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::pools::client::{self, Held};
use crate::request::interruption;
use crate::request::key_state::KeyState;
use crate::request::quotas::Charge;
use crate::request::run::{End, Run};
use crate::request::send::Unfinished;
use crate::request::sends::{PriorSends, Sends};
use crate::request::spill;
use crate::targets::forward::Passed;

/// Longest wait for a key to be settled before the caller hears the end.
const SETTLE_WAIT: Duration = Duration::from_millis(200);

/// A routed request.
pub struct Routed {
    /// When it arrived.
    pub arrived: Instant,
    /// What the caller sent.
    pub caller: CallerRequest,
    /// What it took out of its customer's quota.
    pub charge: Option<Charge>,
    /// Digest of the caller's request, once it is needed.
    pub content: OnceCell<ContentDigest>,
    /// Its id.
    pub id: RequestId,
    /// What the rules decided.
    pub route: Route,
}

/// Takes a request to its end and writes that to `run`.
pub async fn drive(daemon: Rc<Daemon>, routed: Routed, key: KeyState, run: Rc<Run>) {
    let routed = Rc::new(routed);
    let (result, key) = routed.work(&daemon, key, &run).await;
    let settling = monoio::spawn({
        let (daemon, routed, run) = (Rc::clone(&daemon), Rc::clone(&routed), Rc::clone(&run));
        let result = result.clone();
        async move { settle(&daemon, &routed, &result, key, &run).await }
    });
    // A repeat sent at once should find the key settled; but no answer is held back for long
    // for a keeper that can't be reached.
    let _ = monoio::time::timeout(SETTLE_WAIT, settling).await;
    let total_ms = routed.elapsed_ms();
    daemon.metrics.end(routed.ended(&daemon, &result, &run));
    match result {
        Ok(()) => {
            let pace = run.pace();
            log::info!(
                first_ms = pace.first.map_or(-1, |first| routed.until_ms(first)),
                parts = pace.parts,
                pause_ms = pace.longest_pause.as_millis() as u64,
                request = routed.name(),
                total_ms = total_ms;
                "answered"
            );
            daemon.metrics.answer(routed.route.tier);
            run.finish(End::Whole);
        }
        Err(refusal) => {
            log::info!(
                begun = run.has_head(),
                kind:% = refusal.kind,
                parts = run.pace().parts,
                ran:% = refusal.ran,
                request = routed.name(),
                retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
                total_ms = total_ms,
                why = refusal.message;
                "ended without a whole answer"
            );
            daemon.metrics.refuse(refusal.kind);
            run.finish(End::Failed(refusal));
        }
    }
}

/// Ends or frees the key, and notes the end.
async fn settle(
    daemon: &Daemon,
    routed: &Routed,
    result: &Result<()>,
    key: Option<KeyState>,
    run: &Rc<Run>,
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
            daemon.answers.ended(&scoped, run);
        } else {
            daemon.answers.remove(&scoped, run);
        }
    }
}

impl Routed {
    /// Its lengths and its end, for the metrics.
    fn ended(&self, daemon: &Daemon, result: &Result<()>, run: &Run) -> Ended {
        let tokens_in_event = daemon.tokens_in_event(&self.route.pool);
        Ended {
            answer_tokens: run.pace().parts.saturating_mul(tokens_in_event),
            kind: result.as_ref().err().map(|refusal| refusal.kind),
            prompt_tokens: self.caller.facts.prompt_tokens,
            tier: self.route.tier,
        }
    }

    /// What it is called in logs.
    #[must_use]
    pub fn name(&self) -> &str {
        self.caller.name(&self.id)
    }

    /// Milliseconds since it arrived.
    #[must_use]
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Milliseconds from its arrival until `at`.
    fn until_ms(&self, at: Instant) -> i64 {
        let until = at.saturating_duration_since(self.arrived);
        i64::try_from(until.as_millis()).unwrap_or(i64::MAX)
    }

    /// When the answer is worthless: at its caller's deadline, or at the rule's timeout.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let limits = [self.caller.facts.deadline, self.route.terms.timeout()];
        let until = |left: Duration| self.arrived + left;
        limits.into_iter().flatten().map(until).min()
    }

    /// Time left until the answer is worthless.
    #[must_use]
    pub fn left(&self) -> Option<Duration> {
        let until = self.deadline()?;
        Some(until.saturating_duration_since(Instant::now()))
    }

    /// Time left until its caller expects the next part of its answer, if it waits `since` then.
    fn objective_left(&self, since: Instant, now: Instant) -> Option<Duration> {
        let until = since + self.route.terms.objective()?;
        Some(until.saturating_duration_since(now))
    }

    /// Whether it is sent again if a target fails it.
    #[must_use]
    pub fn may_run_again(&self) -> bool {
        self.is_idempotent() && self.route.terms.attempts.unwrap_or(1) > 1
    }

    /// Whether it may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        let terms = &self.route.terms;
        let idempotent = terms.idempotent.unwrap_or(self.caller.facts.idempotent);
        idempotent || terms.resumable
    }

    /// This request as the subject of an event.
    #[must_use]
    pub fn subject(&self, detail: String, target: Option<&TargetId>) -> Subject {
        Subject {
            detail,
            request: Some(self.id.clone()),
            target: target.cloned(),
        }
    }

    /// The key is gone from the result if it could not be marked: it is settled then.
    async fn work(
        &self,
        daemon: &Rc<Daemon>,
        mut key: KeyState,
        run: &Run,
    ) -> (Result<()>, Option<KeyState>) {
        let mut sends = Sends::new(self);
        let mut granted = None;
        daemon.second_sends.first(&self.route.pool);
        loop {
            let waited = match granted.take() {
                Some(held) => Ok(held),
                None => self.wait(daemon, run, &sends).await,
            };
            // Targets may have crashed under it elsewhere while it waited.
            let waited = waited.and_then(|held| self.check_quarantine(daemon).map(|()| held));
            let held = match waited {
                Ok(held) => held,
                Err(refusal) if sends.is_first() && self.may_spill(&refusal, &key) => {
                    let key = match key.mark_handed_on().await {
                        Ok(marked) => marked,
                        Err(refusal) => return (Err(refusal), None),
                    };
                    return (self.spill(daemon, run, refusal).await, Some(key));
                }
                Err(refusal) => return (sends.end(refusal, run), Some(key)),
            };
            key = match key.mark().await {
                Ok(marked) => marked,
                Err(refusal) => return (Err(refusal), None),
            };
            let target = held.target.clone();
            match self.send(daemon, run, held, &mut sends).await {
                Ok(()) => {
                    self.note_completed(daemon, &sends.passed);
                    return (Ok(()), Some(key));
                }
                Err(Unfinished::Migrated(held)) => {
                    sends.migrated(target);
                    granted = Some(held);
                }
                Err(Unfinished::Failed(failed)) => {
                    if let Some(end) = sends.failed(daemon, self, target, failed, run) {
                        return (end, Some(key));
                    }
                }
            }
        }
    }

    async fn wait(&self, daemon: &Rc<Daemon>, run: &Run, sends: &Sends) -> Result<Held> {
        self.check_quarantine(daemon)?;
        daemon.record(
            EventKind::Asked,
            self.subject(self.route.pool.clone(), None),
        );
        let partial = self.partial(daemon, &sends.passed);
        let ask = self.ask(daemon, &sends.prior, partial);
        let interrupted = self.interrupted(daemon, run);
        let asking = client::ask(daemon, &self.route.pool, ask);
        pin_mut!(asking, interrupted);
        match future::select(asking, interrupted).await {
            Either::Left((Ok(held), _)) => {
                log::info!(
                    expected_ms = log_ms(held.expected),
                    left_ms = log_ms(self.left()),
                    since_arrival_ms = self.elapsed_ms(),
                    request = self.name(),
                    target = held.target.id;
                    "granted"
                );
                daemon.record(
                    EventKind::Granted,
                    self.subject(String::new(), Some(&held.target.id)),
                );
                Ok(held)
            }
            Either::Left((Err(refuse), _)) => Err(refusal(&refuse)),
            Either::Right((refusal, _)) => Err(refusal.ran(Executed::No)),
        }
    }

    /// The part of a broken answer that its caller has.
    fn partial(&self, daemon: &Daemon, passed: &Passed) -> Option<PartialAnswer> {
        let tokens_in_event = daemon.tokens_in_event(&self.route.pool);
        let tokens = passed.events.saturating_mul(tokens_in_event);
        (tokens > 0).then_some(PartialAnswer {
            remaining: None,
            tokens,
        })
    }

    /// Asks for a target.
    #[must_use]
    pub fn ask(&self, daemon: &Daemon, prior: &PriorSends, partial: Option<PartialAnswer>) -> Ask {
        let facts = &self.caller.facts;
        let prefix = match &self.caller.work {
            Work::Generate { prefix, .. } => prefix.clone(),
            Work::Proxy(_) => Vec::new(),
        };
        let now = Instant::now();
        Ask {
            partial,
            customer: facts.customer.clone(),
            deadline: self.left(),
            entry: daemon.cfg.vm.clone(),
            exclusions: prior.exclusions.clone(),
            limit: self.route.limit,
            max_tokens: facts.max_tokens,
            prefix,
            objective: self.objective_left(prior.waits_since, now),
            prompt_tokens: facts.prompt_tokens,
            rank: self.caller.rank,
            request: self.id.clone(),
            rule: self.route.rule.clone(),
            tier: self.route.tier,
            wait_at_most: self.route.wait_at_most,
            weight: self.caller.weight,
            ..Ask::default()
        }
    }

    fn may_spill(&self, refusal: &Refusal, key: &KeyState) -> bool {
        let allowed = !self.route.spill.is_empty() && self.caller.spilled_from.is_none();
        // The claim in the store is this data centre's by then; another one would be refused.
        let claimed_here = key.is_marked() && !self.is_idempotent();
        allowed && !claimed_here && spill::helps(refusal.kind)
    }

    async fn spill(&self, daemon: &Daemon, run: &Run, refusal: Refusal) -> Result<()> {
        let (deadline, caller) = (self.deadline(), &self.caller);
        let interrupted = self.interrupted(daemon, run);
        let spilling = spill::run(daemon, caller, &self.route.spill, deadline, run, refusal);
        pin_mut!(spilling, interrupted);
        match future::select(spilling, interrupted).await {
            Either::Left((result, _)) => result,
            Either::Right((refusal, _)) => Err(refusal),
        }
    }

    /// Completes when the request is to be stopped, with the reason.
    pub fn interrupted(&self, daemon: &Daemon, run: &Run) -> impl Future<Output = Refusal> {
        let (deadline, grace) = (self.deadline(), self.grace(daemon));
        interruption::interrupted(run, deadline, grace, &daemon.cutting)
    }

    fn grace(&self, daemon: &Daemon) -> Duration {
        match self.caller.facts.key {
            Some(_) => Duration::from_millis(daemon.cfg.grace_ms),
            None => Duration::ZERO,
        }
    }
}

fn refusal(refuse: &Refuse) -> Refusal {
    let message = match refuse.kind {
        ErrorKind::DeadlineUnmeetable => "the deadline can't be met",
        ErrorKind::NoTarget => "no live target here serves the pool",
        ErrorKind::Overloaded => "work of this tier is being shed",
        ErrorKind::RateLimited => "the rule's limit is reached",
        _ => "the dispatcher refused",
    };
    let message = match refuse.unmeetable {
        Some(unmeetable) => format!("{message}: {unmeetable}"),
        None => message.to_owned(),
    };
    let refusal = Refusal::new(refuse.kind, message).ran(Executed::No);
    match refuse.retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    }
}

/// Milliseconds for the log, -1 if there are none.
pub fn log_ms(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| {
        i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
    })
}
