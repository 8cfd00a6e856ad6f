//! The open connections of a server, of which those that are idle end when there are too many.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use event_listener::Event;
use indexmap::IndexMap;

use crate::head_timer::HeadTimer;

/// Number of a connection since the start of the server.
type ConnectionId = u64;

/// Open connections; clones share them.
#[derive(Clone, Default)]
pub(super) struct OpenConnections {
    inner: Rc<State>,
}

#[derive(Default)]
struct State {
    entries: RefCell<IndexMap<ConnectionId, Rc<Entry>>>,
    next_id: Cell<ConnectionId>,
}

struct Entry {
    head_timer: HeadTimer,
    is_displaced: Cell<bool>,
    displaced: Event,
}

/// An open connection, until it is dropped.
pub(super) struct OpenConnection {
    all: OpenConnections,
    entry: Rc<Entry>,
    id: ConnectionId,
}

impl OpenConnections {
    /// Adds a connection. Beyond `limit`, the one that has been idle for longest is displaced.
    pub(super) fn add(&self, head_timer: &HeadTimer, limit: usize) -> OpenConnection {
        let state = &self.inner;
        if state.entries.borrow().len() >= limit {
            self.displace_idle();
        }
        let id = state.next_id.get();
        state.next_id.set(id + 1);
        let entry = Rc::new(Entry {
            head_timer: head_timer.clone(),
            is_displaced: Cell::default(),
            displaced: Event::new(),
        });
        state.entries.borrow_mut().insert(id, Rc::clone(&entry));
        OpenConnection {
            all: self.clone(),
            entry,
            id,
        }
    }

    fn displace_idle(&self) {
        let entries = self.inner.entries.borrow();
        let open = entries.values().filter(|entry| !entry.is_displaced.get());
        let idle = open.filter(|entry| entry.head_timer.is_between_requests());
        if let Some(entry) = idle.min_by_key(|entry| entry.head_timer.active_at()) {
            entry.is_displaced.set(true);
            entry.displaced.notify(usize::MAX);
        }
    }
}

impl OpenConnection {
    /// Completes once another connection needs the place of this one.
    pub(super) async fn displaced(&self) {
        while !self.entry.is_displaced.get() {
            let listener = self.entry.displaced.listen();
            if !self.entry.is_displaced.get() {
                listener.await;
            }
        }
    }

    /// Keeps a connection that was to be displaced.
    pub(super) fn keep(&self) {
        self.entry.is_displaced.set(false);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.inner.entries.borrow_mut().swap_remove(&self.id);
    }
}
