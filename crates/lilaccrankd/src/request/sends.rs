//! The sends of one request: which targets had it, and what its caller has seen.

use std::time::Instant;

use bytes::Bytes;
use lilaccrank::attempts::{Attempts, Failure, RetryPolicy};
use lilaccrank::error_kind::Executed;
use lilaccrank::target_instance::TargetInstance;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::life::Routed;
use crate::request::run::{Head, Run};
use crate::targets::forward::{Failed, Passed};

/// What the next ask for a target takes into account of earlier sends.
#[derive(Clone, Debug)]
pub struct PriorSends {
    /// Targets that must not have it again.
    pub exclusions: Vec<TargetInstance>,
    /// Since when the caller waits for the next part of its answer.
    pub waits_since: Instant,
}

/// The sends of one request.
pub struct Sends {
    /// A target's own failing answer, for the caller if nothing better comes.
    answer: Option<(Head, Bytes)>,
    attempts: Attempts,
    /// Earlier sends, for the next ask.
    pub prior: PriorSends,
    /// What has reached the caller.
    pub passed: Passed,
    /// Why the last send failed.
    refusal: Option<Refusal>,
}

impl Sends {
    /// A request that was not sent yet.
    #[must_use]
    pub fn new(routed: &Routed) -> Self {
        let terms = &routed.route.terms;
        let allowed = RetryPolicy {
            idempotent: routed.is_idempotent(),
            resumable: terms.resumable,
            max_runs: terms.attempts.unwrap_or(1),
        };
        Self {
            answer: None,
            attempts: Attempts::new(allowed),
            prior: PriorSends {
                exclusions: Vec::new(),
                waits_since: routed.arrived,
            },
            passed: Passed::default(),
            refusal: None,
        }
    }

    /// Whether nothing was sent yet.
    #[must_use]
    pub fn is_first(&self) -> bool {
        !self.attempts.is_repeat()
    }

    /// Whether another target may resume an answer of which the caller has a part.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        self.attempts.clone().record_failure(Failure::BrokenOff)
    }

    /// Notes that the answer leaves `target`, which is still at work.
    pub fn migrated(&mut self, target: TargetInstance) {
        self.prior.exclusions.push(target);
        self.prior.waits_since = Instant::now();
        self.attempts.record_failure(Failure::BrokenOff);
    }

    /// Takes in a send that failed; the end of the request, unless it is to be sent again.
    pub fn failed(
        &mut self,
        daemon: &Daemon,
        routed: &Routed,
        target: TargetInstance,
        failed: Failed,
        run: &Run,
    ) -> Option<Result<()>> {
        self.prior.exclusions.push(target.clone());
        if failed.refusal.connection_lost {
            routed.note_crash(daemon, &target);
        }
        if failed.how == Failure::BrokenOff {
            // Counted from the request's arrival, the time for the first part is over by now, and a
            // stream that finds all targets full would be given up with all that its caller has read.
            self.prior.waits_since = Instant::now();
        }
        if failed.answer.is_some() {
            self.answer = failed.answer;
        }
        let again = self.attempts.record_failure(failed.how)
            && !failed.refusal.kind.is_unrelated_to_target()
            && (failed.how == Failure::Unsent
                || daemon.second_sends.take(daemon, &routed.route.pool));
        log::info!(
            again = again,
            connection_lost = failed.refusal.connection_lost,
            content:% = format_args!("{:016x}", routed.content()),
            how:? = failed.how,
            kind:% = failed.refusal.kind,
            request = routed.name(),
            since_arrival_ms = routed.elapsed_ms(),
            target = target.id,
            why = failed.refusal.message;
            "a send failed"
        );
        if !again {
            return Some(self.end(failed.refusal, run));
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
    pub fn end(&mut self, refusal: Refusal, run: &Run) -> Result<()> {
        if let Some((head, body)) = self.answer.take()
            && !run.has_head()
        {
            run.set_head(head);
            run.push(body);
            return Ok(());
        }
        if !self.attempts.may_have_run() {
            return Err(refusal);
        }
        // That nobody takes it now doesn't undo an earlier send.
        let last = match self.refusal.take() {
            Some(earlier) if refusal.ran == Executed::No => earlier,
            _ => refusal,
        };
        Err(last.ran(Executed::Maybe))
    }
}
