//! Errors of operators' requests and their HTTP responses.

use derive_more::From;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use lilaccrank::operators::Failure;
use lilaccrank::operators::failure::Envelope;
use lilaccrank_http::body::{self, Body};

use crate::callers::refusal::Refusal;

/// Result of an operator's request.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an operator's request failed.
#[derive(Debug, From)]
pub enum Error {
    /// The requested operation failed.
    Failure(Failure),
    /// The request was refused before it was executed.
    Refusal(Refusal),
}

impl Error {
    /// Converts the error to an HTTP response.
    #[must_use]
    pub fn response(self) -> Response<Body> {
        let failure = match self {
            Self::Failure(failure) => failure,
            Self::Refusal(refusal) => return refusal.response(),
        };
        let status = StatusCode::from_u16(failure.status());
        let json = serde_json::to_string(&Envelope { error: failure });
        let mut res = Response::new(body::full(json.unwrap_or_default()));
        *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        res.headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        res
    }
}
