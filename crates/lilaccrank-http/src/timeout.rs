//! Timeouts that don't blame a peer for the time in which this process got no processor time.
//!
//! What a peer sent meanwhile lies in the kernel, and tasks that have to read it run only after the
//! timer has fired.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use thiserror::Error;

/// Result of waiting.
pub type Result<T, E = Elapsed> = std::result::Result<T, E>;

/// Lateness of a timer from which this process counts as held up. Timers of a process that runs are late
/// by a few milliseconds at most.
const HELD_UP: Duration = Duration::from_millis(20);
/// Longest extension for one hold-up. Tasks that have something to read need less.
const MAX_EXTENSION: Duration = Duration::from_secs(1);
/// Maximum number of extensions, for a process that is held up again and again.
const EXTENSIONS_LIMIT: u32 = 3;

/// The time is over.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("timed out")]
pub struct Elapsed;

/// Waits for `fut` for `limit`, and on if this process was held up when the time was over: for as long as
/// it was late, but no longer than the limit.
///
/// # Errors
///
/// [`Elapsed`] once the time is over.
pub async fn timeout<F: Future>(limit: Duration, fut: F) -> Result<F::Output> {
    let elapsed = sleep_until(Instant::now() + limit, limit);
    pin_mut!(fut, elapsed);
    match future::select(fut, elapsed).await {
        Either::Left((output, _)) => Ok(output),
        Either::Right(_) => Err(Elapsed),
    }
}

/// Completes at `due`, or later if this process was held up then: by as long as it was late, but no longer
/// than `limit`.
pub(crate) async fn sleep_until(mut due: Instant, limit: Duration) {
    for extensions in 0.. {
        monoio::time::sleep_until(due.into()).await;
        let now = Instant::now();
        let late = now.saturating_duration_since(due);
        if late < HELD_UP || extensions == EXTENSIONS_LIMIT {
            return;
        }
        due = now + late.min(limit).min(MAX_EXTENSION);
    }
}
