//! Limits how long a connection may be idle between two requests, and how long a caller may take to send a
//! request head.
//!
//! hyper's header timeout starts at the end of the previous response, so it can't distinguish a
//! connection that is idle between requests from a caller that sends its head byte by byte. Here one
//! timer runs from the first byte of a head to the last, and the other from the last byte either way to the
//! first byte of a head.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use event_listener::Event;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::head_limits::{HeadLimits, LiveLimits};
use crate::timeout;

/// Time for which the last bytes of a response, and the first of a request, may be under way or lie in the
/// kernel. The client counts its idle time from the end of the response there.
const TRANSIT_ALLOWANCE: Duration = Duration::from_secs(1);

/// Progress of the current request on a connection.
struct State {
    started: Event,
    /// Set once the answer to the last request has been handed to the connection.
    answer_begun: Cell<bool>,
    /// Set if the body of the last answer has failed.
    body_failed: Cell<bool>,
    in_request: Cell<bool>,
    /// When the last byte came or went, outside of requests.
    active_at: Cell<Instant>,
    /// Idle time that is in force.
    idle_limit: Cell<Duration>,
    /// The longest one that was in force since the last request.
    longest_idle_limit: Cell<Duration>,
    /// Heads that were read.
    requests: Cell<u64>,
    started_at: Cell<Option<Instant>>,
    /// Set while bytes that were written wait to be flushed.
    unflushed: Cell<bool>,
    /// When the last head was whole.
    whole_at: Cell<Option<Instant>>,
    /// Bytes that the transport has taken since then.
    written: Cell<u64>,
}

/// A request whose head is whole and whose answer is not written to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OpenRequest {
    /// Whether the answer has been handed to the connection.
    pub(crate) answer_begun: bool,
    /// Time since its head was whole.
    pub(crate) since_head: Duration,
    /// Bytes of the answer that the transport has taken.
    pub(crate) written: u64,
}

/// Measures the time between requests, and to receive each request head, on a connection; clones share the
/// state.
#[derive(Clone)]
pub(crate) struct HeadTimer {
    state: Rc<State>,
}

/// Marks a request as in progress until dropped.
pub(crate) struct RequestGuard(HeadTimer);

/// A transport that starts the timer at the first byte of each head. It gives no bytes of a head to a reader
/// whose limits are no longer in force.
pub(crate) struct TimedIo<T> {
    io: T,
    head_timer: HeadTimer,
    /// Limits of the reader.
    limits: HeadLimits,
    live: LiveLimits,
}

/// A response body that holds the guard of its request.
pub(crate) struct GuardedBody<B> {
    body: B,
    guard: RequestGuard,
}

