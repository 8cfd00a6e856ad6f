//! Takeover of a run by one at another target.
//!
//! A run whose path is lost, whose target has started again, or which is too slow goes on until the run
//! that takes over has brought its first part of the answer. The next run may be refused or fail; nothing
//! is lost then.

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

/// What follows on a run in progress.
enum Following<'a> {
    /// It ends, since its target is gone and its caller has nothing of the answer.
    End(SendFailure),
    /// Another run may take over.
    Next(Cause, Run<'a>),
}

/// What happened first while two runs were in progress.
enum Happened {
    CurrentEnded(Exchanged),
    Decided,
    NextEnded(Exchanged),
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
        let mut pause = Duration::ZERO;
        loop {
            let sent = Rc::clone(&current.sent);
            let following = {
                let following = self.following(&sent, proxied, pause);
                pin_mut!(following);
                match future::select(&mut current.exchange, following).await {
                    Either::Left((exchanged, _)) => Either::Left(exchanged),
                    Either::Right((following, _)) => Either::Right(following),
                }
            };
            let (cause, next) = match following {
                Either::Left(exchanged) => return self.ended(sent, exchanged),
                Either::Right(Following::End(failed)) => return (sent, Err(failed)),
                Either::Right(Following::Next(cause, next)) => (cause, next),
            };
            match self.race(cause, current, next).await {
                Left::Ended(sent, exchanged) => return self.ended(sent, *exchanged),
                Left::One(run) => {
                    pause = match Rc::ptr_eq(&run.sent, &sent) {
                        true => RETRY_INTERVAL,
                        false => Duration::ZERO,
                    };
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

    /// Completes with what follows on a run in progress, after `pause`; never if nothing may.
    async fn following(
        &mut self,
        current: &Sent,
        proxied: &'a ProxiedRequest,
        pause: Duration,
    ) -> Following<'a> {
        let mut pause = pause;
        loop {
            monoio::time::sleep(pause).await;
            pause = RETRY_INTERVAL;
            let cause = self.cause(current).await;
            let may_take_over = self.history.may_take_over(self.buffer)
                && self
                    .daemon
                    .retry_budgets
                    .has_budget(&self.routed.route.pool);
            if !may_take_over && cause == Cause::Restarted && !self.buffer.has_head() {
                return Following::End(send::target_restarted(self.buffer));
            }
            if may_take_over && let Some(next) = self.try_next(cause, current, proxied).await {
                return Following::Next(cause, next);
            }
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
        cause: Cause,
        current: &Sent,
        proxied: &'a ProxiedRequest,
    ) -> Option<Run<'a>> {
        let request = self.routed.log_id();
        let began_at = Instant::now();
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
                Either::Right(_) => Err(own_stop("the answer goes on at its target")),
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

    /// Lets two runs go on until one of them delivers the answer.
    async fn race(&mut self, cause: Cause, current: Run<'a>, next: Run<'a>) -> Left<'a> {
        let (mut current, mut next) = (current, next);
        // A run that has delivered nothing is not resumed: either of them delivers all of the answer.
        let can_current_win = cause == Cause::PathLost || !self.buffer.has_head();
        let race = Race::new(can_current_win);
        current.sent.observer.enter(&race, Side::Current);
        next.sent.observer.enter(&race, Side::Next);
        let happened = {
            let current = (&mut current.exchange).map(Happened::CurrentEnded);
            let next = (&mut next.exchange).map(Happened::NextEnded);
            let decided = race.decided().map(|()| Happened::Decided);
            let happened = [
                current.boxed_local(),
                next.boxed_local(),
                decided.boxed_local(),
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
                self.withdrawn(cause, &next.sent, &current.sent);
                Left::Ended(current.sent, Box::new(exchanged))
            }
            (None, Happened::NextEnded((ended, _))) => {
                if let Err(failed) = ended {
                    self.not_taken_over(failed, &next.sent, &current.sent).await;
                }
                Left::One(current)
            }
            _ => {
                self.withdrawn(cause, &next.sent, &current.sent);
                Left::One(current)
            }
        }
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
    fn withdrawn(&mut self, cause: Cause, next: &Sent, current: &Sent) {
        log::info!(
            cause:% = cause,
            from = current.instance().id,
            request = self.routed.log_id(),
            target = next.instance().id;
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
