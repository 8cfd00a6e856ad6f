//! The clock interface. All code takes its time from it, so that tests can pause and advance it.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

mod timeouts;

pub use timeouts::{hard_timeout, sleep_until, timeout};

/// Time since the machine booted. Unlike [`Instant`] it includes time spent in suspend, so that
/// information from before a suspend is known to be stale afterwards.
pub type BootTime = Duration;

/// Longest part of the time between two turns of a periodic task that counts as running. In the rest, what had
/// arrived may have been waiting to be read.
pub const MAX_STEP: Duration = Duration::from_millis(100);

/// Longest time that a number of another process or of an operator stands for. The runtime's timers panic
/// on instants outside of their range.
pub const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Returns the time that a number of milliseconds stands for, at most [`MAX_TIME`].
#[must_use]
pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms).min(MAX_TIME)
}

/// Returns the part of the time between two turns of a periodic task in which the process was held up.
#[must_use]
pub fn held_up(gap: Duration) -> Duration {
    gap.saturating_sub(MAX_STEP)
}

/// A source of time and of timers.
pub trait Clock: Clone + 'static {
    /// Returns the time since the machine booted, including time spent in suspend.
    fn boot_time(&self) -> BootTime;

    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Completes once `duration` has passed on this clock.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static;

    /// Returns the wall-clock time, for records that other processes read.
    fn wall_time(&self) -> SystemTime;
}
