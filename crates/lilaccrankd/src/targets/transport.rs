//! Sends requests to one target: over an own connection, or through a peer while this daemon can't
//! connect.
//!
//! A request is handed to a peer only if nothing of it was sent, and to the next peer only if the
//! first says so.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::{Request, Response};
use lilaccrank::document::Target;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::ids::{PoolId, Tier, VmId};
use lilaccrank::membership::State;
use lilaccrank::software_version::VersionDigest;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::body::Body;
use lilaccrank_http::client::{self, Conditions, Connection, IsWanted, Limits};
use thiserror::Error;

use crate::callers::refusal::Refusal;
use crate::daemon::Daemon;
use crate::peers::path_relay::{self, Envelope};
use crate::request::cancellation::Cancellation;
use crate::request::execution::Execution;
use crate::targets::call;
use crate::targets::paths::{self, ActiveSend};
use crate::targets::protocol;
use crate::targets::sendable;
use crate::targets::write_time::WriteTime;

/// Result of one send.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Check right before a request is written.
pub type Check = Rc<dyn Fn() -> Result<(), Refusal>>;

/// Time from the grant to the write from which it is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(100);
/// Maximum number of peers that one request is offered to.
const MAX_RELAYS: usize = 2;

/// Why a request got no response head.
#[derive(Debug, Error)]
pub enum Error {
    /// The own connection failed.
    #[error(transparent)]
    Direct(#[from] client::Error),
    /// The peer that relayed the request got no response head.
    #[error("relayed by {vm}: {failure}")]
    Relayed {
        /// What happened between the peer and the target.
        failure: path_relay::Failure,
        /// The peer.
        vm: VmId,
    },
    /// The connection to the peer failed after the request was sent.
    #[error("the connection to the relay {vm} failed: {source}")]
    RelayLost {
        /// Error of the connection.
        source: client::Error,
        /// The peer.
        vm: VmId,
    },
    /// The request was cancelled before it was sent.
    #[error(transparent)]
    Cancelled(Refusal),
    /// No connection could be made, and no peer that was asked reaches the target.
    #[error("{0}, and no peer that was asked reaches the target")]
    Unreachable(client::Error),
}

impl Error {
    /// The refusal for the caller.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        let message = self.to_string();
        match self {
            Self::Direct(e) => call::refusal(e),
            Self::Relayed { failure, .. } => match failure {
                path_relay::Failure::Lost => {
                    Refusal::new(ErrorKind::TargetFailed, message).connection_lost()
                }
                path_relay::Failure::Mismatched => Refusal::new(ErrorKind::BrokenAnswer, message),
                path_relay::Failure::Silent => Refusal::new(ErrorKind::TargetSilent, message),
                path_relay::Failure::Unsent => Refusal::new(ErrorKind::NoTarget, message),
            },
            Self::Cancelled(refusal) => refusal.clone(),
            Self::RelayLost { .. } => Refusal::new(ErrorKind::TargetFailed, message),
            Self::Unreachable(_) => Refusal::new(ErrorKind::NoTarget, message),
        }
    }
}

/// Sends the requests of one caller's request to one target.
pub struct Transport {
    cancellation: Rc<Cancellation>,
    created_at: Instant,
    daemon: Rc<Daemon>,
    deadline: Option<Instant>,
    /// Last time that something of the answer arrived.
    heard_at: Cell<Option<Instant>>,
    instance: TargetInstance,
    /// Whether the peer that relays the request has found the answer to be the one to it.
    is_attributed: Cell<bool>,
    log_id: String,
    pool: PoolId,
    /// The peer that has the request.
    relay: RefCell<Option<VmId>>,
    active: RefCell<Option<Rc<ActiveSend>>>,
    target: Target,
    tier: Tier,
    /// When the request was written, to the target or to the peer that relays it.
    pub write_time: Rc<WriteTime>,
}

impl Transport {
    /// Creates a transport for the request of `execution`.
    #[must_use]
    pub fn new(execution: &Execution<'_>, target: &Target) -> Self {
        let routed = execution.routed;
        Self {
            cancellation: Rc::clone(execution.cancellation),
            created_at: Instant::now(),
            daemon: Rc::clone(execution.daemon),
            deadline: routed.deadline(),
            heard_at: Cell::default(),
            instance: TargetInstance::of(target),
            is_attributed: Cell::default(),
            log_id: routed.log_id().to_owned(),
            pool: routed.route.pool.clone(),
            relay: RefCell::default(),
            active: RefCell::default(),
            target: target.clone(),
            tier: routed.route.tier,
            write_time: Rc::default(),
        }
    }

