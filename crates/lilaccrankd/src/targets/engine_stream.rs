//! The event stream of one request on an engine, resumed on new connections if necessary.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::RequestId;
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::{self, Client, Connection, Limits};
use lilaccrank_http::timeout;

use crate::callers::refusal::{Refusal, Result};
use crate::targets::call::CONNECT_TIMEOUT;
use crate::targets::native_protocol;
use crate::targets::transport::Transport;

/// Name of the header that carries the request's id to targets.
pub const REQUEST_ID: &str = "request-id";
/// Name of the header that carries the caller's key to targets.
pub const REQUEST_KEY: &str = "request-key";

/// Time for an engine to answer a resume or a cancel.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of resumes. More would keep a caller waiting on a dead engine.
const MAX_RESUMES: u32 = 2;

type Events = Pin<Box<dyn Stream<Item = std::result::Result<Event, String>>>>;

/// Why a stream has to be resumed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// The stream ended or broke before its last event.
    Closed,
    /// No event arrived in time.
    Silent,
}

/// How long an engine may be silent.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimeouts {
    /// Timeout of the first event.
    pub first: Duration,
    /// Timeout between events.
    pub next: Duration,
}

/// What an engine has said of itself in the heads of its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notices {
    /// Set if it leaves.
    pub leaving: bool,
    /// Pause that it asked for when it turned a request away.
    pub pause: Option<Duration>,
}

/// Event stream of one request on an engine.
pub struct EngineStream {
    client: Client,
    connection: Option<Connection>,
    events: Option<Events>,
    id: RequestId,
    notices: Notices,
    timeouts: SilenceTimeouts,
    transport: Transport,
    received: u64,
    resumes: u32,
}

impl EngineStream {
    /// Creates a stream that has sent nothing yet.
    #[must_use]
    pub fn new(
        client: Client,
        transport: Transport,
        id: RequestId,
        timeouts: SilenceTimeouts,
    ) -> Self {
        Self {
            client,
            connection: None,
            events: None,
            id,
            notices: Notices::default(),
            timeouts,
            transport,
            received: 0,
            resumes: 0,
        }
    }

    /// Sends the request, once.
    ///
    /// # Errors
    ///
    /// [`Executed::No`](lilaccrank::error_kind::Executed::No) only if no connection could be made.
    pub async fn send(&mut self, path: &str, key: Option<&str>, body: Bytes) -> Result<()> {
        let id = self.id.clone();
        let build = || {
            let mut req = request(&id, Method::POST, path, body::full(body.clone()));
            let headers = req.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            if let Some(key) = key.and_then(|key| HeaderValue::from_str(key).ok()) {
                headers.insert(REQUEST_KEY, key);
            }
            req
        };
        match self.open(build, self.timeouts.first).await {
            Err(refusal) if refusal.kind == ErrorKind::TargetSilent => {
                self.resume(Cause::Silent).await
            }
            other => other,
        }
    }

    /// Takes what the engine has said of itself since the last call.
    pub fn take_notices(&mut self) -> Notices {
        std::mem::take(&mut self.notices)
    }

    /// Returns the next event; `None` if the engine closed the stream.
    ///
    /// # Errors
    ///
    /// If the engine stays silent, or if the stream breaks and can't be resumed.
    pub async fn next(&mut self) -> Result<Option<String>> {
        loop {
            let limit = if self.received == 0 {
                self.timeouts.first
            } else {
                self.timeouts.next
            };
            let Some(events) = self.events.as_mut() else {
                return Ok(None);
            };
            match timeout::timeout(limit, events.next()).await {
                Ok(Some(Ok(event))) => {
                    self.transport.record_heard();
                    if let Some(connection) = &self.connection {
                        connection.meter().record_progress();
                    }
                    self.received += 1;
                    return Ok(Some(event.data));
                }
                Ok(Some(Err(_)) | None) => self.resume(Cause::Closed).await?,
                Err(_) => self.resume(Cause::Silent).await?,
            }
        }
    }

