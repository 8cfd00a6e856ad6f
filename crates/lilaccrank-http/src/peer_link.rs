//! Sends calls to a peer in batches over monoio-http, from one task per peer.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use http::Method;
use http::request::Builder;
use lilaccrank::ids::VmId;
use lilaccrank::peers::{Error, Result};
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio_http::h1::codec::decoder::{FillPayload, ResponseDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload, PayloadError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::compression::{self, EncodedBody};
use crate::progress::{Progress, Watched};
use crate::runtime;
use crate::tally::{Counted, Tally};
use crate::timeout;

/// Path that peers post batches to.
pub const PATH: &str = "/peer";
/// Maximum number of calls in a batch.
const BATCH_LIMIT: usize = 256;
/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time without a byte during one batch. A live peer answers in milliseconds; a longer timeout
/// would block all later calls behind a connection that failed silently.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for one batch. A large reply that is given up while it comes has to be sent once more, over
/// the same narrow link.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time an idle connection is reused; see [`crate::client::MAX_IDLE`].
const MAX_IDLE: Duration = Duration::from_secs(2);

struct Call<Req, Rep> {
    req: Req,
    tx: oneshot::Sender<Result<Rep>>,
}

/// A handle for calls to a peer; clones share a task, which ends when the last clone is dropped.
pub struct PeerLink<Req, Rep> {
    tx: mpsc::UnboundedSender<Call<Req, Rep>>,
    vm: VmId,
}

impl<Req, Rep> Clone for PeerLink<Req, Rep> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            vm: self.vm.clone(),
        }
    }
}

impl<Req, Rep> PeerLink<Req, Rep>
where
    Req: Serialize + 'static,
    Rep: DeserializeOwned + 'static,
{
    /// Starts the task for calls to `vm` at `address`, which connects at the first call and counts
    /// its traffic in `tally`.
    #[must_use]
    pub fn start(vm: VmId, address: String, tally: Tally) -> Self {
        let (tx, rx) = mpsc::unbounded();
        let task = LinkTask {
            address,
            connection: None,
            tally,
            vm: vm.clone(),
        };
        runtime::spawn(task.run(rx));
        Self { tx, vm }
    }

    /// Sends one request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] if nothing was sent, [`Error::NoAnswer`] if the request may
    /// have been.
    pub async fn call(&self, req: Req) -> Result<Rep> {
        let (tx, rx) = oneshot::channel();
        let unreachable = || Error::Unreachable(self.vm.clone());
        self.tx
            .unbounded_send(Call { req, tx })
            .map_err(|_| unreachable())?;
        rx.await.map_err(|_| unreachable())?
    }
}

struct Connection {
    decoder: ResponseDecoder<Watched<Counted<TcpOwnedReadHalf>>>,
    encoder: GenericEncoder<Watched<Counted<TcpOwnedWriteHalf>>>,
    last_used: std::time::Instant,
    progress: Progress,
}

struct LinkTask {
    address: String,
    connection: Option<Connection>,
    tally: Tally,
    vm: VmId,
}

impl LinkTask {
    async fn run<Req, Rep>(mut self, mut rx: mpsc::UnboundedReceiver<Call<Req, Rep>>)
    where
        Req: Serialize,
        Rep: DeserializeOwned,
    {
        while let Some(first) = rx.next().await {
            let mut calls = VecDeque::from([first]);
            while calls.len() < BATCH_LIMIT {
                let Ok(call) = rx.try_recv() else { break };
                calls.push_back(call);
            }
            // Calls whose caller has stopped waiting are still sent: a cancellation or a report
            // must reach the peer even if nobody waits for the reply.
            let (reqs, txs): (Vec<_>, Vec<_>) = calls.into_iter().map(|c| (c.req, c.tx)).unzip();
            match self.exchange(&reqs).await {
                Ok(replies) => {
                    for (tx, reply) in txs.into_iter().zip(replies) {
                        let _ = tx.send(Ok(reply));
                    }
                }
                Err(e) => {
                    self.connection = None;
                    log::debug!("batch to a peer failed: {e}");
                    for tx in txs {
                        let _ = tx.send(Err(e.clone()));
                    }
                }
            }
        }
    }

    async fn exchange<Req, Rep>(&mut self, reqs: &[Req]) -> Result<Vec<Rep>>
    where
        Req: Serialize,
        Rep: DeserializeOwned,
    {
        let no_answer = || Error::NoAnswer(self.vm.clone());
        let unreachable = || Error::Unreachable(self.vm.clone());
        let Ok(buf) = rmp_serde::to_vec_named(reqs) else {
            return Err(unreachable());
        };
        let reusable = self
            .connection
            .take()
            .filter(|c| c.last_used.elapsed() < MAX_IDLE);
        let mut connection = match reusable {
            Some(connection) => connection,
            None => connect(&self.address, &self.tally)
                .await
                .ok_or_else(unreachable)?,
        };
        self.tally.count_sent_messages(reqs.len());
        let progress = connection.progress.clone();
        let body = progress
            .bound(connection.post(buf), STALL_TIMEOUT, EXCHANGE_TIMEOUT)
            .await
            .flatten()
            .ok_or_else(no_answer)?;
        let replies: Vec<Rep> = rmp_serde::from_slice(&body).map_err(|e| {
            log::warn!("can't decode replies from a peer: {e}");
            no_answer()
        })?;
        if replies.len() != reqs.len() {
            return Err(no_answer());
        }
        self.tally.count_received_messages(replies.len());
        connection.last_used = std::time::Instant::now();
        self.connection = Some(connection);
        Ok(replies)
    }
}

async fn connect(address: &str, tally: &Tally) -> Option<Connection> {
    let stream = timeout::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let progress = Progress::new();
    let (r, w) = stream.into_split();
    let r = Watched::new(Counted::new(r, tally.clone()), progress.clone());
    let w = Watched::new(Counted::new(w, tally.clone()), progress.clone());
    Some(Connection {
        decoder: ResponseDecoder::new(r),
        encoder: GenericEncoder::new(w),
        last_used: std::time::Instant::now(),
        progress,
    })
}

impl Connection {
    async fn post(&mut self, buf: Vec<u8>) -> Option<Vec<u8>> {
        let encoded = compression::compress(buf);
        let payload = FixedPayload::<Bytes, PayloadError>::new(encoded.buf.into());
        let mut req = Builder::new()
            .method(Method::POST)
            .uri(PATH)
            .header(http::header::HOST, "peer")
            .body(Payload::Fixed(payload))
            .ok()?;
        if encoded.deflated {
            compression::set_deflated(req.headers_mut());
        }
        self.encoder.send_and_flush(req).await.ok()?;
        let res = self.decoder.next().await?.ok()?;
        if !res.status().is_success() {
            return None;
        }
        let deflated = compression::is_deflated(res.headers());
        let Payload::Fixed(mut payload) = res.into_body() else {
            return None;
        };
        self.decoder.fill_payload().await.ok()?;
        let buf = payload.next().await?.ok()?.into();
        compression::decompress(EncodedBody { buf, deflated }).ok()
    }
}
