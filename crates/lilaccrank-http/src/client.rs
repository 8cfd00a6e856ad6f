//! Sends HTTP/1.1 requests over hyper, reusing only recently used pooled connections.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};
use indexmap::IndexMap;
use thiserror::Error;

use crate::body::Body;
use crate::runtime;
use crate::tally::Tally;
use crate::timeout;
use crate::unproductive::{self, Meter};

mod sender;

use sender::{Sender, connect};

/// Result of sending a request.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum time after its last response that an idle connection is reused.
///
/// A middlebox may silently drop the state of an idle connection. A request sent on it then hangs,
/// and whether it ran is unknown. Within this time the connection is assumed to be alive; later
/// requests open a new one, which the TCP handshake verifies.
pub const MAX_IDLE: Duration = Duration::from_secs(1);
/// Maximum number of idle connections per address.
const IDLE_LIMIT: usize = 64;
/// Number of remembered ids after which a connection is not used again.
const CARRIED_LIMIT: usize = 256;

/// Reasons why a request got no response head.
#[derive(Debug, Error)]
pub enum Error {
    /// Connecting failed; nothing was sent.
    #[error("can't connect to {address}: {source}")]
    Connect {
        /// IP number and port.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection failed before the response head.
    #[error("the exchange with {address} failed: {source}")]
    Exchange {
        /// IP number and port.
        address: String,
        /// Error reported by hyper.
        source: hyper::Error,
        /// `true` if no byte of the request was written.
        unsent: bool,
    },
    /// The request was no longer wanted when the connection was there; nothing was sent.
    #[error("the request to {address} was withdrawn before it was sent")]
    Withdrawn {
        /// IP number and port.
        address: String,
    },
    /// No response head arrived in time; the server may have processed the request.
    #[error("{address} did not answer within {limit:?}")]
    Silent {
        /// IP number and port.
        address: String,
        /// Time limit that was exceeded.
        limit: Duration,
    },
}

impl Error {
    /// Returns `true` if the connection failed after the request was sent, at least in part, and not by
    /// what the server sent.
    #[must_use]
    pub fn is_connection_lost(&self) -> bool {
        match self {
            Self::Exchange { source, unsent, .. } => !unsent && !unproductive::is_malformed(source),
            Self::Connect { .. } | Self::Silent { .. } | Self::Withdrawn { .. } => false,
        }
    }

    /// Returns `true` if the server certainly received nothing.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Exchange { unsent: true, .. } | Self::Withdrawn { .. }
        )
    }
}

/// Tells right before a request is written whether it is still wanted.
pub type IsWanted = Rc<dyn Fn() -> bool>;

/// Digest of the id that a request has and that its answer repeats.
pub type RequestDigest = u64;

/// Conditions under which a request is written to a connection.
#[derive(Clone)]
pub struct Conditions {
    /// Checked right before the request is written.
    pub is_wanted: IsWanted,
    /// Id of the request. Only a connection that has not carried it before is used, since an answer with the
    /// same id there could be a second copy of an earlier one. A request without an id, whose answer nothing
    /// tells from others, always uses a new connection.
    pub request: Option<RequestDigest>,
}

/// Time limits of one request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time to connect; with zero, only kept connections are used.
    pub connect: Duration,
    /// Maximum time from sending the request to receiving the response head.
    pub head: Duration,
    /// Maximum idle time of a reused connection, capped at [`MAX_IDLE`]; zero always opens a new
    /// connection.
    pub max_idle: Duration,
}

/// An HTTP client; clones share the connection pool.
#[derive(Clone, Default)]
pub struct Client {
    /// Number of times each address was discarded; connections of older generations are not kept.
    generations: Rc<RefCell<IndexMap<String, u64>>>,
    idle: Rc<RefCell<IndexMap<String, Vec<Idle>>>>,
    /// `true` while a task closes idle connections.
    sweeping: Rc<Cell<bool>>,
    tally: Option<Tally>,
}

struct Idle {
    since: Instant,
    sender: Sender,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < MAX_IDLE && !self.sender.inner.is_closed()
    }
}

/// What was observed of one exchange. It tells an answer from a copy of an earlier one, which arrives sooner
/// than a round trip takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeRecord {
    /// Number of the connection in this process.
    pub connection: u64,
    /// Number of requests that the connection had carried before.
    pub earlier_requests: u32,
    /// Time from the write of the last byte of the request to the head of the answer; `None` if the head came
    /// before the request was written.
    pub head_after: Option<Duration>,
}

/// A connection checked out of the client's pool.
///
/// Return it with [`Client::release`] after reading the whole response body. Dropping it resets the
/// connection, which cancels the request on the server.
pub struct Connection {
    address: String,
    /// Generation of the address when the connection was checked out.
    generation: u64,
    sender: Sender,
}

impl Connection {
    /// Opens a new connection, for callers that must make a decision right before sending.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if connecting fails or takes longer than `limit`.
    pub async fn open(address: &str, limit: Duration) -> Result<Self> {
        Ok(Self {
            address: address.to_owned(),
            generation: 0,
            sender: connect(address, limit, None).await?,
        })
    }

    /// What was observed of the last exchange on the connection.
    #[must_use]
    pub fn last_exchange(&self) -> ExchangeRecord {
        ExchangeRecord {
            connection: self.sender.number,
            earlier_requests: self.sender.request_count.saturating_sub(1),
            head_after: self.sender.head_after,
        }
    }

