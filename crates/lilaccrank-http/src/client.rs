//! Sends HTTP/1.1 requests over hyper, on pooled connections that are known to be alive.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use indexmap::IndexMap;
use lilaccrank::backoff;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use thiserror::Error;

use crate::body::Body;
use crate::tally::{Counted, Tally};

/// Result of sending.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An idle connection is used again at most this long after its last answer.
///
/// Something between the two ends may lose track of an idle connection without a word; a
/// request sent on it then hangs, and whether it ran is unknown. Within this time the last
/// answer is proof enough; after it a new connection proves itself by its handshake.
pub const MAX_IDLE: Duration = Duration::from_secs(1);
/// A silent connection is probed by the system after this long, and up to twice as long.
///
/// Connections opened in one burst would otherwise all be probed in the same instant; with 3,000
/// of them on one machine probes were lost in its queues, and living connections timed out.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Unanswered probes that end a connection.
const KEEPALIVE_PROBES: u32 = 4;
/// Most idle connections kept for each address.
const IDLE_LIMIT: usize = 64;

/// Why a request got no response head.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be made; nothing was sent.
    #[error("can't connect to {address}: {source}")]
    Connect {
        /// IP number and port.
        address: String,
        /// What the system said.
        source: io::Error,
    },
    /// The connection failed.
    #[error("the exchange with {address} failed: {source}")]
    Exchange {
        /// IP number and port.
        address: String,
        /// What hyper said.
        source: hyper::Error,
        /// Whether not a byte of the request was written.
        unsent: bool,
    },
    /// No response head in time; the request may have been taken.
    #[error("{address} did not answer within {limit:?}")]
    Silent {
        /// IP number and port.
        address: String,
        /// The limit that passed.
        limit: Duration,
    },
}

impl Error {
    /// Whether the connection ended after the request had been sent on it.
    #[must_use]
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Exchange { unsent: false, .. })
    }

    /// Whether the other end certainly got nothing.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Exchange { unsent: true, .. }
        )
    }
}

/// Limits of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for the connection.
    pub connect: Duration,
    /// Time from sending to the response head.
    pub head: Duration,
    /// Longest rest of an idle connection that is used again, [`MAX_IDLE`] at most; zero if
    /// only a new one will do.
    pub max_idle: Duration,
}

/// A client; clones share the connections.
#[derive(Clone, Default)]
pub struct Client {
    /// How often an address was forgotten; connections of before are not kept.
    generations: Rc<RefCell<IndexMap<String, u64>>>,
    idle: Rc<RefCell<IndexMap<String, Vec<Idle>>>>,
    /// Whether a task closes idle connections.
    sweeping: Rc<Cell<bool>>,
    tally: Option<Tally>,
}

struct Idle {
    since: Instant,
    sender: SendRequest<Body>,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < MAX_IDLE && !self.sender.is_closed()
    }
}

/// A connection on loan from the client.
///
/// Give it back with [`Client::release`] once the body is read to its end. Dropping it closes
/// the connection, which cancels what the other end still does for it.
pub struct Connection {
    address: String,
    /// How often its address had been forgotten when it was made.
    generation: u64,
    sender: SendRequest<Body>,
}

impl Connection {
    /// Makes a new connection, for who has to decide something right before sending.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if it can't be made within `limit`.
    pub async fn open(address: &str, limit: Duration) -> Result<Self> {
        Ok(Self {
            address: address.to_owned(),
            generation: 0,
            sender: connect(address, limit, None).await?,
        })
    }

    /// Sends `req` and waits for the response head.
    ///
    /// # Errors
    ///
    /// If the connection fails, or stays silent for longer than `head`.
    pub async fn send(&mut self, req: Request<Body>, head: Duration) -> Result<Response<Incoming>> {
        let sent = self.try_send(req, head).await;
        sent.map_err(|(e, _)| e)
    }

    /// Gives the request back if the connection had ended before a byte of it was written.
    async fn try_send(
        &mut self,
        req: Request<Body>,
        head: Duration,
    ) -> Result<Response<Incoming>, (Error, Option<Request<Body>>)> {
        let answer = monoio::time::timeout(head, self.sender.try_send_request(req)).await;
        let address = || self.address.clone();
        let Ok(answer) = answer else {
            let timed_out = Error::Silent {
                address: address(),
                limit: head,
            };
            return Err((timed_out, None));
        };
        answer.map_err(|mut e| {
            let unsent = e.take_message();
            let err = Error::Exchange {
                address: address(),
                source: e.into_error(),
                unsent: unsent.is_some(),
            };
            (err, unsent)
        })
    }
}

impl Client {
    /// A client whose bytes, requests and responses are counted.
    #[must_use]
    pub fn with_tally(tally: Tally) -> Self {
        Self {
            tally: Some(tally),
            ..Self::default()
        }
    }

