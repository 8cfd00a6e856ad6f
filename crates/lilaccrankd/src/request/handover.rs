//! Time limit for two runs of one request that are in progress.
//!
//! Once the next target has the request, the run before may go on for a moment only, unless its target is
//! not reached. The first event of the next run may take longer than that; one of the two then ends
//! without it.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;

use crate::request::run::Sent;
use crate::request::takeover::Cause;

/// Time from the write of the next run's request in which its first event is awaited. Both targets may work
/// for 400 ms; the rest is left for the cancel to reach one of them, through a relay or from a busy daemon.
const LIMIT: Duration = Duration::from_millis(300);

/// Completes once both runs have been in progress for [`LIMIT`] while the target of the current one was
/// reached.
pub async fn overdue(cause: Cause, current: &Sent, next: &Sent) {
    let write_time = &next.transport.write_time;
    let mut since = write_time.written().await;
    if cause == Cause::PathLost {
        since = since.max(reached(current).await);
    }
    loop {
        let due = monoio::time::sleep(LIMIT.saturating_sub(since.elapsed()));
        let cut = current.transport.cut();
        pin_mut!(due, cut);
        match future::select(due, cut).await {
            Either::Right(_) => since = reached(current).await,
            // A request that could not be written whole is written to another connection.
            Either::Left(_) => match write_time.get() {
                Some(at) if at > since => since = at,
                _ => return,
            },
        }
    }
}

async fn reached(sent: &Sent) -> Instant {
    sent.transport.reached().await;
    Instant::now()
}
