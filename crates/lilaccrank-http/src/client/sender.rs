//! New connections and the tasks that drive them.

use std::io;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{self, Either};
use hyper::client::conn::http1::{self, SendRequest};
use lilaccrank::backoff;
use monoio_compat::hyper::MonoioIo;

use super::{Error, Result};
use crate::body::Body;
use crate::socket;
use crate::tally::{Counted, Tally};
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

/// Sends requests on one connection; dropping it ends the connection.
pub(super) struct Sender {
    /// Ends the task of the connection, which may be blocked on a request that was given up.
    _open: oneshot::Sender<()>,
    pub(super) inner: SendRequest<Body>,
    pub(super) meter: Meter,
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
    let stream = monoio::time::timeout(limit, socket::connect(address))
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
    let (inner, connection) = http1::handshake(io).await?;
    let (open, closed) = oneshot::channel::<()>();
    monoio::spawn(async move {
        if let Either::Left((Err(e), _)) = future::select(connection, closed).await {
            log::debug!("client connection failed: {e}");
        }
    });
    Ok(Sender {
        _open: open,
        inner,
        meter,
    })
}
