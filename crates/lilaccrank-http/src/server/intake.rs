//! Paces the intake of new connections: requests in progress go first.
//!
//! A connection that was accepted shares the processor with all others until its request ends. New
//! connections are therefore accepted a few at a time, each time after all tasks that were ready had their
//! turn, and the rest wait in the kernel's queue. Those that would wait for too long are closed unread: their
//! clients know at once that nothing has run, and try elsewhere.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::runtime;

/// Connections that are accepted in one turn of the tasks that are ready.
const BATCH: u32 = 4;
/// Time for which connections may wait without a pause. Clients give up on a server that has not read their
/// request after a second, or earlier.
const STANDING_LIMIT: Duration = Duration::from_millis(500);
/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What becomes of the next connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Next {
    Accept,
    /// Close it without having read from it.
    CloseUnread,
}

/// Intake of the connections of one listener.
#[derive(Default)]
pub(super) struct Intake {
    /// Connections accepted in the present turn.
    accepted: Cell<u32>,
    closed_unread: Cell<u64>,
    /// Whether those that wait are closed until none is left.
    is_closing: Cell<bool>,
    logged_at: Cell<Option<Instant>>,
    logged_count: Cell<u64>,
    /// For how long connections may wait without a pause.
    standing_limit: Option<Duration>,
    /// Since when connections have been waiting without a pause.
    waiting_since: Cell<Option<Instant>>,
}

impl Intake {
    /// Connections wait for as long as it takes.
    pub(super) fn patient() -> Self {
        Self::default()
    }

    /// Connections that would wait for too long are closed unread.
    pub(super) fn closing() -> Self {
        Self {
            standing_limit: Some(STANDING_LIMIT),
            ..Self::default()
        }
    }

    /// Records that no connection is waiting.
    pub(super) fn record_empty(&self) {
        self.accepted.set(0);
        self.waiting_since.set(None);
        if self.is_closing.replace(false) {
            self.log();
        }
    }

    /// Decides about a connection that is waiting, at need after a turn of all tasks that are ready.
    pub(super) async fn next(&self) -> Next {
        let now = Instant::now();
        let since = self.waiting_since.get().unwrap_or(now);
        self.waiting_since.set(Some(since));
        if !self.is_closing.get() && self.accepted.get() >= BATCH {
            runtime::turn().await;
            self.accepted.set(0);
            let limit = self.standing_limit;
            self.is_closing
                .set(limit.is_some_and(|limit| since.elapsed() >= limit));
        }
        if self.is_closing.get() {
            self.closed_unread.set(self.closed_unread.get() + 1);
            return Next::CloseUnread;
        }
        self.accepted.set(self.accepted.get() + 1);
        Next::Accept
    }

    fn log(&self) {
        let now = Instant::now();
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        let count = self.closed_unread.get();
        log::warn!(
            connections = count - self.logged_count.get(),
            waited_ms = STANDING_LIMIT.as_millis() as u64;
            "connections closed unread: the processor does not suffice for more requests"
        );
        self.logged_at.set(Some(now));
        self.logged_count.set(count);
    }
}