impl HeadTimer {
    /// Creates a timer for a connection that was accepted now.
    pub(crate) fn new() -> Self {
        let state = State {
            started: Event::new(),
            answer_begun: Cell::default(),
            body_failed: Cell::default(),
            in_request: Cell::default(),
            active_at: Cell::new(Instant::now()),
            idle_limit: Cell::default(),
            longest_idle_limit: Cell::default(),
            requests: Cell::default(),
            started_at: Cell::default(),
            unflushed: Cell::default(),
            whole_at: Cell::default(),
            written: Cell::default(),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Returns `true` before [`Self::begin_request`] if all of the head was read along with an earlier request.
    pub(crate) fn is_head_read(&self) -> bool {
        self.state.started_at.get().is_none()
    }

    /// Stops the timer after a complete head and marks the request as in progress.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        let state = &self.state;
        state.answer_begun.set(false);
        state.body_failed.set(false);
        state.in_request.set(true);
        state.requests.set(state.requests.get() + 1);
        state.started_at.set(None);
        state.whole_at.set(Some(Instant::now()));
        state.written.set(0);
        RequestGuard(self.clone())
    }

    /// Notes that the answer has been handed to the connection.
    pub(crate) fn begin_answer(&self) {
        self.state.answer_begun.set(true);
    }

    /// Returns the request in progress, between two polls of the connection that is served; `None` if there
    /// is none.
    pub(crate) fn open_request(&self) -> Option<OpenRequest> {
        let state = &self.state;
        let is_open = state.in_request.get() || state.unflushed.get() || state.body_failed.get();
        let since_head = state.whole_at.get().filter(|_| is_open)?.elapsed();
        Some(OpenRequest {
            answer_begun: state.answer_begun.get(),
            since_head,
            written: state.written.get(),
        })
    }

    /// Returns `true` from the end of a head until its response has been taken for writing.
    pub(crate) fn is_in_request(&self) -> bool {
        self.state.in_request.get()
    }

    /// Returns `true` if no request is in progress and the last response has been sent.
    pub(crate) fn is_between_requests(&self) -> bool {
        !self.state.in_request.get() && !self.state.unflushed.get()
    }

    /// Returns the time since the first byte of a head of which the last one has not come.
    pub(crate) fn head_time(&self) -> Option<Duration> {
        self.state.started_at.get().map(|at| at.elapsed())
    }

    /// Returns when the connection began to be idle, if it is.
    pub(crate) fn active_at(&self) -> Instant {
        self.state.active_at.get()
    }

    /// Returns the number of heads that were read.
    pub(crate) fn requests(&self) -> u64 {
        self.state.requests.get()
    }

    /// Completes when a head takes longer than `limit`.
    pub(crate) async fn timed_out(&self, limit: Duration) {
        loop {
            let listener = self.state.started.listen();
            let Some(started_at) = self.state.started_at.get() else {
                listener.await;
                continue;
            };
            timeout::sleep_until(started_at + limit, limit).await;
            if self.state.started_at.get() == Some(started_at) {
                return;
            }
        }
    }

    /// Sets how long the connection may be idle. A shorter time than before holds after the next request: the
    /// client left the connection idle under the longer one.
    pub(crate) fn set_idle_limit(&self, limit: Duration) {
        let longest = &self.state.longest_idle_limit;
        longest.set(longest.get().max(limit));
        self.state.idle_limit.set(limit);
    }

    /// Completes once no request is in progress, none has begun and no byte of a response has been taken by
    /// the transport for longer than the connection may be idle.
    pub(crate) async fn idle_for_too_long(&self) {
        loop {
            let limit = self.state.longest_idle_limit.get();
            let due = self.idle_until().unwrap_or_else(|| Instant::now() + limit);
            timeout::sleep_until(due, limit).await;
            if self.idle_until().is_some_and(|until| until <= due) {
                return;
            }
        }
    }

    /// End of the time for which the connection may go on being idle; `None` if it is not idle.
    fn idle_until(&self) -> Option<Instant> {
        let state = &self.state;
        let is_idle = !state.in_request.get() && state.started_at.get().is_none();
        let limit = state.longest_idle_limit.get() + TRANSIT_ALLOWANCE;
        is_idle.then(|| state.active_at.get() + limit)
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
        let state = &self.0.state;
        state.in_request.set(false);
        state.longest_idle_limit.set(state.idle_limit.get());
        state.active_at.set(Instant::now());
    }
}

impl<T> TimedIo<T> {
    pub(crate) fn new(io: T, head_timer: HeadTimer, live: LiveLimits) -> Self {
        Self {
            io,
            head_timer,
            limits: live.get(),
            live,
        }
    }

    /// Sets the limits of the next reader.
    pub(crate) fn set_limits(&mut self, limits: HeadLimits) {
        self.limits = limits;
    }
}

impl<B> GuardedBody<B> {
    pub(crate) fn new(body: B, guard: RequestGuard) -> Self {
        Self { body, guard }
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.guard.0.state.body_failed.set(true);
        }
        polled
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
        if !self.head_timer.is_in_request() && self.live.get() != self.limits {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        // End of stream also starts the timer, which is harmless because the connection ends.
        if matches!(polled, Poll::Ready(Ok(()))) {
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
        let state = Rc::clone(&self.head_timer.state);
        state.unflushed.set(true);
        let polled = Pin::new(&mut self.io).poll_write(cx, buf);
        if let Poll::Ready(Ok(taken)) = polled {
            state.written.set(state.written.get() + taken as u64);
        }
        if polled.is_ready() && !state.in_request.get() {
            state.active_at.set(Instant::now());
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_flush(cx);
        if polled.is_ready() {
            self.head_timer.state.unflushed.set(false);
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
