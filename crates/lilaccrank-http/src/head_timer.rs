//! How fast a caller sends the head of its next request.
//!
//! The library's own timeout runs from the end of the last answer, so that it can't tell a
//! connection that rests between two requests from a caller that sends its head byte by byte.
//! This one runs from the first byte of a head to its last.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use event_listener::Event;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Between two requests, or in one.
#[derive(Default)]
struct State {
    started: Event,
    in_request: Cell<bool>,
    started_at: Cell<Option<Instant>>,
}

/// Times the heads of one connection; clones share the state.
#[derive(Clone, Default)]
pub(crate) struct HeadTimer {
    state: Rc<State>,
}

/// A request in progress until it is dropped.
pub(crate) struct RequestGuard(HeadTimer);

/// A transport whose first byte of each head is timed.
pub(crate) struct TimedIo<T> {
    io: T,
    head_timer: HeadTimer,
}

/// A body that keeps its request in progress.
pub(crate) struct GuardedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl HeadTimer {
    /// A whole head has come.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        self.state.in_request.set(true);
        self.state.started_at.set(None);
        RequestGuard(self.clone())
    }

    /// Completes once a head has taken longer than `limit`.
    pub(crate) async fn timed_out(&self, limit: Duration) {
        loop {
            let listener = self.state.started.listen();
            let Some(started_at) = self.state.started_at.get() else {
                listener.await;
                continue;
            };
            monoio::time::sleep_until((started_at + limit).into()).await;
            if self.state.started_at.get() == Some(started_at) {
                return;
            }
        }
    }

    fn on_read(&self) {
        let is_first_read = !self.state.in_request.get() && self.state.started_at.get().is_none();
        if is_first_read {
            self.state.started_at.set(Some(Instant::now()));
            self.state.started.notify(usize::MAX);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.state.in_request.set(false);
    }
}

impl<T> TimedIo<T> {
    pub(crate) fn new(io: T, head_timer: HeadTimer) -> Self {
        Self { io, head_timer }
    }
}

impl<B> GuardedBody<B> {
    pub(crate) fn new(body: B, guard: RequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<T: Read + Unpin> Read for TimedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        // The end of the stream counts as a byte too, and ends the connection anyway.
        if polled.is_ready() {
            self.head_timer.on_read();
        }
        polled
    }
}

impl<T: Write + Unpin> Write for TimedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