    /// Sends the request that `build` returns and waits for the response head.
    ///
    /// # Errors
    ///
    /// If no response head arrives, or if all callers have left before the request is sent.
    pub async fn send(
        &self,
        build: impl Fn() -> Request<Body>,
        limits: Limits,
    ) -> Result<(Response<Incoming>, Connection)> {
        self.daemon.link.until_free(self.tier, &build()).await;
        self.send_if(self.check_at_write(), build, limits).await
    }

    /// Sends a request that ends work at the target, whether or not a caller is left.
    ///
    /// # Errors
    ///
    /// If no response head arrives.
    pub async fn send_cancel(
        &self,
        build: impl Fn() -> Request<Body>,
        limits: Limits,
    ) -> Result<(Response<Incoming>, Connection)> {
        self.send_if(Rc::new(|| Ok(())), build, limits).await
    }

    /// Check whether the request may still be written: somebody waits for its answer, and the target
    /// takes requests.
    fn check_at_write(&self) -> Check {
        let (cancellation, daemon) = (Rc::clone(&self.cancellation), Rc::clone(&self.daemon));
        let (instance, pool) = (self.instance.clone(), self.pool.clone());
        Rc::new(move || {
            cancellation.check()?;
            sendable::check_at_write(&daemon, &pool, &instance)
        })
    }

    async fn send_if(
        &self,
        check: Check,
        build: impl Fn() -> Request<Body>,
        limits: Limits,
    ) -> Result<(Response<Incoming>, Connection)> {
        check().map_err(Error::Cancelled)?;
        let paths = &self.daemon.paths;
        let is_down = paths.is_down(&self.instance);
        let unconnected = if is_down && !paths.keeps_working(&self.instance) {
            client::Error::Connect {
                address: self.target.address.clone(),
                source: std::io::ErrorKind::NotConnected.into(),
            }
        } else {
            let connect = match is_down {
                true => Duration::ZERO,
                false => limits.connect,
            };
            match self
                .send_direct(build(), Limits { connect, ..limits }, &check)
                .await
            {
                Err(e @ client::Error::Connect { .. }) => e,
                Err(client::Error::Withdrawn { address }) => {
                    return Err(withdrawn(&check, &address));
                }
                other => return Ok(other?),
            }
        };
        if !is_down {
            paths::record_unconnected(&self.daemon, &self.pool, &self.target, &unconnected);
        }
        self.relay(&check, build, limits, unconnected).await
    }

    /// Conditions of the write, of which those of `check` are checked by the task that writes the request.
    /// Logs a long wait, which the grant does not show.
    fn conditions(&self, check: &Check, req: &Request<Body>) -> Conditions {
        Conditions {
            is_wanted: self.is_wanted(check),
            request: protocol::request_digest(&*self.daemon.ports.targets, req.headers()),
        }
    }

    fn is_wanted(&self, check: &Check) -> IsWanted {
        let (check, created_at) = (Rc::clone(check), self.created_at);
        let (request, target) = (self.log_id.clone(), self.instance.id.clone());
        let write_time = Rc::clone(&self.write_time);
        Rc::new(move || {
            let is_written = check().is_ok();
            if is_written {
                write_time.record();
            }
            let waited = created_at.elapsed();
            if waited >= LOGGED_WAIT {
                log::info!(
                    is_written = is_written,
                    request = request,
                    target = target,
                    waited_ms = waited.as_millis() as u64;
                    "waited from the grant to the write"
                );
            }
            is_written
        })
    }