    /// Sends `req` to `address` and waits for the response head.
    ///
    /// # Errors
    ///
    /// If the connection can't be made, fails, or stays silent.
    pub async fn send(
        &self,
        address: &str,
        req: Request<Body>,
        limits: Limits,
    ) -> Result<(Response<Incoming>, Connection)> {
        let mut req = req;
        while let Some(sender) = self.take(address, limits.max_idle) {
            let connection = Connection {
                address: address.to_owned(),
                generation: self.generation(address),
                sender,
            };
            match self.exchange(connection, req, limits.head).await {
                Ok(answered) => return Ok(answered),
                // The other end closed it while it rested: nothing was sent on it.
                Err((_, Some(unsent))) => req = unsent,
                Err((e, None)) => return Err(e),
            }
        }
        let connection = Connection {
            address: address.to_owned(),
            generation: self.generation(address),
            sender: connect(address, limits.connect, self.tally.as_ref()).await?,
        };
        let answered = self.exchange(connection, req, limits.head).await;
        answered.map_err(|(e, _)| e)
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        req: Request<Body>,
        head: Duration,
    ) -> Result<(Response<Incoming>, Connection), (Error, Option<Request<Body>>)> {
        if let Some(tally) = &self.tally {
            tally.count_sent_messages(1);
        }
        let res = connection.try_send(req, head).await?;
        if let Some(tally) = &self.tally {
            tally.count_received_messages(1);
        }
        Ok((res, connection))
    }

    /// Takes a connection back after a whole answer.
    pub fn release(&self, connection: Connection) {
        if connection.generation != self.generation(&connection.address) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.address).or_default();
        if list.len() < IDLE_LIMIT {
            list.push(Idle {
                since: Instant::now(),
                sender: connection.sender,
            });
        }
        if !self.sweeping.replace(true) {
            monoio::spawn(self.clone().sweep());
        }
    }

    /// Gives up all connections to an address: another process has it now. One to the process before
    /// would hang without a word, or be reset with a request on it that may not be sent twice.
    pub fn discard_connections(&self, address: &str) {
        self.idle.borrow_mut().swap_remove(address);
        let mut generations = self.generations.borrow_mut();
        *generations.entry(address.to_owned()).or_default() += 1;
    }

    fn generation(&self, address: &str) -> u64 {
        let generations = self.generations.borrow();
        generations.get(address).copied().unwrap_or(0)
    }

    /// Closes what is too old to be used, until nothing is idle.
    ///
    /// Requests that need new connections leave theirs here and take none. Without this the idle
    /// ones stay open for as long as their servers like, up to the limit for each address, and a
    /// daemon before thousands of targets runs out of descriptors.
    async fn sweep(self) {
        loop {
            monoio::time::sleep(MAX_IDLE).await;
            let mut idle = self.idle.borrow_mut();
            idle.retain(|_, list| {
                list.retain(Idle::is_usable);
                !list.is_empty()
            });
            if idle.is_empty() {
                self.sweeping.set(false);
                return;
            }
        }
    }

    /// The connection that rested shortest, if that is short enough.
    fn take(&self, address: &str, max_idle: Duration) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(address)?;
        list.retain(Idle::is_usable);
        let is_fresh = |idle: &Idle| idle.since.elapsed() < max_idle && idle.sender.is_ready();
        let at = list.iter().rposition(is_fresh)?;
        Some(list.swap_remove(at).sender)
    }
}

async fn connect(
    address: &str,
    limit: Duration,
    tally: Option<&Tally>,
) -> Result<SendRequest<Body>> {
    let fail = |source| Error::Connect {
        address: address.to_owned(),
        source,
    };
    let stream = monoio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| fail(io::ErrorKind::TimedOut.into()))?
        .map_err(fail)?;
    stream.set_nodelay(true).map_err(fail)?;
    let idle = KEEPALIVE + backoff::full_jitter(KEEPALIVE);
    stream
        .set_tcp_keepalive(Some(idle), Some(KEEPALIVE_INTERVAL), Some(KEEPALIVE_PROBES))
        .map_err(fail)?;
    let io = monoio::io::IntoPollIo::into_poll_io(stream).map_err(fail)?;
    let io = MonoioIo::new(io);
    let sender = match tally {
        Some(tally) => handshake(Counted::new(io, tally.clone())).await,
        None => handshake(io).await,
    };
    sender.map_err(|e| fail(io::Error::other(e)))
}

async fn handshake<T>(io: T) -> hyper::Result<SendRequest<Body>>
where
    T: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
{
    let (sender, connection) = http1::handshake(io).await?;
    monoio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("connection to a server ended: {e}");
        }
    });
    Ok(sender)
}
