//! Tells one task that something has changed since it last looked.

use std::cell::Cell;

use event_listener::Event;

/// Changes of one thing, of which any number counts as one.
///
/// A change that comes while the task is at work is kept until it looks again. A bare event wakes
/// only who already listens: what changed while a daemon told its load was told a quarter of a second
/// later, and the others sent their requests to targets that were full.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    event: Event,
    is_pending: Cell<bool>,
}

impl ChangeSignal {
    /// Something has changed.
    pub fn notify(&self) {
        self.is_pending.set(true);
        self.event.notify(usize::MAX);
    }

    /// Completes once something has changed since the last call completed.
    pub async fn changed(&self) {
        while !self.is_pending.take() {
            self.event.listen().await;
        }
    }
}
