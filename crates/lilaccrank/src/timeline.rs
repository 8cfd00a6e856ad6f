//! The timeline of a daemon: a bounded ring buffer of typed events, and the merge of several.

pub mod event;
pub mod merge;
pub mod stamp;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::SystemTime;

use crate::clock::Clock;
use crate::ids::VmId;

pub use event::{Event, EventKind, Query, Subject};
pub use merge::merge;
pub use stamp::Stamp;

/// Timeline of one daemon; clones share one ring buffer.
pub struct Timeline<C> {
    clock: C,
    inner: Rc<RefCell<Inner>>,
}

struct Inner {
    dropped: u64,
    events: VecDeque<Event>,
    last: Stamp,
    limit: usize,
}

impl<C: Clock> Timeline<C> {
    /// Creates a timeline of the daemon on `vm` that keeps the last `limit` events.
    #[must_use]
    pub fn new(clock: C, vm: VmId, limit: usize) -> Self {
        let inner = Inner {
            dropped: 0,
            events: VecDeque::new(),
            last: Stamp::start(vm),
            limit,
        };
        Self {
            clock,
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Returns the number of events that newer ones have displaced.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.inner.borrow().dropped
    }

    /// Merges the stamp of a received message, so that later events are ordered after it.
    pub fn observe(&self, remote: &Stamp) {
        let wall_ms = self.wall_ms();
        self.inner.borrow_mut().last.observe(remote, wall_ms);
    }

    /// Returns the events that match `query`, the oldest first.
    #[must_use]
    pub fn query(&self, query: &Query) -> Vec<Event> {
        let inner = self.inner.borrow();
        let matching = inner.events.iter().filter(|event| query.matches(event));
        matching.cloned().collect()
    }

    /// Records an event and returns its stamp.
    pub fn record(&self, kind: EventKind, subject: Subject) -> Stamp {
        let stamp = self.stamp();
        let mut inner = self.inner.borrow_mut();
        if inner.limit == 0 {
            inner.dropped += 1;
            return stamp;
        }
        if inner.events.len() == inner.limit {
            inner.events.pop_front();
            inner.dropped += 1;
        }
        inner.events.push_back(Event {
            kind,
            stamp: stamp.clone(),
            subject,
        });
        stamp
    }

    /// Returns a new stamp for a message to another daemon.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let wall_ms = self.wall_ms();
        let mut inner = self.inner.borrow_mut();
        inner.last.tick(wall_ms);
        inner.last.clone()
    }

    fn wall_ms(&self) -> u64 {
        let since = self
            .clock
            .wall_time()
            .duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |wall| {
            u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

impl<C: Clone> Clone for Timeline<C> {
    fn clone(&self) -> Self {
        Self {
            clock: self.clock.clone(),
            inner: Rc::clone(&self.inner),
        }
    }
}
