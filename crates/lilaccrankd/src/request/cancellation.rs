//! Cancellation of a request: its callers leave, its deadline passes, or the daemon has to exit.
//!
//! All work on a request runs inside [`Cancellation::run`], which drops it when the request is
//! cancelled, whatever it waits for. What has to happen then stands in the `Drop` of what the work
//! holds.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::timeout;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::answer_buffer::AnswerBuffer;

/// What cancels a request.
pub struct Cancellation {
    buffer: Rc<AnswerBuffer>,
    daemon: Rc<Daemon>,
    deadline: Option<Instant>,
    grace: Duration,
}

impl Cancellation {
    /// Cancellation of a request whose answer is written to `buffer`.
    ///
    /// A request with a key runs on for `grace` after its last reader has gone, since its caller may
    /// only have lost the connection and may repeat the request through another daemon.
    #[must_use]
    pub fn new(
        daemon: &Rc<Daemon>,
        buffer: &Rc<AnswerBuffer>,
        deadline: Option<Instant>,
        grace: Duration,
    ) -> Self {
        Self {
            buffer: Rc::clone(buffer),
            daemon: Rc::clone(daemon),
            deadline,
            grace,
        }
    }

    /// Runs `work` to its end, or drops it when the request is cancelled.
    ///
    /// # Errors
    ///
    /// The reason of the cancellation.
    pub async fn run<F: Future>(&self, work: F) -> Result<F::Output> {
        let cancelled = self.cancelled();
        pin_mut!(work, cancelled);
        match future::select(work, cancelled).await {
            Either::Left((output, _)) => Ok(output),
            Either::Right((refusal, _)) => Err(refusal),
        }
    }

    /// Checks right before a send that somebody still waits for the answer, by the clock and the state of
    /// the callers' connections, which may be newer than what has woken the request's task.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Cancelled`] if all callers have left, or [`ErrorKind::DeadlinePassed`].
    pub fn check(&self) -> Result<()> {
        if self.grace.is_zero() && !self.buffer.has_open_reader() {
            return Err(caller_left().ran(Executed::No));
        }
        if self.deadline.is_some_and(|at| Instant::now() >= at) {
            return Err(late().ran(Executed::No));
        }
        Ok(())
    }

    async fn cancelled(&self) -> Refusal {
        let callers_left = self.callers_left();
        let deadline_passed = deadline_passed(self.deadline);
        let aborted = self.daemon.abort_signal.triggered();
        pin_mut!(callers_left, deadline_passed, aborted);
        let from_caller = future::select(callers_left, deadline_passed);
        match future::select(from_caller, aborted).await {
            Either::Left((Either::Left(_), _)) => caller_left(),
            Either::Left((Either::Right(_), _)) => late(),
            // The process is about to exit. A caller whose connection is merely closed could not
            // tell whether its request ran. `Leaving` by itself means "not run", which holds only
            // for requests that still wait for a target.
            Either::Right(_) => {
                Refusal::new(ErrorKind::Leaving, "this daemon has to end now").ran(Executed::Maybe)
            }
        }
    }

    async fn callers_left(&self) {
        loop {
            self.buffer.wait_for_no_reader().await;
            if self.grace.is_zero() {
                return;
            }
            let returned = timeout::timeout(self.grace, self.buffer.wait_for_reader()).await;
            if returned.is_err() {
                return;
            }
        }
    }
}

fn caller_left() -> Refusal {
    Refusal::new(ErrorKind::Cancelled, "the caller went away")
}

fn late() -> Refusal {
    Refusal::new(ErrorKind::DeadlinePassed, "the deadline passed")
}

async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(at) => monoio::time::sleep_until(at.into()).await,
        None => future::pending().await,
    }
}
