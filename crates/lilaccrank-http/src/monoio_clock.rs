//! The clock port on monoio's timers, which count in about a millisecond.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

use lilaccrank::clock::Clock;

/// The clock of the running monoio runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct MonoioClock;

impl Clock for MonoioClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static {
        monoio::time::sleep(duration)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