    /// Ends a complete stream and releases its connection for other requests.
    pub fn finish(mut self) {
        self.events = None;
        if let Some(connection) = self.connection.take() {
            connection.meter().stop();
            self.client.release(connection);
        }
    }

    /// Cancels the request at the engine. Closing the connection would not suffice: the engine
    /// keeps a stream for a while so that it can be resumed. Returns what the engine says of itself.
    pub async fn cancel(mut self) -> Notices {
        self.events = None;
        self.connection = None;
        let path = self.stream_path();
        let build = || request(&self.id, Method::DELETE, &path, body::empty());
        let limits = Limits {
            connect: CONNECT_TIMEOUT,
            max_idle: client::MAX_IDLE,
            head: RESUME_TIMEOUT,
        };
        if let Ok((res, _)) = self.transport.send_cancel(build, limits).await {
            self.note(&res);
        }
        self.notices
    }

    fn note(&mut self, res: &Response<Incoming>) {
        self.notices.leaving |= native_protocol::says_leaving(res.headers());
        let pause = native_protocol::pause(res.status(), res.headers());
        self.notices.pause = self.notices.pause.max(pause);
    }

    fn stream_path(&self) -> String {
        format!("/v1/streams/{}", self.id)
    }

    async fn open(&mut self, build: impl Fn() -> Request<Body>, head: Duration) -> Result<()> {
        let limits = Limits {
            connect: CONNECT_TIMEOUT,
            max_idle: Duration::ZERO,
            head,
        };
        let sent = self.transport.send(build, limits).await;
        let (res, connection) = sent.map_err(|e| e.refusal())?;
        self.note(&res);
        if res.status() != StatusCode::OK {
            let message = format!("the target answered with status {}", res.status());
            return Err(Refusal::new(ErrorKind::TargetFailed, message));
        }
        // An event without end would be held for as long as it goes on.
        connection.meter().start();
        let stream = BodyDataStream::new(res.into_body());
        let events = stream
            .eventsource()
            .map(|event| event.map_err(|e| e.to_string()));
        self.events = Some(Box::pin(events));
        self.connection = Some(connection);
        Ok(())
    }

    /// Resumes the stream on a new connection, after the last event received.
    ///
    /// A device on the network path may drop an open connection without closing it; events then
    /// stop although the engine continues. Requesting the same stream from the same engine does not
    /// run anything again, so this is safe for every request.
    ///
    /// A connection that is only silent is kept until the new one has answered: it may be slow.
    async fn resume(&mut self, cause: Cause) -> Result<()> {
        let may_be_slow = cause == Cause::Silent && self.resumes < MAX_RESUMES;
        let before = (self.events.take(), self.connection.take());
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let path = format!("{}?from={}", self.stream_path(), self.received);
            let id = self.id.clone();
            let build = || request(&id, Method::GET, &path, body::empty());
            if self.open(build, RESUME_TIMEOUT).await.is_ok() {
                return Ok(());
            }
        }
        if may_be_slow && before.0.is_some() {
            (self.events, self.connection) = before;
            return Ok(());
        }
        // Once the answer has begun, the caller gets a broken answer, no matter whether the target
        // died or hung.
        if cause == Cause::Closed || self.received > 0 {
            let message = "the target stopped in its answer, which could not be resumed";
            let refusal = Refusal::new(ErrorKind::BrokenAnswer, message);
            return Err(match cause {
                Cause::Closed => refusal.connection_lost(),
                Cause::Silent => refusal,
            });
        }
        Err(Refusal::new(
            ErrorKind::TargetSilent,
            "the target went silent and its stream could not be resumed",
        ))
    }
}

fn request(id: &RequestId, method: Method, path: &str, body: Body) -> Request<Body> {
    let mut req = Request::new(body);
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().unwrap_or_default();
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("target"));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    req
}
