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
    begun: Event,
    in_request: Cell<bool>,
    since: Cell<Option<Instant>>,
}

/// Times the heads of one connection; clones share the state.
#[derive(Clone, Default)]
pub(crate) struct HeadPace {
    state: Rc<State>,
}

/// A request in progress until it is dropped.
pub(crate) struct InRequest(HeadPace);

/// A transport whose first byte of each head is timed.
pub(crate) struct Paced<T> {
    io: T,
    pace: HeadPace,
}

/// A body that keeps its request in progress.
pub(crate) struct PacedBody<B> {
    body: B,
    _in_request: InRequest,
}

impl HeadPace {
    /// A whole head has come.
    pub(crate) fn request(&self) -> InRequest {
        self.state.in_request.set(true);
        self.state.since.set(None);
        InRequest(self.clone())
    }

    /// Completes once a head has taken longer than `limit`.
    pub(crate) async fn too_slow(&self, limit: Duration) {
        loop {
            let listener = self.state.begun.listen();
            let Some(since) = self.state.since.get() else {
                listener.await;
                continue;
            };
            monoio::time::sleep_until((since + limit).into()).await;
            if self.state.since.get() == Some(since) {
                return;
            }
        }
    }

    fn bytes_came(&self) {
        let resting = !self.state.in_request.get() && self.state.since.get().is_none();
        if resting {
            self.state.since.set(Some(Instant::now()));
            self.state.begun.notify(usize::MAX);
        }
    }
}

impl Drop for InRequest {
    fn drop(&mut self) {
        self.0.state.in_request.set(false);
    }
}

impl<T> Paced<T> {
    pub(crate) fn new(io: T, pace: HeadPace) -> Self {
        Self { io, pace }
    }
}

impl<B> PacedBody<B> {
    pub(crate) fn new(body: B, in_request: InRequest) -> Self {
        Self {
            body,
            _in_request: in_request,
        }
    }
}

impl<B: Body + Unpin> Body for PacedBody<B> {
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

impl<T: Read + Unpin> Read for Paced<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        // The end of the stream counts as a byte too, and ends the connection anyway.
        if polled.is_ready() {
            self.pace.bytes_came();
        }
        polled
    }
}

impl<T: Write + Unpin> Write for Paced<T> {
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
