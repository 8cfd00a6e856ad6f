//! Bounds what a server may send that is no part of an answer: interim answers, framing, filling.

use std::cell::Cell;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBufCursor, Write};

/// Bytes without a head or data after which a connection is given up. A piece of an answer that is
/// delivered as a whole is smaller.
const LIMIT: usize = 1 << 20;
/// Bytes that are read at once before other tasks and timers run.
const TURN: usize = 64 << 10;
const READ_BUFFER_SIZE: usize = 16 << 10;

/// Counts the bytes of a connection since its last part of an answer; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    bytes: Cell<usize>,
    is_limited: Cell<bool>,
    /// When the last byte was written since the count began.
    written_at: Cell<Option<Instant>>,
}

impl Meter {
    /// Begins to count towards the limit.
    pub fn start(&self) {
        self.state.bytes.set(0);
        self.state.is_limited.set(true);
        self.state.written_at.set(None);
    }

    /// Stops counting.
    pub fn stop(&self) {
        self.state.is_limited.set(false);
    }

    /// Records that a part of an answer has come.
    pub fn record_progress(&self) {
        self.state.bytes.set(0);
    }

    /// Time since the last byte was written; `None` if none was since the count began.
    pub(crate) fn since_write(&self) -> Option<Duration> {
        self.state.written_at.get().map(|at| at.elapsed())
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let bytes = self.state.bytes.get().saturating_add(bytes);
        self.state.bytes.set(bytes);
        if self.state.is_limited.get() && bytes > LIMIT {
            let message = format!("{bytes} bytes that are no part of an answer");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }
}

/// Returns `true` if an exchange failed by what the server sent: bytes that are no HTTP, or too many that are
/// no part of an answer. The server is alive then, unlike one that crashes, which cuts its answer off.
#[must_use]
pub fn is_malformed(e: &hyper::Error) -> bool {
    let mut source = e.source();
    while let Some(e) = source {
        let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
        if matches!(
            kind,
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        ) {
            return true;
        }
        source = e.source();
    }
    e.is_parse()
}

/// A transport that is ended if it goes on without a part of an answer.
pub(crate) struct Metered<T> {
    io: T,
    meter: Meter,
    /// Bytes read since the transport last had none.
    turn: usize,
}

impl<T> Metered<T> {
    pub(crate) fn new(io: T, meter: Meter) -> Self {
        Self { io, meter, turn: 0 }
    }
}

impl<T: Read + Unpin> Read for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn >= TURN {
            self.turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // `poll_read` takes the cursor by value, so the bytes are read into a local buffer first.
        let mut buffer = [0; READ_BUFFER_SIZE];
        let capacity = buf.remaining().min(READ_BUFFER_SIZE);
        let mut read_buf = hyper::rt::ReadBuf::new(&mut buffer[..capacity]);
        match Pin::new(&mut self.io).poll_read(cx, read_buf.unfilled()) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => {
                self.turn = 0;
                return Poll::Pending;
            }
        }
        let read = read_buf.filled();
        self.turn += read.len();
        self.meter.count(read.len())?;
        buf.put_slice(read);
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        if matches!(written, Poll::Ready(Ok(_))) {
            self.meter.state.written_at.set(Some(Instant::now()));
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
