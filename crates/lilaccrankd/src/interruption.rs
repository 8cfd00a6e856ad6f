//! What ends a request from outside: its callers have gone, or its deadline has passed.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::error_kind::ErrorKind;

use crate::refusal::Refusal;
use crate::run::Run;

/// Completes when the request is to be stopped, with the reason.
///
/// A request with a key runs on for `grace` after its last reader has gone, since its caller
/// may only have lost the connection and repeats it through another daemon.
pub async fn interrupted(run: &Run, deadline: Option<Instant>, grace: Duration) -> Refusal {
    let gone = gone(run, grace);
    let passed = passed(deadline);
    pin_mut!(gone, passed);
    match future::select(gone, passed).await {
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
