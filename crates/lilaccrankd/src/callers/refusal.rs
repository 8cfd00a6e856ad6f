//! A request's end without its answer, as its caller sees it.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::{self, Body};
use serde::Serialize;
use thiserror::Error;

/// Result of a step of a request.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Marks a daemon's own refusal.
///
/// A plain service may answer with an error that reads like one. Taken for a refusal as not run,
/// it would free the key and send the request to the next data centre, a second time. Answers of
/// targets lose this header, so that what carries it was said by a daemon.
pub const REFUSAL: HeaderName = HeaderName::from_static("lilaccrank-refusal");

/// When to come back if nothing better is known.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Why a request ends, whether it ran, and when to come back.
#[derive(Clone, Debug, Error)]
#[error("{kind}: {message}")]
pub struct Refusal {
    /// Whether the target's connection ended before its answer did.
    pub connection_lost: bool,
    /// The reason.
    pub kind: ErrorKind,
    /// What the caller can do about it.
    pub message: String,
    /// Whether a target may have run it.
    pub ran: Executed,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Details<'a>,
}

#[derive(Serialize)]
struct Details<'a> {
    kind: ErrorKind,
    message: &'a str,
    ran: Executed,
}

impl Refusal {
    /// A refusal with what the table says for its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let answer = kind.response();
        Self {
            connection_lost: false,
            kind,
            message: message.into(),
            ran: answer.executed,
            retry_after: answer.retryable.then_some(DEFAULT_RETRY),
        }
    }

    /// The same where the target's connection ended before its answer did.
    #[must_use]
    pub fn connection_lost(mut self) -> Self {
        self.connection_lost = true;
        self
    }

    /// The same with another time to come back.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The same where the place of failure knows whether it ran.
    #[must_use]
    pub fn ran(mut self, ran: Executed) -> Self {
        self.ran = ran;
        self
    }

    /// The JSON that callers read.
    #[must_use]
    pub fn json(&self) -> String {
        let envelope = Envelope {
            error: Details {
                kind: self.kind,
                message: &self.message,
                ran: self.ran,
            },
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// The whole HTTP answer.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let mut res = Response::new(body::full(self.json()));
        *res.status_mut() = StatusCode::from_u16(self.kind.response().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = res.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(kind) = HeaderValue::from_str(&self.kind.to_string()) {
            headers.insert(REFUSAL, kind);
        }
        if let Some(after) = self.retry_after {
            // Whole seconds, rounded up: coming back early would only be refused again.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
        }
        res
    }
}
