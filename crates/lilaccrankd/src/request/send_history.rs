//! History of the sends of one request: which targets had it, and what its caller has received.

use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use lilaccrank::attempts::{Attempts, Failure, RetryPolicy};
use lilaccrank::error_kind::Executed;
use lilaccrank::ids::{ContentDigest, RequestId};
use lilaccrank::software_version::Origin;
use lilaccrank::target_instance::TargetInstance;

use crate::callers::refusal::{Refusal, Result};
use crate::request::answer_buffer::{AnswerBuffer, Head};
use crate::request::ended_by::EndedBy;
use crate::request::lifecycle::{self, RoutedRequest};
use crate::targets::forward::{Delivered, SendFailure};

/// What stands between the id of a request and the number of a submission for a takeover.
const TAKEOVER_SUFFIX: char = '+';

/// Earlier sends, as far as they matter for the next ask for a target.
#[derive(Clone, Debug)]
pub struct PriorSends {
    /// Where the stream began, by which the version is chosen that resumes it.
    pub origin: Origin,
    /// Targets that must not get the request again.
    pub exclusions: Vec<TargetInstance>,
    /// Time since which the caller has awaited the next part of its answer.
    pub waiting_since: Instant,
}

/// History of the sends of one request.
pub struct SendHistory {
    /// Error answer of a target, which the caller gets if no later send does better.
    answer: Option<(Head, Bytes)>,
    attempts: Attempts,
    /// Who ended the last run before its answer was complete.
    pub ended_by: Option<EndedBy>,
    /// Set once other targets have turned the request away as often as one may be tried.
    has_given_up: bool,
    /// Number of times that another target was asked for to take over.
    takeovers: u32,
    /// Target that the request is being sent to, or that works on it.
    sent_to: Option<TargetInstance>,
    /// Earlier sends, for the next ask.
    pub prior: PriorSends,
    /// The part of the answer that the caller has received.
    pub delivered: Delivered,
    /// Refusal of the last failed send.
    refusal: Option<Refusal>,
}

impl SendHistory {
    /// Creates an empty history for a request that was not sent yet.
    #[must_use]
    pub fn new(routed: &RoutedRequest) -> Self {
        let terms = &routed.route.terms;
        let allowed = RetryPolicy {
            idempotent: routed.is_idempotent(),
            resumable: terms.resumable,
            max_runs: terms.attempts.unwrap_or(1),
        };
        Self {
            answer: None,
            attempts: Attempts::new(allowed),
            ended_by: None,
            has_given_up: false,
            takeovers: 0,
            sent_to: None,
            prior: PriorSends {
                origin: Origin::New,
                exclusions: Vec::new(),
                waiting_since: routed.arrived,
            },
            delivered: Delivered::default(),
            refusal: None,
        }
    }

