//! Refusals: the error that a caller gets when its request ends without an answer.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::{self, Body};
use serde::Serialize;
use thiserror::Error;

/// Result of a step of a request.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Header that marks a refusal by a daemon.
///
/// A plain service may answer with an error that looks like a refusal. If such an answer were taken
/// for a refusal of a request that did not run, the key would be released and the request would be
/// sent a second time, to the next data centre. This header is removed from answers of targets, so
/// that only a daemon can set it.
pub const REFUSAL: HeaderName = HeaderName::from_static("lilaccrank-refusal");

/// `retry_after` of a refusal without a better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request ends without an answer, whether it ran, and when to retry.
#[derive(Clone, Debug, Error)]
#[error("{kind}: {message}")]
pub struct Refusal {
    /// Whether the connection to the target ended before its answer did.
    pub connection_lost: bool,
    /// Whether the target may still take the request, since this daemon stopped the send for a reason of
    /// its own.
    pub is_own_stop: bool,
    /// Kind of the error.
    pub kind: ErrorKind,
    /// What went wrong and, where possible, what the caller can do about it.
    pub message: String,
    /// Whether a target may have run the request.
    pub ran: Executed,
    /// Time after which the caller may retry; `None` if no retry is advised.
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
    /// Creates a refusal with the defaults of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let answer = kind.response();
        Self {
            connection_lost: false,
            is_own_stop: false,
            kind,
            message: message.into(),
            ran: answer.executed,
            retry_after: answer.retryable.then_some(DEFAULT_RETRY_AFTER),
        }
    }

    /// Marks the connection to the target as lost before its answer ended.
    #[must_use]
    pub fn connection_lost(mut self) -> Self {
        self.connection_lost = true;
        self
    }

    /// Marks the send as stopped by this daemon for a reason of its own.
    #[must_use]
    pub fn own_stop(mut self) -> Self {
        self.is_own_stop = true;
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Overrides whether the request may have run, where the code that failed knows it.
    #[must_use]
    pub fn ran(mut self, ran: Executed) -> Self {
        self.ran = ran;
        self
    }

    /// Returns the JSON body for callers.
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

    /// Builds the HTTP response.
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
            // Rounded up to whole seconds, since a request that is repeated earlier would be
            // refused again.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
        }
        res
    }
}
