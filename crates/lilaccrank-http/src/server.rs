//! Serves HTTP/1.1 over hyper, with one task per connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use event_listener::Event;
use futures::future::{self, Either};
use futures::pin_mut;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use crate::body::Body;
use crate::client_connection::{ClientConnection, WatchedIo};
use crate::head_timer::{GuardedBody, HeadTimer, TimedIo};

/// Result of binding a listener.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Minimum read buffer that hyper accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;
/// Delay after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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

/// Controls the graceful shutdown of a server and counts its open connections.
#[derive(Clone, Default)]
pub struct ShutdownHandle {
    inner: Rc<ShutdownState>,
}

#[derive(Default)]
struct ShutdownState {
    changed: Event,
    closing: Cell<bool>,
    connections: Cell<usize>,
    draining: Cell<bool>,
}

impl ShutdownHandle {
    /// Ends each connection after its next response, which carries `Connection: close`.
    ///
    /// New connections are still accepted. Idle connections stay open, because the caller's next
    /// request could already be in flight when the server closes one.
    pub fn drain(&self) {
        self.inner.draining.set(true);
    }

    /// Stops accepting connections; open ones end after the response in progress.
    pub fn close(&self) {
        self.inner.closing.set(true);
        self.inner.changed.notify(usize::MAX);
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.inner.connections.get()
    }

    async fn wait_for_close(&self) {
        while !self.inner.closing.get() {
            let listener = self.inner.changed.listen();
            if !self.inner.closing.get() {
                listener.await;
            }
        }
    }
}

/// Binds `address` exclusively for this process.
///
/// monoio sets `SO_REUSEPORT` by default, which lets a second process bind the same address; two
/// daemons would then silently share connections.
///
/// # Errors
///
/// Returns an error if the address can't be bound, for example because it is in use.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections until `shutdown` is closed. The handler's future is dropped when its caller
/// disconnects.
pub async fn serve<H, F>(listener: TcpListener, shutdown: ShutdownHandle, handler: H)
where
    H: Fn(Request<Incoming>, ClientConnection) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let limits = Rc::new(Cell::new(HeadLimits::default()));
    serve_with_limits(listener, shutdown, limits, handler).await;
}

/// Like [`serve`], with limits that may change; each connection keeps those in effect when it was
/// accepted.
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    shutdown: ShutdownHandle,
    limits: Rc<Cell<HeadLimits>>,
    handler: H,
) where
    H: Fn(Request<Incoming>, ClientConnection) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    loop {
        let closed = shutdown.wait_for_close();
        pin_mut!(closed);
        let accept = listener.accept();
        pin_mut!(accept);
        match future::select(accept, closed).await {
            Either::Left((Ok((stream, _)), _)) => {
                let handler = handler.clone();
                monoio::spawn(serve_connection(
                    stream,
                    shutdown.clone(),
                    limits.get(),
                    handler,
                ));
            }
            Either::Left((Err(e), _)) => {
                log::warn!("accept failed: {e}");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => return,
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    shutdown: ShutdownHandle,
    limits: HeadLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>, ClientConnection) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let count = &shutdown.inner.connections;
    count.set(count.get() + 1);
    if let Err(e) = run_connection(stream, &shutdown, limits, handler).await {
        log::debug!("connection ended: {e}");
    }
    count.set(count.get() - 1);
}

async fn run_connection<H, F>(
    stream: TcpStream,
    shutdown: &ShutdownHandle,
    limits: HeadLimits,
    handler: H,
) -> Result<(), crate::body::BoxError>
where
    H: Fn(Request<Incoming>, ClientConnection) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(monoio::io::IntoPollIo::into_poll_io(stream)?);
    let io = WatchedIo::new(io, limits.read_ahead_bytes);
    let (client, watch) = (io.client(), io.watch());
    let head_timer = HeadTimer::default();
    let io = TimedIo::new(io, head_timer.clone());
    let service = service::service_fn(|req| {
        let guard = head_timer.begin_request();
        let answer = handler(req, client.clone());
        async move {
            let mut res = answer.await;
            if shutdown.inner.draining.get() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(res.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(io, service);
    // Dropping the connection drops the request in progress, with the body of its response.
    let hung_up = future::poll_fn(|cx| match head_timer.is_in_request() {
        true => watch.poll_closed(cx),
        false => Poll::Pending,
    });
    let timed_out = head_timer.timed_out(limits.head_timeout);
    let closed = shutdown.wait_for_close();
    pin_mut!(connection, hung_up, closed, timed_out);
    let running = future::select(connection.as_mut(), hung_up.as_mut());
    let ending = future::select(closed, timed_out);
    let ended = match future::select(running, ending).await {
        Either::Left((ended, _)) => ended,
        Either::Right((Either::Left(_), _)) => {
            connection.as_mut().graceful_shutdown();
            future::select(connection, hung_up).await
        }
        Either::Right((Either::Right(_), _)) => return Err("the request head took too long".into()),
    };
    match ended {
        Either::Left((result, _)) => result.map_err(Into::into),
        Either::Right(_) => Err("the client hung up during a request".into()),
    }
}
