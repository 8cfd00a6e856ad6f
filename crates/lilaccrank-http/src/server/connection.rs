//! One connection of a client.
//!
//! hyper takes its limits when it begins to serve a connection. When they change, the connection is taken
//! from it between two requests and served anew under the limits in force, with the bytes of a next request
//! that were read already.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::future::{self, Either};
use futures::pin_mut;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::rt::Read;
use hyper::server::conn::http1;
use hyper::{Request, Response, service};
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use super::ShutdownHandle;
use super::ending::{Ending, Step};
use super::open_connections::OpenConnection;
use crate::body::Body;
use crate::client_connection::{ClientConnection, Watch, WatchedIo};
use crate::head_limits::{HeadLimits, LiveLimits, MAX_HEADER_LINES};
use crate::head_timer::{GuardedBody, HeadTimer, TimedIo};
use crate::runtime;

/// Result of serving a connection.
pub(super) type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Minimum read buffer that hyper accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// Serves a connection until it ends; returns how it did.
///
/// # Errors
///
/// If it can't be served at all.
pub(super) async fn run<H, F>(
    stream: TcpStream,
    shutdown: &ShutdownHandle,
    live: &LiveLimits,
    head_timer: &HeadTimer,
    open: &OpenConnection,
    handler: H,
) -> Result<Ending>
where
    H: Fn(Request<Incoming>, ClientConnection) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(monoio::io::IntoPollIo::into_poll_io(stream)?);
    let io = WatchedIo::new(io, live.read_ahead());
    let (client, watch) = (io.client(), io.watch());
    let mut io = TimedIo::new(io, head_timer.clone(), live.clone());
    let mut service = service::service_fn(|req: Request<Incoming>| {
        let was_sent_ahead = head_timer.is_head_read();
        let guard = head_timer.begin_request();
        let has_body = !req.body().is_end_stream();
        // hyper keeps room for the future of a request as long as the connection is open.
        let answer = Box::pin(handler(req, client.clone()));
        async move {
            if was_sent_ahead {
                // hyper goes on with requests that it has read until one waits. Others would get no turn.
                runtime::yield_now().await;
            }
            let mut res = answer.await;
            if has_body {
                // hyper learns in a turn of its own that nobody reads the rest of the body. Only then does
                // it know whether the connection goes on, which the head of the answer has to tell.
                runtime::yield_now().await;
            }
            head_timer.begin_answer();
            if shutdown.closes_after_answer() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(res.map(|body| GuardedBody::new(body, guard)))
        }
    });
    loop {
        let limits = live.get();
        watch.set_read_ahead(limits.read_ahead_bytes);
        io.set_limits(limits);
        head_timer.set_idle_limit(limits.idle_timeout);
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_headers(MAX_HEADER_LINES)
            .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER))
            .serve_connection(io, service);
        let served = Served {
            head_timer,
            limits,
            live,
            open,
            shutdown,
            watch: &watch,
        };
        match served.next_step(&mut connection).await {
            Step::LimitsChanged => {
                let parts = connection.into_parts();
                watch.unread(&parts.read_buf);
                (io, service) = (parts.io, parts.service);
            }
            Step::ShutDown => {
                Pin::new(&mut connection).graceful_shutdown();
                let step = served.until_gone(&mut connection).await;
                return Ok(Ending::of_shutdown(step, head_timer));
            }
            step => return Ok(Ending::new(step, head_timer)),
        }
    }
}

/// A connection that is served under one set of limits.
struct Served<'a, T> {
    head_timer: &'a HeadTimer,
    limits: HeadLimits,
    live: &'a LiveLimits,
    open: &'a OpenConnection,
    shutdown: &'a ShutdownHandle,
    watch: &'a Watch<T>,
}

impl<T: Read + Unpin> Served<'_, T> {
    /// Serves requests until something else has to be done.
    async fn next_step<C>(&self, connection: &mut C) -> Step
    where
        C: Future<Output = hyper::Result<()>> + Unpin,
    {
        let serving = self.until_ended_or_changed(connection);
        let hung_up = self.hung_up();
        let timed_out = self.until_timed_out();
        let closed = self.shutdown.wait_for_close();
        pin_mut!(serving, timed_out, closed);
        let running = future::select(serving, hung_up);
        let ending = future::select(closed, timed_out);
        match future::select(running, ending).await {
            Either::Left((Either::Left((step, _)), _)) => step,
            // Dropping the connection drops the request in progress, with the body of its response.
            Either::Left((Either::Right(_), _)) => Step::HungUp,
            Either::Right((Either::Left(_), _)) => Step::ShutDown,
            Either::Right((Either::Right((step, _)), _)) => step,
        }
    }

    /// Serves what is in progress as the server shuts down.
    async fn until_gone<C>(&self, connection: &mut C) -> Step
    where
        C: Future<Output = hyper::Result<()>> + Unpin,
    {
        let timed_out = self.until_timed_out();
        pin_mut!(timed_out);
        let ending = future::select(self.hung_up(), timed_out);
        match future::select(connection, ending).await {
            Either::Left((result, _)) => Step::Ended(result),
            Either::Right((Either::Left(_), _)) => Step::HungUp,
            Either::Right((Either::Right((step, _)), _)) => step,
        }
    }

    async fn until_timed_out(&self) -> Step {
        let head = self.head_timer.timed_out(self.limits.head_timeout);
        let idle = self.head_timer.idle_for_too_long();
        let displaced = self.displaced();
        pin_mut!(head, idle, displaced);
        match future::select(head, future::select(idle, displaced)).await {
            Either::Left(_) => Step::HeadTimedOut,
            Either::Right(_) => Step::Idle,
        }
    }

    /// Completes when the connection is idle and another one needs its place.
    async fn displaced(&self) {
        loop {
            self.open.displaced().await;
            if self.head_timer.is_between_requests() {
                return;
            }
            // A request came meanwhile, and is served.
            self.open.keep();
        }
    }

    async fn until_ended_or_changed<C>(&self, connection: &mut C) -> Step
    where
        C: Future<Output = hyper::Result<()>> + Unpin,
    {
        let changed = self.live.differ_from(self.limits);
        pin_mut!(changed);
        let mut has_changed = false;
        future::poll_fn(|cx| {
            loop {
                let was_between = self.head_timer.is_between_requests();
                if let Poll::Ready(result) = Pin::new(&mut *connection).poll(cx) {
                    return Poll::Ready(Step::Ended(result));
                }
                has_changed = has_changed || changed.as_mut().poll(cx).is_ready();
                if !has_changed || !self.head_timer.is_between_requests() {
                    return Poll::Pending;
                }
                // hyper learns only in a turn of its own that the last request's body is not read to
                // its end, and then closes the connection.
                if was_between {
                    return Poll::Ready(Step::LimitsChanged);
                }
            }
        })
        .await
    }

    /// Completes once the client has hung up during a request.
    fn hung_up(&self) -> impl Future<Output = ()> + Unpin {
        future::poll_fn(
            |cx: &mut Context<'_>| match self.head_timer.is_in_request() {
                true => self.watch.poll_closed(cx),
                false => Poll::Pending,
            },
        )
    }
}
