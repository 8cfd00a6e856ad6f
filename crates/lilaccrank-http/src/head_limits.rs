//! Limits on request heads and connections, which may change while connections are open.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;

/// Most header lines of a head, besides the limit on its bytes. The parser sets room for all of them aside
/// for each head, 64 bytes a line.
pub(crate) const MAX_HEADER_LINES: usize = 2_000;

/// Limits on request heads and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Maximum size of a head in bytes.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a head to the last.
    pub head_timeout: Duration,
    /// Maximum time an open connection may stay without a request.
    pub idle_timeout: Duration,
    /// Maximum number of bytes of next requests that are read while one is in progress, to find out
    /// whether the client hangs up behind them.
    pub read_ahead_bytes: usize,
}

impl Default for HeadLimits {
    /// 10 s is ample for a head over any network, and callers don't pause longer between related
    /// requests. 64 KiB holds any head that common clients send.
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
            read_ahead_bytes: 64 * 1024,
        }
    }
}

/// The limits in force; clones share them.
#[derive(Clone, Default)]
pub struct LiveLimits {
    inner: Rc<State>,
    read_ahead: ReadAhead,
    connections: Connections,
}

#[derive(Default)]
struct State {
    changed: Event,
    current: Cell<HeadLimits>,
}

/// Limit on open connections.
#[derive(Clone, Copy)]
struct Connections(usize);

impl Default for Connections {
    fn default() -> Self {
        Self(usize::MAX)
    }
}

/// Bytes that all connections have read ahead, and the limit of them; clones share both.
#[derive(Clone, Debug)]
pub(crate) struct ReadAhead {
    bytes: Rc<Cell<usize>>,
    limit: usize,
}

impl Default for ReadAhead {
    fn default() -> Self {
        Self {
            bytes: Rc::default(),
            limit: usize::MAX,
        }
    }
}

impl ReadAhead {
    /// Returns `true` while more may be read ahead.
    pub(crate) fn has_room(&self) -> bool {
        self.bytes.get() < self.limit
    }

    /// Replaces what a connection holds: `before` bytes by `now` bytes.
    pub(crate) fn replace(&self, before: usize, now: usize) {
        self.bytes.set(self.bytes.get() - before + now);
    }
}

impl LiveLimits {
    /// Creates default limits, with a limit in bytes of what all connections together read ahead. Beyond it, the
    /// bytes of next requests wait in the kernel.
    #[must_use]
    pub fn with_read_ahead(limit: usize) -> Self {
        let read_ahead = ReadAhead {
            bytes: Rc::default(),
            limit,
        };
        Self {
            read_ahead,
            ..Self::default()
        }
    }

    /// Sets how many connections may be open before idle ones are closed for new ones.
    #[must_use]
    pub fn with_connections(self, limit: usize) -> Self {
        Self {
            connections: Connections(limit),
            ..self
        }
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.0
    }

    pub(crate) fn read_ahead(&self) -> ReadAhead {
        self.read_ahead.clone()
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn get(&self) -> HeadLimits {
        self.inner.current.get()
    }

    /// Puts limits in force, for open connections as well.
    pub fn set(&self, limits: HeadLimits) {
        if self.inner.current.replace(limits) != limits {
            self.inner.changed.notify(usize::MAX);
        }
    }

    /// Completes once other limits than `limits` are in force.
    pub(crate) async fn differ_from(&self, limits: HeadLimits) {
        while self.get() == limits {
            let listener = self.inner.changed.listen();
            if self.get() == limits {
                listener.await;
            }
        }
    }
}

impl From<HeadLimits> for LiveLimits {
    fn from(limits: HeadLimits) -> Self {
        let live = Self::default();
        live.set(limits);
        live
    }
}
