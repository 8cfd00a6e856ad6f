//! Takeover of a run by one at another target.
//!
//! A run whose path is lost, whose target has started again, or which is too slow goes on until the run
//! that takes over has brought its first part of the answer. The next run may be refused or fail; nothing
//! is lost then. If that part doesn't come in time, one of the two runs ends without it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use futures::FutureExt;
use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::dispatch::message::{Outcome, PartialAnswer};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::target_instance::TargetInstance;

use crate::callers::refusal::{self, Refusal};
use crate::request::execution::Execution;
use crate::request::handover;
use crate::request::lifecycle;
use crate::request::migration;
use crate::request::pool_retry_budgets::RetryPermit;
use crate::request::race::{Race, Side};
use crate::request::run::{Exchanged, Run, Sent};
use crate::request::send;
use crate::targets::forward::{self, SendFailure};
use crate::targets::proxied_request::ProxiedRequest;

/// Time between two attempts to have a run taken over.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a byte after which a late run counts as silent. Callers leave a stream after a gap of two
/// seconds.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Why no other target takes over from a run that is heard.
const ANSWER_GOES_ON: &str = "the answer goes on at its target";
/// Why a run is withdrawn that was to take over.
const NO_EVENT: &str = "the next target brought no event in time";

/// Why another target is to take over.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Cause {
    /// The answer would miss its deadline, with so much left to do at the pace so far.
    #[display("late")]
    Late(Duration),
    /// This daemon has lost its path to the target, while others reach it.
    #[display("path")]
    PathLost,
    /// The list of targets names a later instance.
    #[display("restart")]
    Restarted,
}

impl Cause {
    fn why(self) -> &'static str {
        match self {
            Self::Late(_) => "the answer would miss its deadline",
            Self::PathLost => send::PATH_LOST,
            Self::Restarted => send::RESTARTED,
        }
    }
}

/// An attempt to have a run taken over.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    began_at: Instant,
    cause: Cause,
}

impl Takeover {
    /// Returns `true` if it is the current run that ends once both have been in progress for too long: its
    /// process is gone by the list and nothing of its answer has come since, or it has been silent for so long
    /// that its caller is about to leave.
    fn ends_current(&self, current: &Sent) -> bool {
        let silent_since = match self.cause {
            Cause::Late(_) => Instant::now().checked_sub(SILENCE),
            Cause::PathLost => None,
            Cause::Restarted => Some(self.began_at),
        };
        silent_since.is_some_and(|since| !current.transport.is_heard_since(since))
    }
}

/// What follows on a run in progress.
enum Following<'a> {
    /// It ends, since its target is gone and its caller has nothing of the answer.
    End(SendFailure),
    /// Another run may take over.
    Next(Takeover, Run<'a>),
}

/// What happened first while two runs were in progress.
enum Happened {
    CurrentEnded(Exchanged),
    Decided,
    NextEnded(Exchanged),
    /// The next run has brought no part of the answer in time.
    Overdue,
}

/// What is left of two runs.
enum Left<'a> {
    /// The request has ended at this target.
    Ended(Rc<Sent>, Box<Exchanged>),
    /// This run goes on.
    One(Run<'a>),
}

impl<'a> Execution<'a> {
    /// Carries a run to its end, or one that has taken over. Returns the last of them.
    pub(super) async fn carry(
        &mut self,
        run: Run<'a>,
        proxied: &'a ProxiedRequest,
    ) -> (Rc<Sent>, forward::Result<()>) {
        let mut current = run;
        let mut went_on_at = None;
        loop {
            let sent = Rc::clone(&current.sent);
            let following = {
                let following = self.following(&sent, proxied, went_on_at);
                pin_mut!(following);
                match future::select(&mut current.exchange, following).await {
                    Either::Left((exchanged, _)) => Either::Left(exchanged),
                    Either::Right((following, _)) => Either::Right(following),
                }
            };
            let (takeover, next) = match following {
                Either::Left(exchanged) => return self.ended(sent, exchanged),
                Either::Right(Following::End(failed)) => return (sent, Err(failed)),
                Either::Right(Following::Next(takeover, next)) => (takeover, next),
            };
            match self.race(takeover, current, next).await {
                Left::Ended(sent, exchanged) => return self.ended(sent, *exchanged),
                Left::One(run) => {
                    went_on_at = Rc::ptr_eq(&run.sent, &sent).then(Instant::now);
                    current = run;
                }
            }
        }
    }

    fn ended(&mut self, sent: Rc<Sent>, exchanged: Exchanged) -> (Rc<Sent>, forward::Result<()>) {
        let (ended, delivered) = exchanged;
        self.history.delivered = delivered;
        (sent, ended)
    }

