//! New connections and the tasks that drive them.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future;
use hyper::client::conn::http1::{self, SendRequest};
use lilaccrank::backoff;
use monoio_compat::hyper::MonoioIo;

use super::{Error, IsWanted, RequestDigest, Result};
use crate::body::Body;
use crate::head_limits::MAX_HEADER_LINES;
use crate::runtime;
use crate::socket;
use crate::tally::{Counted, Tally};
use crate::timeout;
use crate::unproductive::{Meter, Metered};

/// Idle time before the first TCP keepalive probe; jitter adds up to the same time again.
///
/// Without jitter, connections opened in one burst are all probed at once: with 3,000 on one
/// machine, probes were lost in its queues and live connections timed out.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 4;

/// Number of connections opened by this process.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// Sends requests on one connection; dropping it ends the connection.
pub(super) struct Sender {
    /// Ids of the requests that the connection has carried.
    pub(super) carried: Vec<RequestDigest>,
    /// Time from the write of the last request to the head of its answer.
    pub(super) head_after: Option<Duration>,
    /// Number of the connection in this process, from 1.
    pub(super) number: u64,
    /// Number of requests that the connection has carried.
    pub(super) request_count: u32,
    /// Ends the task of the connection, which may be blocked on a request that was given up.
    _open: oneshot::Sender<()>,
    pub(super) inner: SendRequest<Body>,
    pub(super) meter: Meter,
    /// Condition of the next request, checked by the task that writes it.
    pub(super) is_wanted: Rc<RefCell<Option<IsWanted>>>,
}

pub(super) async fn connect(
    address: &str,
    limit: Duration,
    tally: Option<&Tally>,
) -> Result<Sender> {
    let fail = |source| Error::Connect {
        address: address.to_owned(),
        source,
    };
    if limit.is_zero() {
        return Err(fail(io::ErrorKind::NotConnected.into()));
    }
    let stream = timeout::timeout(limit, socket::connect(address))
        .await
        .map_err(|_| fail(io::ErrorKind::TimedOut.into()))?
        .map_err(fail)?;
    let idle = KEEPALIVE + backoff::full_jitter(KEEPALIVE);
    stream
        .set_tcp_keepalive(Some(idle), Some(KEEPALIVE_INTERVAL), Some(KEEPALIVE_PROBES))
        .map_err(fail)?;
    let io = monoio::io::IntoPollIo::into_poll_io(stream).map_err(fail)?;
    let meter = Meter::default();
    let io = Metered::new(MonoioIo::new(io), meter.clone());
    let sender = match tally {
        Some(tally) => handshake(Counted::new(io, tally.clone()), meter).await,
        None => handshake(io, meter).await,
    };
    sender.map_err(|e| fail(io::Error::other(e)))
}

async fn handshake<T>(io: T, meter: Meter) -> hyper::Result<Sender>
where
    T: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
{
    let (inner, mut connection) = http1::Builder::new()
        .max_headers(MAX_HEADER_LINES)
        .handshake(io)
        .await?;
    let (open, mut closed) = oneshot::channel::<()>();
    let is_wanted: Rc<RefCell<Option<IsWanted>>> = Rc::default();
    let condition = Rc::clone(&is_wanted);
    let driving = future::poll_fn(move |cx| {
        // A connection that is polled writes what it has.
        if condition.take().is_some_and(|is_wanted| !is_wanted()) {
            return Poll::Ready(Ok(()));
        }
        match connection.poll_unpin(cx) {
            Poll::Pending => closed.poll_unpin(cx).map(|_| Ok(())),
            ended => ended,
        }
    });
    runtime::spawn(async move {
        if let Err(e) = driving.await {
            log::debug!("client connection failed: {e}");
        }
    });
    Ok(Sender {
        carried: Vec::new(),
        _open: open,
        head_after: None,
        number: OPENED.fetch_add(1, Ordering::Relaxed) + 1,
        request_count: 0,
        inner,
        meter,
        is_wanted,
    })
}
