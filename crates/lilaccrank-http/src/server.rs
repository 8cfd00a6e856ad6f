//! Serves HTTP/1.1 over hyper, with one task per connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures::future::{self, Either};
use futures::pin_mut;
use hyper::body::Incoming;
use hyper::{Request, Response};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use crate::body::Body;
use crate::client_connection::ClientConnection;
use crate::head_limits::LiveLimits;
use crate::head_timer::HeadTimer;
use crate::runtime;

mod connection;
mod ending;
mod intake;
mod open_connections;

use intake::{Intake, Next};
use open_connections::OpenConnections;

/// Result of binding a listener.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Delay after a failed accept, which usually means that no file descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after a connection was closed unread in which open ones end after their answer. Requests on them would
/// otherwise go before those on new connections.
const RELIEF: Duration = Duration::from_secs(1);

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
    open: OpenConnections,
    draining: Cell<bool>,
    /// When a connection was closed unread last.
    unread_at: Cell<Option<Instant>>,
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

    /// Returns `true` if connections are to end after the answer in progress.
    fn closes_after_answer(&self) -> bool {
        let unread_at = self.inner.unread_at.get();
        self.inner.draining.get() || unread_at.is_some_and(|at| at.elapsed() < RELIEF)
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
    let limits = LiveLimits::default();
    run(listener, shutdown, limits, Intake::patient(), handler).await;
}

/// Like [`serve`], with limits that may change. Those in force when a request head comes decide, also on
/// connections that were open before. Connections that wait for too long, as the processor does not suffice, are
/// closed unread.
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    shutdown: ShutdownHandle,
    limits: LiveLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>, ClientConnection) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    run(listener, shutdown, limits, Intake::closing(), handler).await;
}

async fn run<H, F>(
    listener: TcpListener,
    shutdown: ShutdownHandle,
    limits: LiveLimits,
    intake: Intake,
    handler: H,
) where
    H: Fn(Request<Incoming>, ClientConnection) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    loop {
        runtime::checkpoint().await;
        let closed = shutdown.wait_for_close();
        pin_mut!(closed);
        let accepted = {
            let accept = accept(&listener, &intake);
            pin_mut!(accept);
            match future::select(accept, closed).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        match accepted {
            Ok((stream, Next::Accept)) => {
                let handler = handler.clone();
                runtime::spawn(serve_connection(
                    stream,
                    shutdown.clone(),
                    limits.clone(),
                    handler,
                ));
            }
            Ok((stream, Next::CloseUnread)) => {
                shutdown.inner.unread_at.set(Some(Instant::now()));
                drop(stream);
            }
            Err(e) => {
                log::warn!("accept failed: {e}");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits for the next connection, and for its turn.
async fn accept(listener: &TcpListener, intake: &Intake) -> Result<(TcpStream, Next)> {
    let accepting = listener.accept();
    pin_mut!(accepting);
    let ready = match futures::poll!(accepting.as_mut()) {
        Poll::Ready(accepted) => accepted,
        Poll::Pending => {
            intake.record_empty();
            accepting.await
        }
    };
    let (stream, _) = ready?;
    Ok((stream, intake.next().await))
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    shutdown: ShutdownHandle,
    limits: LiveLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>, ClientConnection) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let count = &shutdown.inner.connections;
    count.set(count.get() + 1);
    let head_timer = HeadTimer::new();
    let open = shutdown.inner.open.add(&head_timer, limits.connections());
    let ended = connection::run(stream, &shutdown, &limits, &head_timer, &open, handler).await;
    drop(open);
    match ended {
        Ok(ending) => ending.log(&head_timer),
        Err(e) => log::debug!("connection ended: {e}"),
    }
    count.set(count.get() - 1);
}
