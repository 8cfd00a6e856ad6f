//! Wakes the tasks of one thread that wait for a change.

use std::cell::{Cell, RefCell};
use std::future::{self, Future};
use std::task::{Poll, Waker};

/// Tells waiting tasks that something changed; they look themselves at what did.
#[derive(Default)]
pub struct Notify {
    changes: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Wakes all that wait.
    pub fn notify(&self) {
        self.changes.set(self.changes.get() + 1);
        let wakers = self.wakers.take();
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Completes at the next [`notify`](Self::notify) after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + '_ {
        let seen = self.changes.get();
        future::poll_fn(move |cx| {
            if self.changes.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
    }
}
