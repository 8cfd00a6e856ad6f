//! Timeouts on the runtime's clock that don't blame a peer for the time in which this process got no
//! processor time; see [`clock::timeout`].

use std::time::{Duration, Instant};

use lilaccrank::clock;
use thiserror::Error;

use crate::monoio_clock::MonoioClock;

/// Result of waiting.
pub type Result<T, E = Elapsed> = std::result::Result<T, E>;

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
    let output = clock::timeout(&MonoioClock, limit, Box::pin(fut)).await;
    output.ok_or(Elapsed)
}

/// Completes at `due`, or later if this process was held up then: by as long as it was late, but no longer
/// than `limit`.
pub(crate) async fn sleep_until(due: Instant, limit: Duration) {
    clock::sleep_until(&MonoioClock, due, limit).await;
}
