//! When a request was last written to a connection.

use std::cell::Cell;
use std::time::Instant;

use event_listener::Event;

/// Time of the last write of a request.
#[derive(Debug, Default)]
pub struct WriteTime {
    at: Cell<Option<Instant>>,
    written: Event,
}

impl WriteTime {
    /// Records that the request is written now.
    pub fn record(&self) {
        self.at.set(Some(Instant::now()));
        self.written.notify(usize::MAX);
    }

    /// When the request was written; `None` if it wasn't yet.
    #[must_use]
    pub fn get(&self) -> Option<Instant> {
        self.at.get()
    }

    /// Completes once the request has been written, with the time of it.
    pub async fn written(&self) -> Instant {
        loop {
            let listener = self.written.listen();
            if let Some(at) = self.get() {
                return at;
            }
            listener.await;
        }
    }
}