    /// Completes with what follows on a run in progress; never if nothing may. `went_on_at` is when the last
    /// attempt to have it taken over came to nothing.
    async fn following(
        &mut self,
        current: &Sent,
        proxied: &'a ProxiedRequest,
        went_on_at: Option<Instant>,
    ) -> Following<'a> {
        let mut went_on_at = went_on_at;
        loop {
            if went_on_at.is_some() {
                monoio::time::sleep(RETRY_INTERVAL).await;
            }
            let cause = self.cause(current).await;
            let may_take_over = self.history.may_take_over(self.buffer)
                && self
                    .daemon
                    .retry_budgets
                    .has_budget(&self.routed.route.pool);
            let is_heard = went_on_at.is_some_and(|at| current.transport.is_heard_since(at));
            let is_gone = cause == Cause::Restarted && !is_heard;
            if !may_take_over && is_gone && !self.buffer.has_head() {
                return Following::End(send::target_restarted(self.buffer));
            }
            let takeover = Takeover {
                began_at: Instant::now(),
                cause,
            };
            if may_take_over && let Some(next) = self.try_next(takeover, current, proxied).await {
                return Following::Next(takeover, next);
            }
            went_on_at = Some(Instant::now());
        }
    }

    /// Completes once there is a reason to have a run taken over.
    async fn cause(&self, current: &Sent) -> Cause {
        let lost = async {
            current.transport.cut().await;
            Cause::PathLost
        };
        let restarted = async {
            let daemon = self.daemon;
            daemon.live_list.superseded(current.instance()).await;
            Cause::Restarted
        };
        let late = async {
            match self.history.can_resume() {
                true => Cause::Late(migration::until_late(&current.observer).await),
                false => future::pending().await,
            }
        };
        let causes = [
            lost.boxed_local(),
            restarted.boxed_local(),
            late.boxed_local(),
        ];
        let (cause, ..) = future::select_all(causes).await;
        cause
    }

    /// Begins a run at another target; `None` if there is none, or if the current one goes on.
    async fn try_next(
        &mut self,
        takeover: Takeover,
        current: &Sent,
        proxied: &'a ProxiedRequest,
    ) -> Option<Run<'a>> {
        let request = self.routed.log_id();
        let Takeover { began_at, cause } = takeover;
        log::info!(
            cause:% = cause,
            from = current.instance().id,
            parts = self.buffer.timing().chunk_count,
            request = request,
            why = cause.why();
            "another target is asked to take over"
        );
        let next = {
            let heard = async {
                match cause {
                    Cause::PathLost => current.observer.event_arrived().await,
                    Cause::Late(_) | Cause::Restarted => future::pending().await,
                }
            };
            let next = self.next_run(cause, current, proxied);
            pin_mut!(heard, next);
            match future::select(next, heard).await {
                Either::Left((next, _)) => next,
                Either::Right(_) => Err(own_stop(ANSWER_GOES_ON)),
            }
        };
        if let Err(refusal) = &next {
            log::info!(
                cause:% = cause,
                from = current.instance().id,
                kind:% = refusal.kind,
                request = request,
                waited_ms = lifecycle::log_ms(Some(began_at.elapsed())),
                why = refusal.message;
                "no other target takes over"
            );
        }
        next.ok()
    }

    async fn next_run(
        &mut self,
        cause: Cause,
        current: &Sent,
        proxied: &'a ProxiedRequest,
    ) -> refusal::Result<Run<'a>> {
        let (daemon, routed) = (self.daemon, self.routed);
        self.record_origin(current);
        let mut prior = self.history.prior.clone();
        prior.exclusions.push(current.instance().clone());
        prior.waiting_since = match self.buffer.has_head() {
            true => Instant::now(),
            false => prior.waiting_since,
        };
        let partial = self.partial_answer().map(|partial| PartialAnswer {
            remaining: match cause {
                Cause::Late(remaining) => Some(remaining),
                Cause::PathLost | Cause::Restarted => None,
            },
            ..partial
        });
        let id = self.history.next_takeover_id(&routed.id);
        let had_head = self.buffer.has_head();
        let grant = self.wait_for_grant(&id, &prior, partial).await?;
        let target = self.usable(&grant.target).await?;
        if self.buffer.has_head() != had_head {
            return Err(own_stop("the answer has begun at its target"));
        }
        self.check_sendable()?;
        self.cancellation.check()?;
        let permit = RetryPermit::take(daemon, &routed.route.pool);
        let permit = permit.ok_or_else(|| own_stop("the retry budget is empty"))?;
        self.retry = Some(permit);
        Ok(self.begin_run(grant, target, proxied))
    }

    /// Lets two runs go on until one of them delivers the answer, or both have been in progress for too long.
    async fn race(&mut self, takeover: Takeover, current: Run<'a>, next: Run<'a>) -> Left<'a> {
        let cause = takeover.cause;
        let (mut current, mut next) = (current, next);
        // A run that has delivered nothing is not resumed: either of them delivers all of the answer.
        let can_current_win = cause == Cause::PathLost || !self.buffer.has_head();
        let race = Race::new(can_current_win);
        current.sent.observer.enter(&race, Side::Current);
        next.sent.observer.enter(&race, Side::Next);
        let happened = {
            let overdue = handover::overdue(&current.sent, &next.sent);
            let current = (&mut current.exchange).map(Happened::CurrentEnded);
            let next = (&mut next.exchange).map(Happened::NextEnded);
            let decided = race.decided().map(|()| Happened::Decided);
            let overdue = overdue.map(|()| Happened::Overdue);
            let happened = [
                current.boxed_local(),
                next.boxed_local(),
                decided.boxed_local(),
                overdue.boxed_local(),
            ];
            future::select_all(happened).await.0
        };
        match (race.winner(), happened) {
            (Some(Side::Next), Happened::NextEnded(exchanged)) => {
                self.taken_over(cause, &current.sent, &next.sent);
                Left::Ended(next.sent, Box::new(exchanged))
            }
            (Some(Side::Next), _) => {
                self.taken_over(cause, &current.sent, &next.sent);
                Left::One(next)
            }
            (_, Happened::CurrentEnded((Err(failed), delivered))) if race.winner().is_none() => {
                self.history.delivered = delivered;
                self.failed_meanwhile(&current.sent, failed, &next.sent)
                    .await;
                Left::One(next)
            }
            (_, Happened::CurrentEnded(exchanged)) => {
                self.withdrawn(cause, &next.sent, &current.sent, ANSWER_GOES_ON);
                Left::Ended(current.sent, Box::new(exchanged))
            }
            (None, Happened::NextEnded((ended, _))) => {
                if let Err(failed) = ended {
                    self.not_taken_over(failed, &next.sent, &current.sent).await;
                }
                Left::One(current)
            }
            (None, Happened::Overdue) if takeover.ends_current(&current.sent) => {
                self.log_replaced(cause, &current.sent, &next.sent);
                self.taken_over(cause, &current.sent, &next.sent);
                Left::One(next)
            }
            (None, Happened::Overdue) => {
                let metrics = &self.daemon.metrics;
                metrics.record_undecided_takeover(cause, Side::Next);
                self.withdrawn(cause, &next.sent, &current.sent, NO_EVENT);
                Left::One(current)
            }
            _ => {
                self.withdrawn(cause, &next.sent, &current.sent, ANSWER_GOES_ON);
                Left::One(current)
            }
        }
    }

    /// Logs and counts that a run ends for the next one, which has brought nothing yet.
    fn log_replaced(&self, cause: Cause, current: &Sent, next: &Sent) {
        log::info!(
            cause:% = cause,
            from = current.instance().id,
            request = self.routed.log_id(),
            since_write_ms = lifecycle::log_ms(next.time_since_write()),
            target = next.instance().id,
            why = cause.why();
            "the run ends, and the next one goes on"
        );
        let metrics = &self.daemon.metrics;
        metrics.record_undecided_takeover(cause, Side::Current);
    }

    /// Ends a run that another one has taken over.
    fn taken_over(&mut self, cause: Cause, before: &Sent, next: &Sent) {
        let failed = match cause {
            Cause::Late(remaining) => {
                self.routed.log_migration(&before.observer, next, remaining);
                None
            }
            Cause::PathLost => Some(send::path_lost(self.buffer)),
            Cause::Restarted => Some(send::target_restarted(self.buffer)),
        };
        let outcome = match &failed {
            Some(failed) => send::outcome_of(failed),
            None => Outcome::Cancelled,
        };
        self.end_run(before, outcome);
        let instance = before.instance().clone();
        match failed {
            Some(failed) => self.record_replaced(instance, failed),
            None => self.history.record_migration(instance),
        }
        self.history.record_send(next.instance());
    }

    /// Records that a run has failed while the one that takes over is in progress.
    async fn failed_meanwhile(&mut self, before: &Sent, failed: SendFailure, next: &Sent) {
        let failed = self.with_path_fault(before.instance(), failed).await;
        self.end_run(before, send::outcome_of(&failed));
        self.record_replaced(before.instance().clone(), failed);
        self.history.record_send(next.instance());
    }

    /// Records that a run was to take over and has failed.
    async fn not_taken_over(&mut self, failed: SendFailure, next: &Sent, current: &Sent) {
        let failed = self.with_path_fault(next.instance(), failed).await;
        self.end_run(next, send::outcome_of(&failed));
        self.record_replaced(next.instance().clone(), failed);
        self.history.record_send(current.instance());
    }

    /// Records that a run was to take over and is not needed.
    fn withdrawn(&mut self, cause: Cause, next: &Sent, current: &Sent, why: &str) {
        log::info!(
            cause:% = cause,
            from = current.instance().id,
            request = self.routed.log_id(),
            since_write_ms = lifecycle::log_ms(next.time_since_write()),
            target = next.instance().id,
            why = why;
            "the run goes on, and none takes over"
        );
        self.history
            .record_withdrawn(next.instance().clone(), self.buffer);
        self.history.record_send(current.instance());
    }

    fn record_replaced(&mut self, target: TargetInstance, failed: SendFailure) {
        self.record_lost_connection(&target, &failed);
        self.history
            .record_replaced(self.routed, target, failed, self.buffer);
    }
}

fn own_stop(message: &str) -> Refusal {
    Refusal::new(ErrorKind::NoTarget, message)
        .ran(Executed::No)
        .own_stop()
}
