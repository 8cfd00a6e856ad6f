//! Relays requests of daemons that can't reach a target.
//!
//! The daemon that took the request from its caller goes on owning it: it has decided customer, rule
//! and target, and counts quotas, attempts and load. The relay checks that the target may get requests
//! of this daemon, sends the request once over an own connection, and never hands it on.

use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use lilaccrank::clock;
use lilaccrank::document::Target;
use lilaccrank::ids::{PoolId, Tier, VmId};
use lilaccrank::software_version::VersionDigest;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::{self, Conditions, Connection, IsWanted, Limits};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::runtime;

use crate::callers::end_to_end;
use crate::callers::entry;
use crate::daemon::Daemon;
use crate::pools::server;
use crate::request::admission::InProgress;
use crate::request::answer_buffer::{AnswerBuffer, End};
use crate::request::cancellation::Cancellation;
use crate::targets::paths::{self, ActiveSend};
use crate::targets::protocol;
use crate::targets::relay;
use crate::targets::sendable;

/// Result of relaying a request.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// Start time of the target.
const BORN: HeaderName = HeaderName::from_static("lilaccrank-relay-born");
/// Why there is no answer of the target.
const FAILURE: HeaderName = HeaderName::from_static("lilaccrank-relay-failure");
/// VM of the daemon that owns the request.
const FROM: HeaderName = HeaderName::from_static("lilaccrank-relay-from");
/// Id of the request in logs.
const LOG_ID: HeaderName = HeaderName::from_static("lilaccrank-relay-log-id");
/// Milliseconds until the request is due.
const LEFT_MS: HeaderName = HeaderName::from_static("lilaccrank-relay-left-ms");
/// Pool of the target, in hex.
const POOL: HeaderName = HeaderName::from_static("lilaccrank-relay-pool");
/// Id of the target, in hex.
const TARGET: HeaderName = HeaderName::from_static("lilaccrank-relay-target");
/// Tier of the request.
const TIER: HeaderName = HeaderName::from_static("lilaccrank-relay-tier");
/// Digest of the software version that the target must have, if the sender knows it.
const VERSION: HeaderName = HeaderName::from_static("lilaccrank-relay-version");
/// Set if the answer has no length and ends with its connection.
const UNFRAMED: HeaderName = HeaderName::from_static("lilaccrank-relay-unframed");
/// Marks an answer that the relay has found to be the one to the request.
const ATTRIBUTED: HeaderName = HeaderName::from_static("lilaccrank-relay-attributed");
/// Headers that are for the relay.
const OWN: [HeaderName; 8] = [BORN, FROM, LOG_ID, LEFT_MS, POOL, TARGET, TIER, VERSION];
/// Longest time until a request is due; timers can't count to any number.
const MAX_LEFT: Duration = Duration::from_secs(24 * 60 * 60);
/// One in this many of the requests that a daemon may have in progress may be relayed ones, so that
/// they don't crowd out its own.
const SHARE_DIVISOR: usize = 2;

/// Why a relayed request has no answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Failure {
    /// The connection to the target ended before the head of the answer.
    #[display("the target closed the connection")]
    Lost,
    /// The answer on the connection to the target belongs to another request.
    #[display("the target sent the answer to another request")]
    Mismatched,
    /// No head of an answer arrived in time.
    #[display("the target did not answer in time")]
    Silent,
    /// Nothing was sent to the target.
    #[display("nothing was sent")]
    Unsent,
}

impl Failure {
    fn name(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Mismatched => "mismatched",
            Self::Silent => "silent",
            Self::Unsent => "unsent",
        }
    }

    fn response(self) -> Response<Body> {
        let mut res = Response::new(body::empty());
        *res.status_mut() = StatusCode::BAD_GATEWAY;
        let name = HeaderValue::from_static(self.name());
        res.headers_mut().insert(FAILURE, name);
        res
    }
}

/// Where a relayed request goes to.
#[derive(Clone, Copy, Debug)]
pub struct Envelope<'a> {
    /// VM of the daemon that owns the request.
    pub from: &'a VmId,
    /// Time until the request is due.
    pub left: Option<Duration>,
    /// Id of the request in logs.
    pub log_id: &'a str,
    /// Pool of the target.
    pub pool: &'a PoolId,
    /// The target.
    pub target: &'a TargetInstance,
    /// Tier of the request.
    pub tier: Tier,
    /// Version of its software by the sender's list; `None` if unknown.
    pub version: Option<VersionDigest>,
}

impl Envelope<'_> {
    /// Adds the headers for the relay to a request for the target.
    #[must_use]
    pub fn wrap(&self, mut req: Request<Body>) -> Request<Body> {
        let headers = req.headers_mut();
        for name in OWN {
            headers.remove(name);
        }
        let left = self.left.map(|left| left.as_millis().to_string());
        let texts = [
            (BORN, Some(self.target.started_ms.to_string())),
            (FROM, Some(self.from.clone())),
            (LOG_ID, Some(self.log_id.to_owned())),
            (LEFT_MS, left),
            (POOL, Some(hex::encode(self.pool))),
            (TARGET, Some(hex::encode(&self.target.id))),
            (TIER, Some(self.tier.to_string())),
            (VERSION, self.version.map(|version| version.to_string())),
        ];
        for (name, text) in texts {
            if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
                headers.insert(name, value);
            }
        }
        req
    }
}