    /// Meter of what the server sends beside answers.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.sender.meter.clone()
    }

    /// Sends `req` and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or no response head arrives within `head`.
    pub async fn send(&mut self, req: Request<Body>, head: Duration) -> Result<Response<Incoming>> {
        let sent = self.try_send(req, head, None).await;
        sent.map_err(|(e, _)| e)
    }

    /// Returns the request along with the error if none of it was written.
    async fn try_send(
        &mut self,
        req: Request<Body>,
        head: Duration,
        conditions: Option<&Conditions>,
    ) -> Result<Response<Incoming>, (Error, Option<Request<Body>>)> {
        let is_wanted = conditions.map(|conditions| Rc::clone(&conditions.is_wanted));
        self.sender.is_wanted.replace(is_wanted);
        self.sender.request_count += 1;
        let carried = conditions.and_then(|conditions| conditions.request);
        self.sender.carried.extend(carried);
        self.sender.meter.start();
        let answer = timeout::timeout(head, self.sender.inner.try_send_request(req)).await;
        self.sender.meter.stop();
        self.sender.head_after = self.sender.meter.since_write();
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
    /// Creates a client that counts its bytes, requests and responses in `tally`.
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
    /// Returns an error if the connection can't be made or fails, or no response head arrives in
    /// time.
    pub async fn send(
        &self,
        address: &str,
        req: Request<Body>,
        limits: Limits,
    ) -> Result<(Response<Incoming>, Connection)> {
        self.send_where(address, req, limits, None).await
    }

    /// Like [`send`](Self::send), but writes nothing unless `conditions` hold once the connection is there.
    ///
    /// # Errors
    ///
    /// Those of [`send`](Self::send), and [`Error::Withdrawn`].
    pub async fn send_if(
        &self,
        address: &str,
        req: Request<Body>,
        limits: Limits,
        conditions: &Conditions,
    ) -> Result<(Response<Incoming>, Connection)> {
        let sent = self
            .send_where(address, req, limits, Some(conditions))
            .await;
        match sent {
            Err(e) if e.is_unsent() && !(conditions.is_wanted)() => Err(Error::Withdrawn {
                address: address.to_owned(),
            }),
            sent => sent,
        }
    }

    async fn send_where(
        &self,
        address: &str,
        req: Request<Body>,
        limits: Limits,
        conditions: Option<&Conditions>,
    ) -> Result<(Response<Incoming>, Connection)> {
        let mut req = req;
        let is_wanted = || conditions.is_none_or(|conditions| (conditions.is_wanted)());
        while let Some(sender) = self.take(address, limits.max_idle, conditions) {
            let connection = Connection {
                address: address.to_owned(),
                generation: self.generation(address),
                sender,
            };
            let exchange = self.exchange(connection, req, limits.head, conditions);
            match exchange.await {
                Ok(answered) => return Ok(answered),
                Err((e, _)) if !is_wanted() => return Err(e),
                // The server closed the connection while it was idle, so nothing was sent.
                Err((_, Some(unsent))) => req = unsent,
                Err((e, None)) => return Err(e),
            }
        }
        let connection = Connection {
            address: address.to_owned(),
            generation: self.generation(address),
            sender: connect(address, limits.connect, self.tally.as_ref()).await?,
        };
        let answered = self
            .exchange(connection, req, limits.head, conditions)
            .await;
        answered.map_err(|(e, _)| e)
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        req: Request<Body>,
        head: Duration,
        conditions: Option<&Conditions>,
    ) -> Result<(Response<Incoming>, Connection), (Error, Option<Request<Body>>)> {
        if let Some(tally) = &self.tally {
            tally.count_sent_messages(1);
        }
        let res = connection.try_send(req, head, conditions).await?;
        if let Some(tally) = &self.tally {
            tally.count_received_messages(1);
        }
        Ok((res, connection))
    }

    /// Opens a connection and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if connecting fails or takes longer than `limit`.
    pub async fn open_idle(&self, address: &str, limit: Duration) -> Result<()> {
        let generation = self.generation(address);
        let sender = connect(address, limit, self.tally.as_ref()).await?;
        self.release(Connection {
            address: address.to_owned(),
            generation,
            sender,
        });
        Ok(())
    }

    /// Returns a connection to the pool after a complete response.
    pub fn release(&self, connection: Connection) {
        if connection.generation != self.generation(&connection.address) {
            return;
        }
        if connection.sender.carried.len() >= CARRIED_LIMIT {
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
            runtime::spawn(self.clone().sweep());
        }
    }

    /// Discards all connections to an address that another process has taken over. A request on a
    /// connection to the previous process would hang, or be reset and might not be safe to retry.
    pub fn discard_connections(&self, address: &str) {
        self.idle.borrow_mut().swap_remove(address);
        let mut generations = self.generations.borrow_mut();
        *generations.entry(address.to_owned()).or_default() += 1;
    }

    fn generation(&self, address: &str) -> u64 {
        let generations = self.generations.borrow();
        generations.get(address).copied().unwrap_or(0)
    }

    /// Closes expired idle connections until none are left.
    ///
    /// Requests that require new connections add to the pool but never take from it. Without this
    /// task, idle connections stay open until their servers close them, up to the limit per
    /// address, and a daemon with thousands of targets runs out of file descriptors.
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

    /// Takes the most recently used connection that has been idle for less than `max_idle` and that meets
    /// `conditions`.
    fn take(
        &self,
        address: &str,
        max_idle: Duration,
        conditions: Option<&Conditions>,
    ) -> Option<Sender> {
        let can_carry = |sender: &Sender| match conditions.map(|conditions| conditions.request) {
            Some(Some(id)) => !sender.carried.contains(&id),
            Some(None) => false,
            None => true,
        };
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(address)?;
        list.retain(Idle::is_usable);
        let is_fresh =
            |idle: &Idle| idle.since.elapsed() < max_idle && idle.sender.inner.is_ready();
        let at = list
            .iter()
            .rposition(|idle| is_fresh(idle) && can_carry(&idle.sender))?;
        Some(list.swap_remove(at).sender)
    }
}
