//! The sends of one request: which targets had it, and what its caller has seen.

use std::time::Instant;

use bytes::Bytes;
use lilaccrank::attempts::{Allowed, Attempts, Failure};
use lilaccrank::error_kind::Ran;
use lilaccrank::target_life::TargetLife;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::answer_buffer::{AnswerBuffer, Head};
use crate::request::lifecycle::RoutedRequest;
use crate::targets::forward::{Failed, Passed};

/// What the next ask for a target takes into account of earlier sends.
#[derive(Clone, Debug)]
pub struct PriorSends {
    /// Targets that must not have it again.
    pub exclusions: Vec<TargetLife>,
    /// Since when the caller waits for the next part of its answer.
    pub waiting_since: Instant,
}

/// The sends of one request.
pub struct SendHistory {
    /// A target's own failing answer, for the caller if nothing better comes.
    answer: Option<(Head, Bytes)>,
    attempts: Attempts,
    /// Earlier sends, for the next ask.
    pub prior: PriorSends,
    /// What has reached the caller.
    pub delivered: Passed,
    /// Why the last send failed.
    refusal: Option<Refusal>,
}

impl SendHistory {
    /// A request that was not sent yet.
    #[must_use]
    pub fn new(routed: &RoutedRequest) -> Self {
        let terms = &routed.route.terms;
        let allowed = Allowed {
            idempotent: routed.is_idempotent(),
            resumable: terms.resumable,
            runs: terms.attempts.unwrap_or(1),
        };
        Self {
            answer: None,
            attempts: Attempts::new(allowed),
            prior: PriorSends {
                exclusions: Vec::new(),
                waiting_since: routed.arrived,
            },
            delivered: Passed::default(),
            refusal: None,
        }
    }

    /// Whether nothing was sent yet.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        !self.attempts.is_repeat()
    }

    /// Whether another target may resume an answer of which the caller has a part.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        self.attempts.clone().failed(Failure::BrokenOff)
    }

    /// Notes that the answer leaves `target`, which is still at work.
    pub fn record_migration(&mut self, target: TargetLife) {
        self.prior.exclusions.push(target);
        self.prior.waiting_since = Instant::now();
        self.attempts.failed(Failure::BrokenOff);
    }

    /// Takes in a send that failed; the end of the request, unless it is to be sent again.
    pub fn record_failure(
        &mut self,
        daemon: &Daemon,
        routed: &RoutedRequest,
        target: TargetLife,
        failed: Failed,
        buffer: &AnswerBuffer,
    ) -> Option<Result<()>> {
        self.prior.exclusions.push(target.clone());
        if failed.refusal.connection_lost {
            routed.record_crash(daemon, &target);
        }
        if failed.how == Failure::BrokenOff {
            // Counted from the request's arrival, the time for the first part is over by now, and a
            // stream that finds all targets full would be given up with all that its caller has read.
            self.prior.waiting_since = Instant::now();
        }
        if failed.answer.is_some() {
            self.answer = failed.answer;
        }
        let will_retry = self.attempts.failed(failed.how)
            && !failed.refusal.kind.is_from_outside()
            && (failed.how == Failure::Unsent
                || daemon.second_sends.try_take(daemon, &routed.route.pool));
        log::info!(
            again = will_retry,
            connection_lost = failed.refusal.connection_lost,
            content:% = format_args!("{:016x}", routed.content_digest()),
            how:? = failed.how,
            kind:% = failed.refusal.kind,
            request = routed.log_id(),
            since_arrival_ms = routed.elapsed_ms(),
            target = target.id,
            why = failed.refusal.message;
            "a send failed"
        );
        if !will_retry {
            return Some(self.final_result(failed.refusal, buffer));
        }
        self.refusal = Some(failed.refusal);
        None
    }

    /// The end without a whole answer: the target's own failing one, or a refusal that is true of
    /// all sends together.
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
        // That nobody takes it now doesn't undo an earlier send.
        let last = match self.refusal.take() {
            Some(earlier) if refusal.ran == Ran::No => earlier,
            _ => refusal,
        };
        Err(last.ran(Ran::Maybe))
    }
}