    /// Returns `true` if a peer has the request.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        self.relay.borrow().is_some()
    }

    /// Returns `true` if a peer has the request, and has not told that the answer is the one to it.
    #[must_use]
    pub fn lacks_attribution(&self) -> bool {
        self.is_relayed() && !self.is_attributed.get()
    }

    /// Records that a part of the answer arrived.
    pub fn record_heard(&self) {
        self.heard_at.set(Some(Instant::now()));
        if let Some(active) = &*self.active.borrow() {
            active.record_heard();
        }
    }

    /// Returns `true` if something of the answer arrived after `since`.
    #[must_use]
    pub fn is_heard_since(&self, since: Instant) -> bool {
        self.heard_at.get() > Some(since)
    }

    /// Completes when the target is reached again over a path that was cut.
    pub async fn reached(&self) {
        while !self.is_reached() {
            self.daemon.paths.changed().await;
        }
    }

    /// Completes once the target is not reached.
    pub async fn unreached(&self) {
        while self.is_reached() {
            self.daemon.paths.changed().await;
        }
    }

    /// Returns `true` unless the path to the target, or to the relay, is cut or down.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        let paths = &self.daemon.paths;
        match self.relay.borrow().is_some() {
            true => !self.is_cut(),
            false => !paths.is_down(&self.instance) || paths.keeps_working(&self.instance),
        }
    }

    /// Completes when the answer can't arrive: the own path is down and the target is well, or the
    /// daemon that relays the request has died.
    pub async fn cut(&self) {
        while !self.is_cut() {
            self.daemon.paths.changed().await;
        }
    }

    fn is_cut(&self) -> bool {
        if let Some(vm) = &*self.relay.borrow() {
            let relay = self.daemon.membership.find(vm);
            return relay.is_none_or(|relay| relay.state == State::Dead);
        }
        let active = self.active.borrow();
        active.as_ref().is_some_and(|active| active.is_cut())
    }

    async fn send_direct(
        &self,
        req: Request<Body>,
        limits: Limits,
        check: &Check,
    ) -> client::Result<(Response<Incoming>, Connection)> {
        let active = Rc::new(ActiveSend::new(&self.daemon, &self.instance));
        self.active.replace(Some(Rc::clone(&active)));
        let conditions = self.conditions(check, &req);
        let sent = self
            .daemon
            .client
            .send_if(&self.target.address, req, limits, &conditions)
            .await;
        match &sent {
            Ok(_) => self.record_heard(),
            Err(_) => {
                self.active.take();
            }
        }
        sent
    }

    async fn relay(
        &self,
        check: &Check,
        build: impl Fn() -> Request<Body>,
        limits: Limits,
        unconnected: client::Error,
    ) -> Result<(Response<Incoming>, Connection)> {
        let paths = &self.daemon.paths;
        for _ in 0..MAX_RELAYS {
            let Some((vm, address)) =
                paths::until_relay(&self.daemon, &self.pool, &self.instance).await
            else {
                break;
            };
            check().map_err(Error::Cancelled)?;
            let envelope = Envelope {
                from: &self.daemon.cfg.vm,
                left: self
                    .deadline
                    .map(|at| at.saturating_duration_since(Instant::now())),
                log_id: &self.log_id,
                pool: &self.pool,
                target: &self.instance,
                tier: self.tier,
                version: VersionDigest::of(&self.target),
            };
            let req = envelope.wrap(build());
            log::info!(request = self.log_id, target = self.instance.id, via = vm; "relayed");
            self.daemon.metrics.relayed_sent.inc();
            self.relay.replace(Some(vm.clone()));
            let conditions = self.conditions(check, &req);
            let sent = self
                .daemon
                .client
                .send_if(&address.to_string(), req, limits, &conditions)
                .await;
            let failure = match sent {
                Ok((mut res, connection)) => match path_relay::failure(&res) {
                    None => {
                        self.record_heard();
                        let is_attributed = path_relay::take_attributed(res.headers_mut());
                        self.is_attributed.set(is_attributed);
                        paths.record_relay(&self.daemon, &self.instance, &vm, true);
                        return Ok((unwrap(res), connection));
                    }
                    Some(failure) => failure,
                },
                Err(client::Error::Withdrawn { address }) => {
                    return Err(withdrawn(check, &address));
                }
                Err(e) if e.is_unsent() => path_relay::Failure::Unsent,
                Err(source) => return Err(Error::RelayLost { source, vm }),
            };
            if failure != path_relay::Failure::Unsent {
                return Err(Error::Relayed { failure, vm });
            }
            paths.record_relay(&self.daemon, &self.instance, &vm, false);
        }
        Err(Error::Unreachable(unconnected))
    }
}

/// Error for a request that `check` stopped when the connection was there. What stopped it may have passed
/// since.
#[must_use]
pub fn withdrawn(check: &Check, address: &str) -> Error {
    let has_passed = || {
        let message = format!("what stopped the send to {address} has passed");
        Refusal::new(ErrorKind::NoTarget, message)
            .ran(Executed::No)
            .own_stop()
    };
    Error::Cancelled(check().err().unwrap_or_else(has_passed))
}

/// Restores what tells that an answer ended with its connection at the relay.
fn unwrap(mut res: Response<Incoming>) -> Response<Incoming> {
    if path_relay::take_unframed(res.headers_mut()) {
        res.headers_mut().remove(TRANSFER_ENCODING);
    }
    res
}