    /// Returns `true` if nothing was sent yet.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        !self.attempts.is_repeat()
    }

    /// Returns `true` if another target may resume an answer that the caller has in part.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        self.attempts.clone().record_failure(Failure::BrokenOff)
    }

    /// Returns `true` if another target may run the request while one runs it.
    #[must_use]
    pub fn may_take_over(&self, buffer: &AnswerBuffer) -> bool {
        // Without the id of an event, the next target could not go on after it.
        let can_go_on = self.delivered.events() == 0 || self.delivered.last_event().is_some();
        can_go_on && !self.has_given_up && self.attempts.clone().record_failure(given_up(buffer))
    }

    /// Id for the next submission for a takeover. It distinguishes the submission from the one whose
    /// grant the request still holds.
    pub fn next_takeover_id(&mut self, request: &RequestId) -> RequestId {
        self.takeovers += 1;
        format!("{request}{TAKEOVER_SUFFIX}{}", self.takeovers)
    }

    /// Records that the request is about to be sent. From now on the target may run it.
    pub fn record_send(&mut self, target: &TargetInstance) {
        self.sent_to = Some(target.clone());
    }

    /// Result of a request that is cancelled.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn cancel(
        &mut self,
        routed: &RoutedRequest,
        refusal: Refusal,
        buffer: &AnswerBuffer,
    ) -> Result<()> {
        let Some(target) = self.sent_to.take() else {
            return self.final_result(refusal.ran(Executed::No), buffer);
        };
        let cancelled = SendFailure::new(refusal.ran(Executed::Maybe));
        self.ended_by = Some(cancelled.ended_by);
        self.attempts.record_failure(cancelled.failure);
        let began_at = self.delivered.began_at;
        log_failure(
            routed,
            &target,
            &cancelled,
            Repeat::NotAllowed,
            began_at,
            buffer,
        );
        self.final_result(cancelled.refusal, buffer)
    }

    /// Records that another target resumes the answer of `target`, which is still running the
    /// request.
    pub fn record_migration(&mut self, target: TargetInstance) {
        self.sent_to = None;
        self.prior.exclusions.push(target);
        self.prior.waiting_since = Instant::now();
        self.attempts.record_failure(Failure::BrokenOff);
    }

    /// Records that a run failed, or was given up, while another one goes on.
    pub fn record_replaced(
        &mut self,
        routed: &RoutedRequest,
        target: TargetInstance,
        failed: SendFailure,
        buffer: &AnswerBuffer,
    ) {
        self.has_given_up |=
            !self.attempts.record_failure(failed.failure) && failed.failure.is_not_run();
        log_failure(
            routed,
            &target,
            &failed,
            Repeat::Made,
            self.delivered.began_at,
            buffer,
        );
        if !failed.refusal.is_own_stop {
            self.prior.exclusions.push(target);
        }
        self.prior.waiting_since = Instant::now();
        self.ended_by = Some(failed.ended_by);
        if failed.answer.is_some() {
            self.answer = failed.answer;
        }
    }

    /// Records that a run that was to take over was ended, since the one before goes on.
    pub fn record_withdrawn(&mut self, target: TargetInstance, buffer: &AnswerBuffer) {
        self.prior.exclusions.push(target);
        self.attempts.record_failure(given_up(buffer));
    }

    /// Records a failed send. Returns the result of the request, or `None` if it is to be sent
    /// again, which `take_repeat` must allow.
    pub fn record_failure(
        &mut self,
        routed: &RoutedRequest,
        target: TargetInstance,
        failed: SendFailure,
        buffer: &AnswerBuffer,
        take_repeat: impl FnOnce(Failure) -> bool,
    ) -> Option<Result<()>> {
        self.sent_to = None;
        if !failed.refusal.is_own_stop {
            self.prior.exclusions.push(target.clone());
        }
        if failed.failure == Failure::BrokenOff {
            // If the objective still counted from the arrival of the request, it would be over by
            // now. A stream that finds all targets full would then be refused, and what its caller
            // has read would be lost.
            self.prior.waiting_since = Instant::now();
        }
        self.ended_by = Some(failed.ended_by);
        let has_attempt = self.attempts.record_failure(failed.failure);
        let will_retry = has_attempt && take_repeat(failed.failure);
        let began_at = self.delivered.began_at;
        let repeat = match (has_attempt, will_retry) {
            (_, true) => Repeat::Made,
            (true, false) => Repeat::NoBudget,
            (false, false) => Repeat::NotAllowed,
        };
        log_failure(routed, &target, &failed, repeat, began_at, buffer);
        if failed.answer.is_some() {
            self.answer = failed.answer;
        }
        if !will_retry {
            return Some(self.final_result(failed.refusal, buffer));
        }
        self.refusal = Some(failed.refusal);
        None
    }

    /// Result of a request without a complete answer from a target: the error answer of a target,
    /// if there is one and the caller has received nothing, or a refusal that holds for all sends
    /// together.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn final_result(&mut self, refusal: Refusal, buffer: &AnswerBuffer) -> Result<()> {
        if let Some((head, body)) = self.answer.take()
            && !buffer.has_head()
        {
            buffer.set_head(head);
            buffer.push(body);
            return Ok(());
        }
        if !self.attempts.may_have_run() {
            return Err(refusal);
        }
        // An earlier send may have run, even though no target takes the request now.
        let last = match self.refusal.take() {
            Some(earlier) if refusal.ran == Executed::No => earlier,
            _ => refusal,
        };
        Err(last.ran(Executed::Maybe))
    }
}

/// Whether a request is sent again after a send failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum Repeat {
    #[display("made")]
    Made,
    /// The retry budget is empty, or nobody waits for the answer any more.
    #[display("no_budget")]
    NoBudget,
    /// The request may not run again, or not as often.
    #[display("not_allowed")]
    NotAllowed,
}

fn log_failure(
    routed: &RoutedRequest,
    target: &TargetInstance,
    failed: &SendFailure,
    repeat: Repeat,
    began_at: Option<Instant>,
    buffer: &AnswerBuffer,
) {
    let exchange = failed.exchange.unwrap_or_default();
    log::info!(
        abandoned_ms = lifecycle::log_ms(buffer.abandoned_for()),
        again = repeat == Repeat::Made,
        begun_ms = lifecycle::log_ms(began_at.map(|at| at.elapsed())),
        connection = exchange.connection,
        connection_lost = failed.refusal.connection_lost,
        earlier_requests = exchange.earlier_requests,
        ended_by:% = failed.ended_by,
        head_after_us = lifecycle::log_us(exchange.head_after),
        content:% = format_args!("{:016x}", routed.content_digest()),
        how:? = failed.failure,
        kind:% = failed.refusal.kind,
        parts = hex_list(&routed.caller.shared_parts),
        repeat:% = repeat,
        request = routed.log_id(),
        since_arrival_ms = routed.elapsed_ms(),
        target = target.id,
        why = failed.refusal.message;
        "a send failed"
    );
}

/// How a run fails that is given up now.
fn given_up(buffer: &AnswerBuffer) -> Failure {
    match buffer.has_head() {
        true => Failure::BrokenOff,
        false => Failure::Failed,
    }
}

fn hex_list(digests: &[ContentDigest]) -> String {
    let digests = digests.iter().map(|digest| format!("{digest:016x}"));
    digests.collect::<Vec<_>>().join(",")
}
