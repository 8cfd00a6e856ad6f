//! Tells the requests in progress that the daemon can't wait for them any longer.

use std::cell::Cell;

use event_listener::Event;

/// Set once, at the end of a daemon that does not get done in time.
#[derive(Default)]
pub struct Cutting {
    begun: Cell<bool>,
    event: Event,
}

impl Cutting {
    /// Cuts all requests in progress.
    pub fn begin(&self) {
        self.begun.set(true);
        self.event.notify(usize::MAX);
    }

    /// Completes once requests are to be cut.
    pub async fn begun(&self) {
        while !self.begun.get() {
            let listener = self.event.listen();
            if !self.begun.get() {
                listener.await;
            }
        }
    }
}
