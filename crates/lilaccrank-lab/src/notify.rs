//! Wakes the tasks of one thread that wait for a change.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use indexmap::IndexMap;

/// Tells waiting tasks that something changed; they look themselves at what did.
#[derive(Default)]
pub struct Notify {
    changes: Cell<u64>,
    next_id: Cell<u64>,
    wakers: RefCell<IndexMap<u64, Waker>>,
}

/// Waits for the next change.
///
/// Takes its waker back when it is dropped: watches whose time runs out again and again, with no
/// change in between, would otherwise pile up wakers of tasks long gone.
pub struct Changed<'a> {
    id: u64,
    notify: &'a Notify,
    seen: u64,
}

impl Notify {
    /// Wakes all that wait.
    pub fn notify(&self) {
        self.changes.set(self.changes.get() + 1);
        let wakers = self.wakers.take();
        wakers.into_values().for_each(Waker::wake);
    }

    /// Completes at the next [`notify`](Self::notify) after this call.
    pub fn changed(&self) -> Changed<'_> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        Changed {
            id,
            notify: self,
            seen: self.changes.get(),
        }
    }

    /// Tasks that wait now.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.wakers.borrow().len()
    }
}

impl Future for Changed<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.notify.changes.get() != self.seen {
            return Poll::Ready(());
        }
        let mut wakers = self.notify.wakers.borrow_mut();
        wakers.insert(self.id, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Changed<'_> {
    fn drop(&mut self) {
        self.notify.wakers.borrow_mut().swap_remove(&self.id);
    }
}
