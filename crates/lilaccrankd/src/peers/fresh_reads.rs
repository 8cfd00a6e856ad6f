//! Reads of one object that requests share: each gets the result of a read that began after it came.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;

use event_listener::Event;

use crate::peers::change_signal::ChangeSignal;

/// Reads by one task for any number of requests.
#[derive(Debug, Default)]
pub struct FreshReads {
    done: Event,
    finished: Cell<u64>,
    started: Cell<u64>,
    wanted: ChangeSignal,
}

impl FreshReads {
    /// Completes with the end of a read that has not begun yet.
    pub async fn next(&self) {
        let number = self.started.get() + 1;
        self.wanted.notify();
        while self.finished.get() < number {
            let listener = self.done.listen();
            if self.finished.get() < number {
                listener.await;
            }
        }
    }

    /// Reads whenever somebody waits, with these pauses between two reads.
    pub async fn serve<F: Future<Output = ()>>(
        &self,
        pause: impl Fn() -> Duration,
        read: impl Fn() -> F,
    ) {
        loop {
            self.wanted.changed().await;
            self.started.set(self.started.get() + 1);
            read().await;
            self.finished.set(self.started.get());
            self.done.notify(usize::MAX);
            monoio::time::sleep(pause()).await;
        }
    }
}
