//! A clock that stands still until a test advances it.

use std::cell::RefCell;
use std::future::{self, Future};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

use crate::clock::{BootTime, Clock};

/// A paused clock; clones share one time. Use it with a single-threaded executor such as
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
    /// A clock that starts now and stands still.
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

    /// Moves time on and wakes every sleeper, which then looks at the time itself.
    pub fn advance(&self, duration: Duration) {
        let wakers = {
            let mut inner = self.inner.borrow_mut();
            inner.elapsed += duration;
            std::mem::take(&mut inner.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    /// The machine is suspended for this long: only the time since its start goes on.
    pub fn suspend(&self, duration: Duration) {
        self.inner.borrow_mut().suspended += duration;
    }

    /// Time advanced since the clock was made.
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
