//! Finds out that the client of a connection has hung up, also where hyper doesn't read.
//!
//! hyper stops reading a connection once bytes of a next request are in its buffer. It would see the
//! end of the connection behind them only after it has written the answer. While a request is in
//! progress, what hyper doesn't read is therefore read ahead here.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

use crate::head_limits::ReadAhead;

/// Size of one read.
const READ_SIZE: usize = 4 * 1024;

/// Transport whose end is seen although nobody reads it.
pub(crate) struct WatchedIo<T> {
    state: Rc<RefCell<State<T>>>,
    closed_at: Rc<Cell<Option<Instant>>>,
}

struct State<T> {
    io: T,
    /// Bytes that were read and that hyper hasn't taken.
    ahead: BytesMut,
    /// Memory of `ahead`, as it counts in `total`.
    held: usize,
    /// What all connections have read ahead.
    total: ReadAhead,
    end: Option<End>,
    /// Set while a request's body is read, so that hyper reads the transport itself.
    is_in_body: bool,
    /// Largest number of bytes that are read ahead. The end of a connection behind more bytes is seen
    /// once the answer has been written.
    limit: usize,
    /// Waker of the connection's task. A transport wakes only the last one that has polled it.
    waker: Option<Waker>,
}

/// How a transport ended.
#[derive(Clone, Copy)]
enum End {
    Eof,
    Failed(io::ErrorKind),
}

/// The connection of the client that sent a request.
#[derive(Clone)]
pub struct ClientConnection {
    closed_at: Rc<Cell<Option<Instant>>>,
    transport: Weak<dyn Watched>,
}

/// A transport that can be asked for its end from any task.
trait Watched {
    fn is_closed(&self) -> bool;

    fn set_in_body(&self, is_in_body: bool);
}

/// While it lives, nothing is read ahead of hyper, which reads the body of a request. A body that comes
/// faster than it is taken would otherwise be held twice.
pub struct BodyReading(Weak<dyn Watched>);

impl Drop for BodyReading {
    fn drop(&mut self) {
        if let Some(transport) = self.0.upgrade() {
            transport.set_in_body(false);
        }
    }
}

impl ClientConnection {
    /// Returns `true` if the client has ended its side of the connection, or has reset it.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let is_closed = match self.transport.upgrade() {
            Some(transport) => transport.is_closed(),
            None => true,
        };
        if is_closed && self.closed_at.get().is_none() {
            self.closed_at.set(Some(Instant::now()));
        }
        is_closed
    }

    /// Begins to read the body of a request, until what is returned is dropped.
    #[must_use]
    pub fn begin_body(&self) -> BodyReading {
        if let Some(transport) = self.transport.upgrade() {
            transport.set_in_body(true);
        }
        BodyReading(Weak::clone(&self.transport))
    }

    /// Returns how long the connection has been known to be closed; `None` while it is open.
    #[must_use]
    pub fn closed_for(&self) -> Option<Duration> {
        if !self.is_closed() {
            return None;
        }
        self.closed_at.get().map(|closed_at| closed_at.elapsed())
    }
}

impl<T: Read + Unpin + 'static> WatchedIo<T> {
    /// Watches `io`, of which nothing is read ahead at first. What is read ahead counts in `total`.
    pub(crate) fn new(io: T, total: ReadAhead) -> Self {
        let state = State {
            io,
            ahead: BytesMut::new(),
            held: 0,
            total,
            end: None,
            is_in_body: false,
            limit: 0,
            waker: None,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            closed_at: Rc::default(),
        }
    }

    pub(crate) fn client(&self) -> ClientConnection {
        let transport: Rc<dyn Watched> = Rc::<RefCell<State<T>>>::clone(&self.state);
        ClientConnection {
            closed_at: Rc::clone(&self.closed_at),
            transport: Rc::downgrade(&transport),
        }
    }

    /// Returns a handle for [`Watch::poll_closed`] on the task of the connection.
    pub(crate) fn watch(&self) -> Watch<T> {
        Watch(Rc::clone(&self.state))
    }
}

