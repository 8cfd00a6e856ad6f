//! A fake operating system process that can be frozen and killed.

use std::cell::{Cell, RefCell};
use std::future::{self, Future};
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Clone, Copy, Eq, PartialEq)]
pub enum ProcessState {
    Frozen,
    Killed,
    Running,
}

/// Runs a future like a process: while frozen it is not polled, when killed it is dropped.
#[derive(Clone)]
pub struct FakeProcess {
    state: Rc<Cell<ProcessState>>,
    waker: Rc<RefCell<Option<Waker>>>,
}

impl FakeProcess {
    pub fn new() -> Self {
        Self {
            state: Rc::new(Cell::new(ProcessState::Running)),
            waker: Rc::default(),
        }
    }

    pub fn set_state(&self, state: ProcessState) {
        self.state.set(state);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub async fn run(self, work: impl Future<Output = ()>) {
        let mut work = Box::pin(work);
        future::poll_fn(|cx| {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            match self.state.get() {
                ProcessState::Frozen => Poll::Pending,
                ProcessState::Killed => Poll::Ready(()),
                ProcessState::Running => work.as_mut().poll(cx),
            }
        })
        .await;
    }
}
