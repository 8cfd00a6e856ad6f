//! Timeouts that don't blame others for the time in which this process got no processor time.
//!
//! What others sent meanwhile lies in the kernel, and tasks that have to read it run only after the
//! timer has fired.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;

use super::Clock;

/// Lateness of a timer from which this process counts as held up. Timers of a process that runs are late
/// by a few milliseconds at most.
const HELD_UP: Duration = Duration::from_millis(20);
/// Longest extension for one hold-up. Tasks that have something to read need less.
const MAX_EXTENSION: Duration = Duration::from_secs(1);
/// Maximum number of extensions, for a process that is held up again and again.
const EXTENSIONS_LIMIT: u32 = 3;

/// Waits for `fut` for `limit`, and on if this process was held up when the time was over: for as long as
/// it was late, but no longer than the limit. Returns `None` if it did not complete in time.
pub async fn timeout<C: Clock, F: Future>(clock: &C, limit: Duration, fut: F) -> Option<F::Output> {
    let due = clock.now() + limit;
    // Boxed, as each layer of futures holds what it is given twice.
    until(Box::pin(fut), sleep_until(clock, due, limit)).await
}

/// Waits for `fut` for `limit` and no longer, whether or not this process was held up: for waits that others
/// rely on, such as the calls of a lease. Returns `None` if it did not complete in time.
pub async fn hard_timeout<C: Clock, F: Future>(
    clock: &C,
    limit: Duration,
    fut: F,
) -> Option<F::Output> {
    until(Box::pin(fut), clock.sleep(limit)).await
}

/// Completes at `due`, or later if this process was held up then: by as long as it was late, but no longer
/// than `limit`.
pub async fn sleep_until<C: Clock>(clock: &C, mut due: Instant, limit: Duration) {
    for extensions in 0.. {
        let now = clock.now();
        clock.sleep(due.saturating_duration_since(now)).await;
        let now = clock.now();
        let late = now.saturating_duration_since(due);
        if late < HELD_UP || extensions == EXTENSIONS_LIMIT {
            return;
        }
        due = now + late.min(limit).min(MAX_EXTENSION);
    }
}

async fn until<F: Future>(fut: F, elapsed: impl Future<Output = ()>) -> Option<F::Output> {
    pin_mut!(fut, elapsed);
    match future::select(fut, elapsed).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}
