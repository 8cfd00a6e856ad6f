//! Implements the clock port with monoio's timers, which have a resolution of about 1 ms.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

use lilaccrank::clock::{BootTime, Clock};

/// The clock of the running monoio runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct MonoioClock;

impl Clock for MonoioClock {
    fn boot_time(&self) -> BootTime {
        let ts = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(
            u64::try_from(ts.tv_sec).unwrap_or_default(),
            u32::try_from(ts.tv_nsec).unwrap_or_default(),
        )
    }

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static {
        monoio::time::sleep(duration)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
