//! Signal that aborts the requests in progress at the end of a shutdown.

use std::cell::Cell;

use event_listener::Event;

/// Set once, if a daemon that shuts down cannot finish its requests in time.
#[derive(Default)]
pub struct AbortSignal {
    triggered: Cell<bool>,
    event: Event,
}

impl AbortSignal {
    /// Aborts all requests in progress.
    pub fn trigger(&self) {
        self.triggered.set(true);
        self.event.notify(usize::MAX);
    }

    /// Completes once the signal is set; at once if it is set already.
    pub async fn triggered(&self) {
        while !self.triggered.get() {
            let listener = self.event.listen();
            if !self.triggered.get() {
                listener.await;
            }
        }
    }
}
