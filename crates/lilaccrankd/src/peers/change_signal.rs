//! A signal that something has changed since a task last checked.

use std::cell::Cell;

use event_listener::Event;

/// Signal from any number of writers to one task; several changes count as one.
///
/// A change that comes while the task is busy is kept until it waits again. A bare event wakes only
/// tasks that already listen: a change during the sending of a load update would only be sent with
/// the next heartbeat, and until then the peers would send requests to targets that are full.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    event: Event,
    is_pending: Cell<bool>,
}

impl ChangeSignal {
    /// Records a change and wakes the task.
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
