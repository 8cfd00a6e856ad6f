//! What ends a request from outside: its callers have gone, its deadline has passed, or the
//! daemon ends before it.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::error_kind::{ErrorKind, Executed};

use crate::callers::refusal::Refusal;
use crate::request::cutting::Cutting;
use crate::request::run::Run;

/// Completes when the request is to be stopped, with the reason.
///
/// A request with a key runs on for `grace` after its last reader has gone, since its caller
/// may only have lost the connection and repeats it through another daemon.
pub async fn interrupted(
    run: &Run,
    deadline: Option<Instant>,
    grace: Duration,
    cutting: &Cutting,
) -> Refusal {
    let gone = gone(run, grace);
    let passed = passed(deadline);
    let cut = cutting.begun();
    pin_mut!(gone, passed, cut);
    let from_caller = future::select(gone, passed);
    match future::select(from_caller, cut).await {
        Either::Left((ended, _)) => from_caller_refusal(&ended),
        // The process is about to end. A caller that is only cut off could not tell whether its
        // request ran; the kind alone would say "not run", which is true for who still waits.
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

async fn gone(run: &Run, grace: Duration) {
    loop {
        run.abandoned().await;
        if grace.is_zero() {
            return;
        }
        let attended = run.attended();
        let over = monoio::time::sleep(grace);
        pin_mut!(attended, over);
        if let Either::Right(_) = future::select(attended, over).await {
            return;
        }
    }
}

async fn passed(deadline: Option<Instant>) {
    match deadline {
        Some(at) => monoio::time::sleep_until(at.into()).await,
        None => future::pending().await,
    }
}
