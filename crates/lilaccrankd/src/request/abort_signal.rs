//! Tells the requests in progress that the daemon can't wait for them any longer.

use std::cell::Cell;

use event_listener::Event;

/// Set once, at the end of a daemon that does not get done in time.
#[derive(Default)]
pub struct AbortSignal {
    triggered: Cell<bool>,
    event: Event,
}

impl AbortSignal {
    /// Cuts all requests in progress.
    pub fn trigger(&self) {
        self.triggered.set(true);
        self.event.notify(usize::MAX);
    }

    /// Completes once requests are to be cut.
    pub async fn triggered(&self) {
        while !self.triggered.get() {
            let listener = self.event.listen();
            if !self.triggered.get() {
                listener.await;
            }
        }
    }
}
