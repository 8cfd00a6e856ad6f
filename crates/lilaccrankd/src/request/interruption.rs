//! Events that stop a request from outside: its callers disconnect, its deadline passes, or the
//! daemon has to exit.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::error_kind::{ErrorKind, Executed};

use crate::callers::refusal::Refusal;
use crate::request::abort_signal::AbortSignal;
use crate::request::answer_buffer::AnswerBuffer;

/// Completes when the request must stop, with the reason.
///
/// A request with a key runs on for `grace` after its last reader has gone, since its caller may
/// only have lost the connection and may repeat the request through another daemon.
pub async fn interrupted(
    buffer: &AnswerBuffer,
    deadline: Option<Instant>,
    grace: Duration,
    abort_signal: &AbortSignal,
) -> Refusal {
    let caller_gone = caller_gone(buffer, grace);
    let deadline_passed = deadline_passed(deadline);
    let aborted = abort_signal.triggered();
    pin_mut!(caller_gone, deadline_passed, aborted);
    let from_caller = future::select(caller_gone, deadline_passed);
    match future::select(from_caller, aborted).await {
        Either::Left((ended, _)) => from_caller_refusal(&ended),
        // The process is about to exit. A caller whose connection is merely closed could not tell
        // whether its request ran. `Leaving` by itself means "not run", which holds only for
        // requests that still wait for a target.
        Either::Right(_) => {
            Refusal::new(ErrorKind::Leaving, "this daemon has to end now").ran(Executed::Maybe)
        }
    }
}

fn from_caller_refusal<A, B>(ended: &Either<A, B>) -> Refusal {
    match ended {
        Either::Left(_) => Refusal::new(ErrorKind::Cancelled, "the caller went away"),
        Either::Right(_) => Refusal::new(ErrorKind::DeadlinePassed, "the deadline passed"),
    }
}

async fn caller_gone(buffer: &AnswerBuffer, grace: Duration) {
    loop {
        buffer.wait_for_no_reader().await;
        if grace.is_zero() {
            return;
        }
        let wait_for_reader = buffer.wait_for_reader();
        let grace_over = monoio::time::sleep(grace);
        pin_mut!(wait_for_reader, grace_over);
        if let Either::Right(_) = future::select(wait_for_reader, grace_over).await {
            return;
        }
    }
}

async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(at) => monoio::time::sleep_until(at.into()).await,
        None => future::pending().await,
    }
}
