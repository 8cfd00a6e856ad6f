//! A stand-in for an operating system's process.

use std::cell::{Cell, RefCell};
use std::future::{self, Future};
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Power {
    Frozen,
    Killed,
    Running,
}

/// Stands for the operating system's process: a frozen one is not polled, a killed one dropped.
#[derive(Clone)]
pub struct Process {
    power: Rc<Cell<Power>>,
    waker: Rc<RefCell<Option<Waker>>>,
}

impl Process {
    pub fn new() -> Self {
        Self {
            power: Rc::new(Cell::new(Power::Running)),
            waker: Rc::default(),
        }
    }

    pub fn set(&self, power: Power) {
        self.power.set(power);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub async fn run(self, work: impl Future<Output = ()>) {
        let mut work = Box::pin(work);
        future::poll_fn(|cx| {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            match self.power.get() {
                Power::Frozen => Poll::Pending,
                Power::Killed => Poll::Ready(()),
                Power::Running => work.as_mut().poll(cx),
            }
        })
        .await;
    }
}
