//! The clock port: all code takes time from it, so that tests can pause and advance it.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

/// Time since the machine started. Unlike [`Instant`] it goes on while the machine is suspended,
/// so that what was learnt before is known to be old after.
pub type BootTime = Duration;

/// A source of time and of timers.
pub trait Clock: Clone + 'static {
    /// Time since the machine started, times of suspension included.
    fn boot_time(&self) -> BootTime;

    /// Monotonic time of this process.
    fn now(&self) -> Instant;

    /// Completes once `duration` has passed on this clock.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static;

    /// Wall time, for records that other processes read.
    fn wall_time(&self) -> SystemTime;
}

/// Runs `fut` for at most `limit`; `None` if the time is up first.
pub async fn timeout<C: Clock, F: Future>(clock: &C, limit: Duration, fut: F) -> Option<F::Output> {
    let fut = std::pin::pin!(fut);
    let sleep = std::pin::pin!(clock.sleep(limit));
    match futures::future::select(fut, sleep).await {
        futures::future::Either::Left((output, _)) => Some(output),
        futures::future::Either::Right(((), _)) => None,
    }
}
