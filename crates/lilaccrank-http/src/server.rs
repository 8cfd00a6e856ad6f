//! Serves HTTP/1.1 over hyper: one task for each connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use futures::future::{self, Either};
use futures::pin_mut;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use crate::body::Body;

/// Result of listening.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// A slow sender holds its connection for at most this long before its head is whole.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest request head.
const HEAD_LIMIT: usize = 64 * 1024;
/// Wait after a failed accept, which mostly means that no descriptor is free.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Tells a server to finish what it has and counts what is still open.
#[derive(Clone, Default)]
pub struct Closing {
    inner: Rc<ClosingInner>,
}

#[derive(Default)]
struct ClosingInner {
    changed: Event,
    closing: Cell<bool>,
    connections: Cell<usize>,
}

impl Closing {
    /// Takes no new connections; the open ones end after the answer in progress.
    pub fn close(&self) {
        self.inner.closing.set(true);
        self.inner.changed.notify(usize::MAX);
    }

    /// Connections still open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.inner.connections.get()
    }

    async fn closed(&self) {
        while !self.inner.closing.get() {
            let listener = self.inner.changed.listen();
            if !self.inner.closing.get() {
                listener.await;
            }
        }
    }
}

/// Binds `address` for this process alone.
///
/// The runtime's own default lets a second process bind the same address; two daemons would
/// then share connections without a word.
///
/// # Errors
///
/// If the address is taken.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections until `closing` is set. The handler's future is dropped when its caller
/// goes away.
pub async fn serve<H, F>(listener: TcpListener, closing: Closing, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    loop {
        let closed = closing.closed();
        pin_mut!(closed);
        let accept = listener.accept();
        pin_mut!(accept);
        match future::select(accept, closed).await {
            Either::Left((Ok((stream, _)), _)) => {
                monoio::spawn(serve_connection(stream, closing.clone(), handler.clone()));
            }
            Either::Left((Err(e), _)) => {
                log::warn!("accept failed: {e}");
                monoio::time::sleep(ACCEPT_AGAIN).await;
            }
            Either::Right(_) => return,
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, closing: Closing, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let count = &closing.inner.connections;
    count.set(count.get() + 1);
    if let Err(e) = drive(stream, &closing, handler).await {
        log::debug!("connection ended: {e}");
    }
    count.set(count.get() - 1);
}

async fn drive<H, F>(
    stream: TcpStream,
    closing: &Closing,
    handler: H,
) -> Result<(), crate::body::BoxError>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(monoio::io::IntoPollIo::into_poll_io(stream)?);
    let service = service::service_fn(|req| {
        let answer = handler(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT)
        .serve_connection(io, service);
    pin_mut!(connection);
    let closed = closing.closed();
    pin_mut!(closed);
    let result = match future::select(connection.as_mut(), closed).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    result.map_err(Into::into)
}
