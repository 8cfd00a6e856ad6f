//! The events of one request on an engine, over as many connections as it takes.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::RequestId;
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::{self, Client, Connection, Limits};

use crate::callers::refusal::{Refusal, Result};
use crate::targets::call::{self, CONNECT_TIMEOUT};

/// Name of the header that carries the request's id to targets.
pub const REQUEST_ID: &str = "request-id";
/// Name of the header that carries the caller's key to targets.
pub const REQUEST_KEY: &str = "request-key";

/// Time for an engine to answer a resume or a cancel.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);
/// Tries to take up a stream again; more would keep a caller waiting on a dead engine.
const MAX_RESUMES: u32 = 2;

type Events = Pin<Box<dyn Stream<Item = std::result::Result<Event, String>>>>;

/// Why a stream has to be taken up again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// It ended or broke before its last event.
    Closed,
    /// Nothing came.
    Silent,
}

/// How long an engine may be silent.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimeouts {
    /// Until the first event.
    pub first: Duration,
    /// Between events.
    pub next: Duration,
}

/// One request on an engine.
pub struct EngineStream {
    address: String,
    client: Client,
    connection: Option<Connection>,
    events: Option<Events>,
    id: RequestId,
    timeouts: SilenceTimeouts,
    received: u64,
    resumes: u32,
}

impl EngineStream {
    /// A stream that has sent nothing yet.
    #[must_use]
    pub fn new(client: Client, address: String, id: RequestId, timeouts: SilenceTimeouts) -> Self {
        Self {
            address,
            client,
            connection: None,
            events: None,
            id,
            timeouts,
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
        let mut req = self.request(Method::POST, path, body::full(body));
        let headers = req.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(key) = key.and_then(|key| HeaderValue::from_str(key).ok()) {
            headers.insert(REQUEST_KEY, key);
        }
        match self.open(req, self.timeouts.first).await {
            Err(refusal) if refusal.kind == ErrorKind::TargetSilent => {
                self.resume(Cause::Silent).await
            }
            other => other,
        }
    }

    /// The next event; `None` if the engine closed the stream.
    ///
    /// # Errors
    ///
    /// If the engine stays silent or the stream breaks and can't be taken up again.
    pub async fn next(&mut self) -> Result<Option<String>> {
        loop {
            let timeout = if self.received == 0 {
                self.timeouts.first
            } else {
                self.timeouts.next
            };
            let Some(events) = self.events.as_mut() else {
                return Ok(None);
            };
            match monoio::time::timeout(timeout, events.next()).await {
                Ok(Some(Ok(event))) => {
                    self.received += 1;
                    return Ok(Some(event.data));
                }
                Ok(Some(Err(_)) | None) => self.resume(Cause::Closed).await?,
                Err(_) => self.resume(Cause::Silent).await?,
            }
        }
    }

    /// Ends a whole stream: its connection can serve another request.
    pub fn finish(mut self) {
        self.events = None;
        if let Some(connection) = self.connection.take() {
            self.client.release(connection);
        }
    }

    /// Tells the engine to stop. Closing the connection alone would not do: the engine keeps
    /// a stream for a while so that it can be resumed.
    pub async fn cancel(mut self) {
        self.events = None;
        self.connection = None;
        let req = self.request(Method::DELETE, &self.stream_path(), body::empty());
        let limits = Limits {
            connect: CONNECT_TIMEOUT,
            rest: client::PROVED_FOR,
            head: RESUME_TIMEOUT,
        };
        if let Ok((_, connection)) = self.client.send(&self.address, req, limits).await {
            drop(connection);
        }
    }

    fn stream_path(&self) -> String {
        format!("/v1/streams/{}", self.id)
    }

    fn request(&self, method: Method, path: &str, body: Body) -> Request<Body> {
        let mut req = Request::new(body);
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().unwrap_or_default();
        let headers = req.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("target"));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert(REQUEST_ID, id);
        }
        req
    }

    async fn open(&mut self, req: Request<Body>, head: Duration) -> Result<()> {
        let (res, connection) = call::send(&self.client, &self.address, req, head).await?;
        if res.status() != StatusCode::OK {
            let message = format!("the target answered with status {}", res.status());
            return Err(Refusal::new(ErrorKind::TargetFailed, message));
        }
        let stream = BodyDataStream::new(res.into_body());
        let events = stream
            .eventsource()
            .map(|event| event.map_err(|e| e.to_string()));
        self.events = Some(Box::pin(events));
        self.connection = Some(connection);
        Ok(())
    }

    /// Takes the stream up where it broke, on a new connection.
    ///
    /// Something between the ends may drop an open connection without closing it; events then
    /// stop although the engine works on. Asking the same engine for the same stream runs
    /// nothing again, so this is safe for every request.
    async fn resume(&mut self, cause: Cause) -> Result<()> {
        self.events = None;
        self.connection = None;
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let path = format!("{}?from={}", self.stream_path(), self.received);
            let req = self.request(Method::GET, &path, body::empty());
            if self.open(req, RESUME_TIMEOUT).await.is_ok() {
                return Ok(());
            }
        }
        // Once it has begun to answer, the caller has to hear of a broken answer, whether the
        // target then died or hung.
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
