//! Interface to the protocols of targets: how a request is forwarded, and what the head of an
//! answer means.

use std::time::Duration;

use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use lilaccrank::document::Target;
use lilaccrank::ids::RequestId;
use lilaccrank_http::body::Body;
use lilaccrank_http::client::RequestDigest;
use xxhash_rust::xxh3;

use crate::callers::caller_request::CallerRequest;
use crate::targets::pauses;
use crate::targets::proxied_request::ProxiedRequest;

/// Protocol of targets that requests are forwarded to.
pub trait TargetProtocol {
    /// Builds the request to a target.
    fn request(&self, outgoing: &OutgoingRequest<'_>) -> Request<Body>;

    /// Returns the id that a request or an answer has in its headers.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Tells which request an answer belongs to, by the headers of the request and of the answer.
    fn attribution(&self, sent: &HeaderMap, answer: &HeaderMap) -> Attribution {
        match self.request_id(answer) {
            None => Attribution::Unnamed,
            answered if answered == self.request_id(sent) => Attribution::Own,
            Some(_) => Attribution::Other,
        }
    }

    /// Classifies an answer to the request by its head.
    fn classify(&self, head: &Parts, outgoing: &OutgoingRequest<'_>) -> AnswerKind;

    /// Returns `true` if the head of an answer to the request, whatever its status, says that the target
    /// leaves. An answer of another target says nothing.
    fn says_leaving(&self, head: &Parts, outgoing: &OutgoingRequest<'_>) -> bool;

    /// Returns the pause that the target asks this daemon for with an answer that turns a request
    /// away.
    fn pause(&self, head: &Parts, outgoing: &OutgoingRequest<'_>) -> Option<Duration>;

    /// Returns the pause that an answer with this head asks for, whatever request it belongs to.
    fn requested_pause(&self, status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
        (status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| pauses::requested(headers))
            .flatten()
    }

    /// Returns how many requests in a second the target can turn away without falling over, if the
    /// head of its answer says so.
    fn brittleness(&self, _head: &Parts) -> Option<u32> {
        None
    }

    /// Returns the rate limit that the head of an answer advertises.
    fn rate_limit(&self, _head: &Parts) -> RateLimit {
        RateLimit::Unknown
    }
}

/// One request to one target.
#[derive(Clone, Copy)]
pub struct OutgoingRequest<'a> {
    /// Id of the last event that the caller has, if the target is to continue after it.
    pub after: Option<&'a str>,
    /// The caller's request.
    pub caller: &'a CallerRequest,
    /// The daemon's own id of the request.
    pub id: &'a RequestId,
    /// Time left until the deadline.
    pub remaining: Option<Duration>,
    /// The request to forward.
    pub proxied: &'a ProxiedRequest,
    /// The target.
    pub target: &'a Target,
}

/// Rate limit of a target, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimit {
    /// Requests per second.
    PerSecond(f64),
    /// The answer does not mention a limit.
    Unknown,
    /// No limit.
    Unlimited,
}

/// The request that an answer belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attribution {
    /// The request that it arrived for.
    Own,
    /// Another request.
    Other,
    /// The answer has no id. Only on a connection that has carried nothing else it is surely an answer to the
    /// request.
    Unnamed,
}

impl Attribution {
    /// Returns `true` if the answer is one to the request that it arrived for.
    #[must_use]
    pub fn is_own(self, is_first_on_connection: bool) -> bool {
        match self {
            Self::Own => true,
            Self::Other => false,
            Self::Unnamed => is_first_on_connection,
        }
    }
}

/// Returns `true` if a status ends an exchange of HTTP. Others are no answer: an interim one, a change of protocol
/// that no caller asked for, or a number that has no meaning.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Digest of a request's id, by which connections that have carried the request are told.
#[must_use]
pub fn request_digest(protocol: &dyn TargetProtocol, headers: &HeaderMap) -> Option<RequestDigest> {
    let id = protocol.request_id(headers)?;
    Some(xxh3::xxh3_64(id.as_bytes()))
}

/// Meaning of a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The target answers the request, whatever the status.
    Answer,
    /// The target ran the request and failed.
    Failed,
    /// Another target has the address; it did not run the request and will not.
    Misdirected,
    /// The target did not run the request and will not.
    NotRun,
    /// The answer is not a valid answer to the request.
    Mismatched,
}