/// Watches for the end of a connection on the connection's task.
pub(crate) struct Watch<T>(Rc<RefCell<State<T>>>);

impl<T: Read + Unpin> Watch<T> {
    /// Sets how many bytes are read ahead at most.
    pub(crate) fn set_read_ahead(&self, limit: usize) {
        self.0.borrow_mut().limit = limit;
    }

    /// Gives bytes back that hyper has read, and that are to be read anew.
    pub(crate) fn unread(&self, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        let mut ahead = BytesMut::from(bytes);
        ahead.extend_from_slice(&state.ahead);
        state.ahead = ahead;
        state.count();
    }

    /// Reads ahead; ready once the client has hung up.
    pub(crate) fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.0.borrow_mut().poll_ahead(cx)
    }
}

impl<T: Read + Unpin> Watched for RefCell<State<T>> {
    fn is_closed(&self) -> bool {
        let mut state = self.borrow_mut();
        let waker = state.waker.clone();
        let waker = waker.as_ref().unwrap_or(Waker::noop());
        state.poll_ahead(&mut Context::from_waker(waker)).is_ready()
    }

    fn set_in_body(&self, is_in_body: bool) {
        let mut state = self.borrow_mut();
        state.is_in_body = is_in_body;
        // The task of the connection has to watch the transport again.
        if let Some(waker) = &state.waker {
            waker.wake_by_ref();
        }
    }
}

impl<T> Drop for State<T> {
    fn drop(&mut self) {
        self.total.replace(self.held, 0);
    }
}

impl<T: Read + Unpin> State<T> {
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.set_waker(cx);
        while self.end.is_none()
            && !self.is_in_body
            && self.ahead.len() < self.limit
            && self.total.has_room()
        {
            let mut bytes = [0; READ_SIZE];
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.io).poll_read(cx, buf.unfilled()) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if buf.filled().is_empty() => self.end = Some(End::Eof),
                Poll::Ready(Ok(())) => {
                    self.ahead.extend_from_slice(buf.filled());
                    self.count();
                    // hyper may be waiting for these bytes, and its read was woken in vain.
                    cx.waker().wake_by_ref();
                }
                Poll::Ready(Err(e)) => self.end = Some(End::Failed(e.kind())),
            }
        }
        match self.end {
            Some(_) => Poll::Ready(()),
            None => Poll::Pending,
        }
    }

    /// Counts the memory of what was read ahead. Bytes that were taken keep theirs until all are.
    fn count(&mut self) {
        let now = match self.ahead.is_empty() {
            true => 0,
            false => self.ahead.capacity().max(self.held),
        };
        self.total.replace(self.held, now);
        self.held = now;
    }

    fn set_waker(&mut self, cx: &Context<'_>) {
        match &mut self.waker {
            Some(waker) => waker.clone_from(cx.waker()),
            None => self.waker = Some(cx.waker().clone()),
        }
    }

    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.set_waker(cx);
        if !self.ahead.is_empty() {
            let length = self.ahead.len().min(buf.remaining());
            buf.put_slice(&self.ahead[..length]);
            self.ahead.advance(length);
            if self.ahead.is_empty() {
                self.ahead = BytesMut::new();
                self.count();
            }
            return Poll::Ready(Ok(()));
        }
        match self.end {
            Some(End::Eof) => Poll::Ready(Ok(())),
            Some(End::Failed(kind)) => Poll::Ready(Err(kind.into())),
            None => Pin::new(&mut self.io).poll_read(cx, buf),
        }
    }
}

impl<T: Read + Unpin> Read for WatchedIo<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.state.borrow_mut().poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> Write for WatchedIo<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.state.borrow_mut().io).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.state.borrow_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.state.borrow_mut().io).poll_shutdown(cx)
    }
}
