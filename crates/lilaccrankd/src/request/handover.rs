//! Time limit for two runs of one request that are in progress.
//!
//! Once the next target has the request, the run before may go on for a moment only, unless its target is
//! not reached. The first event of the next run may take longer than that; one of the two then ends
//! without it.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;

use crate::request::run::Sent;

/// Time from the write of the next run's request in which its first event is awaited. Both targets may work
/// for 400 ms; the rest is left for the cancel to reach one of them, through a relay or from a busy daemon.
const LIMIT: Duration = Duration::from_millis(300);

/// Completes once both runs have been in progress for `LIMIT` while the target of the current one was
/// reached.
pub async fn overdue(current: &Sent, next: &Sent) {
    let write_time = &next.transport.write_time;
    let mut since = write_time.written().await;
    loop {
        if !current.transport.is_reached() {
            current.transport.reached().await;
            since = Instant::now();
        }
        let due = monoio::time::sleep(LIMIT.saturating_sub(since.elapsed()));
        let unreached = current.transport.unreached();
        pin_mut!(due, unreached);
        if let Either::Left(_) = future::select(due, unreached).await {
            // A request that could not be written whole is written to another connection.
            match write_time.get() {
                Some(at) if at > since => since = at,
                _ => return,
            }
        }
    }
}
