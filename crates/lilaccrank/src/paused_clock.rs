//! A clock for tests that only moves when it is advanced.

use std::cell::RefCell;
use std::future::{self, Future};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

use crate::clock::{BootTime, Clock};

/// A paused clock; clones share their time. Use it with a single-threaded executor such as
/// [`futures::executor::LocalPool`]: run until stalled, [`advance`](Self::advance), repeat.
#[derive(Clone)]
pub struct PausedClock {
    inner: Rc<RefCell<Inner>>,
}

struct Inner {
    elapsed: Duration,
    start: Instant,
    suspended: Duration,
    wakers: Vec<Waker>,
}

impl PausedClock {
    /// Creates a paused clock.
    #[must_use]
    pub fn new() -> Self {
        let inner = Inner {
            elapsed: Duration::ZERO,
            start: Instant::now(),
            suspended: Duration::ZERO,
            wakers: Vec::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Advances the time and wakes all sleeping tasks, which check the time themselves.
    pub fn advance(&self, duration: Duration) {
        let wakers = {
            let mut inner = self.inner.borrow_mut();
            inner.elapsed += duration;
            std::mem::take(&mut inner.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Simulates a suspend of the machine: advances only the time since boot.
    pub fn suspend(&self, duration: Duration) {
        self.inner.borrow_mut().suspended += duration;
    }

    /// Returns the time by which the clock was advanced since it was created.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.inner.borrow().elapsed
    }
}

impl Default for PausedClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for PausedClock {
    fn boot_time(&self) -> BootTime {
        let inner = self.inner.borrow();
        inner.elapsed + inner.suspended
    }

    fn now(&self) -> Instant {
        let inner = self.inner.borrow();
        inner.start + inner.elapsed
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + 'static {
        let inner = Rc::clone(&self.inner);
        let until = inner.borrow().elapsed + duration;
        future::poll_fn(move |cx| {
            let mut inner = inner.borrow_mut();
            if inner.elapsed >= until {
                return Poll::Ready(());
            }
            inner.wakers.push(cx.waker().clone());
            Poll::Pending
        })
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