/// Reads why the relay has no answer; `None` if the response is the target's.
#[must_use]
pub fn failure(res: &Response<Incoming>) -> Option<Failure> {
    let name = res.headers().get(FAILURE)?;
    let failures = [
        Failure::Lost,
        Failure::Mismatched,
        Failure::Silent,
        Failure::Unsent,
    ];
    let known = failures.into_iter().find(|failure| name == failure.name());
    // Of a reason that is not known, the target may have run the request.
    Some(known.unwrap_or(Failure::Silent))
}

/// Removes the mark of an answer that ended with its connection. Returns `true` if it was there.
pub fn take_unframed(headers: &mut HeaderMap) -> bool {
    headers.remove(UNFRAMED).is_some()
}

/// Removes the mark of an answer that the relay has found to be the one to the request. Returns `true` if it was there;
/// an earlier release sets none.
pub fn take_attributed(headers: &mut HeaderMap) -> bool {
    headers.remove(ATTRIBUTED).is_some()
}

/// A relayed request, as read from its headers.
struct Relayed {
    deadline: Option<Instant>,
    from: String,
    log_id: String,
    pool: PoolId,
    target: TargetInstance,
    tier: Tier,
    version: Option<String>,
}

impl Relayed {
    /// Reads and removes the headers for the relay.
    fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut text = |name: HeaderName| {
            let value = headers.remove(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let decoded = |hex: String| String::from_utf8(hex::decode(hex).ok()?).ok();
        let left = text(LEFT_MS).and_then(|ms| ms.parse().ok());
        let left = left.map(|ms| Duration::from_millis(ms).min(MAX_LEFT));
        Some(Self {
            deadline: left.map(|left| Instant::now() + left),
            from: text(FROM)?,
            log_id: text(LOG_ID)?,
            pool: decoded(text(POOL)?)?,
            target: TargetInstance {
                started_ms: text(BORN)?.parse().ok()?,
                id: decoded(text(TARGET)?)?,
            },
            // A daemon of an earlier version names none.
            tier: text(TIER)
                .and_then(|tier| tier.parse().ok())
                .unwrap_or(Tier::MAX),
            version: text(VERSION),
        })
    }
}

/// Relays one request. Dropping the future cancels it at the target.
pub async fn handle(
    daemon: Rc<Daemon>,
    mut req: Request<Incoming>,
    client: ClientConnection,
) -> Response<Body> {
    let Some(relayed) = Relayed::take(req.headers_mut()) else {
        log::warn!("a request to the relay does not name its target");
        return Failure::Unsent.response();
    };
    let answered = relay(&daemon, &relayed, req, client).await;
    log::info!(
        failure = answered.as_ref().err().map_or("", |failure| failure.name()),
        from = relayed.from,
        request = relayed.log_id,
        target = relayed.target.id;
        "relays a request of another daemon"
    );
    answered.unwrap_or_else(Failure::response)
}

async fn relay(
    daemon: &Rc<Daemon>,
    relayed: &Relayed,
    req: Request<Incoming>,
    client: ClientConnection,
) -> Result<Response<Body>> {
    let in_progress = admit(daemon)?;
    let (mut head, incoming) = req.into_parts();
    head.headers.remove(CONTENT_LENGTH);
    head.headers.remove(TRANSFER_ENCODING);
    let limit = daemon.cfg.body_limit;
    let reading = client.begin_body();
    let body = entry::read_request_body(daemon, incoming, limit, &in_progress).await;
    drop(reading);
    let body = body.map_err(|_| Failure::Unsent)?;
    daemon.check_accepting().map_err(|_| Failure::Unsent)?;
    let buffer = Rc::new(AnswerBuffer::new(&daemon.answer_memory));
    let reader = buffer.reader(client);
    let cancellation = Cancellation::new(daemon, &buffer, relayed.deadline, Duration::ZERO);
    let cancellation = Rc::new(cancellation);
    let usable = sendable::until_usable(daemon, &relayed.pool, &relayed.target);
    let usable = cancellation.run(usable).await.flatten();
    let target = usable.and_then(|target| cancellation.check().map(|()| target));
    let target = target.map_err(|refusal| {
        log::info!(request = relayed.log_id, why = refusal.message; "not relayed");
        Failure::Unsent
    })?;
    let version = VersionDigest::of(&target).map(|version| version.to_string());
    if relayed.version.is_some() && relayed.version != version {
        let why = "the lists of both daemons name other software versions of the target";
        log::info!(request = relayed.log_id, why = why; "not relayed");
        return Err(Failure::Unsent);
    }
    let req = Request::from_parts(head, body::full(body));
    let active = ActiveSend::new(daemon, &relayed.target);
    let targets = &daemon.ports.targets;
    let conditions = Conditions {
        is_wanted: is_wanted(daemon, relayed, &cancellation),
        request: protocol::request_digest(&**targets, req.headers()),
    };
    let sent = req.headers().clone();
    let sending = cancellation.run(send(daemon, relayed, &target, req, &conditions));
    let (res, connection) = sending.await.map_err(|_| Failure::Silent)??;
    active.record_heard();
    if !protocol::is_final(res.status()) {
        log::info!(request = relayed.log_id, status = res.status().as_u16(); "the target sent no final answer");
        return Err(Failure::Lost);
    }
    let is_first = connection.last_exchange().earlier_requests == 0;
    if !targets.attribution(&sent, res.headers()).is_own(is_first) {
        return Err(Failure::Mismatched);
    }
    if let Some(pause) = targets.requested_pause(res.status(), res.headers()) {
        daemon.pauses.record(&relayed.target, pause, Instant::now());
        server::push_back(daemon, &relayed.pool, &relayed.target, pause);
    }
    let is_unframed = !res.headers().contains_key(CONTENT_LENGTH)
        && !res.headers().contains_key(TRANSFER_ENCODING);
    runtime::spawn(copy(
        Rc::clone(daemon),
        Rc::clone(&buffer),
        cancellation,
        (res, connection),
        active,
    ));
    let answered = entry::respond_verbatim(daemon, reader, Some(in_progress)).await;
    let mut res = answered.map_err(|_| Failure::Silent)?;
    let mark = HeaderValue::from_static("1");
    res.headers_mut().insert(ATTRIBUTED, mark.clone());
    if is_unframed {
        res.headers_mut().insert(UNFRAMED, mark);
    }
    Ok(res)
}

/// Check right before the request is written to the target.
fn is_wanted(daemon: &Rc<Daemon>, relayed: &Relayed, cancellation: &Rc<Cancellation>) -> IsWanted {
    let (daemon, cancellation) = (Rc::clone(daemon), Rc::clone(cancellation));
    let (pool, target) = (relayed.pool.clone(), relayed.target.clone());
    Rc::new(move || {
        cancellation.check().is_ok() && sendable::check_at_write(&daemon, &pool, &target).is_ok()
    })
}

fn admit(daemon: &Rc<Daemon>) -> Result<Rc<InProgress>> {
    let limit = daemon.cfg.request_limit / SHARE_DIVISOR;
    daemon.check_accepting().map_err(|_| Failure::Unsent)?;
    if daemon.in_progress() >= limit {
        return Err(Failure::Unsent);
    }
    let admitted = daemon.admit().map_err(|_| Failure::Unsent)?;
    Ok(Rc::new(admitted))
}

/// Sends the request on a new connection or one that has just served an answer, since it may be one
/// that can't be repeated.
async fn send(
    daemon: &Rc<Daemon>,
    relayed: &Relayed,
    target: &Target,
    req: Request<Body>,
    conditions: &Conditions,
) -> Result<(Response<Incoming>, Connection)> {
    let bounds = daemon.bounds();
    let is_down = daemon.paths.is_down(&relayed.target);
    let limits = Limits {
        connect: match is_down {
            true => Duration::ZERO,
            false => bounds.connect,
        },
        head: bounds.first,
        max_idle: clock::millis(daemon.cfg.unrepeatable_rest_ms),
    };
    daemon.link.until_free(relayed.tier, &req).await;
    let client = &daemon.client;
    let sent = client
        .send_if(&target.address, req, limits, conditions)
        .await;
    sent.map_err(|e| {
        if matches!(e, client::Error::Connect { .. }) && !is_down {
            paths::record_unconnected(daemon, &relayed.pool, target, &e);
        }
        match e {
            client::Error::Silent { .. } => Failure::Silent,
            e if e.is_unsent() => Failure::Unsent,
            _ => Failure::Lost,
        }
    })
}

/// Copies the answer until it ends, the other daemon goes away or the request is due.
async fn copy(
    daemon: Rc<Daemon>,
    buffer: Rc<AnswerBuffer>,
    cancellation: Rc<Cancellation>,
    (mut res, connection): (Response<Incoming>, Connection),
    active: ActiveSend,
) {
    let headers = res.headers_mut();
    *headers = end_to_end::headers(headers);
    // The daemon in front would take them for the relay's own.
    for name in [ATTRIBUTED, FAILURE, UNFRAMED] {
        headers.remove(name);
    }
    let on_data = || active.record_heard();
    let copying = relay::copy(
        &daemon.client,
        res,
        connection,
        daemon.bounds(),
        &buffer,
        on_data,
    );
    let ended = cancellation.run(copying).await.flatten();
    buffer.finish(ended.map_or_else(End::Failed, |()| End::Complete));
}
