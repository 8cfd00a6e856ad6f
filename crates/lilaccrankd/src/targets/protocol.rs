//! The port to targets to which requests are passed on: what a request looks like there, and what
//! the head of an answer says.

use std::time::Duration;

use hyper::Request;
use hyper::http::response::Parts;
use lilaccrank::document::Target;
use lilaccrank::ids::RequestId;
use lilaccrank_http::body::Body;

use crate::callers::caller_request::CallerRequest;
use crate::targets::proxied_request::ProxiedRequest;

/// What targets speak.
pub trait TargetProtocol {
    /// The request as a target gets it.
    fn request(&self, outgoing: &OutgoingRequest<'_>) -> Request<Body>;

    /// What the head of an answer says.
    fn classify(&self, head: &Parts, outgoing: &OutgoingRequest<'_>) -> AnswerKind;

    /// The rate limit that the head of an answer advertises.
    fn rate_limit(&self, _head: &Parts) -> RateLimit {
        RateLimit::Unknown
    }
}

/// One request on its way to one target.
#[derive(Clone, Copy)]
pub struct OutgoingRequest<'a> {
    /// The last event that the caller has, if the target is to go on after it.
    pub after: Option<&'a str>,
    /// The request as its caller sent it.
    pub caller: &'a CallerRequest,
    /// The daemon's own name for the request.
    pub id: &'a RequestId,
    /// Time left until the answer is worthless.
    pub remaining: Option<Duration>,
    /// What is passed on.
    pub proxied: &'a ProxiedRequest,
    /// Where it is sent.
    pub target: &'a Target,
}

/// Rate limit of a target over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimit {
    /// Requests per second.
    PerSecond(f64),
    /// The answer says nothing of it.
    Unknown,
    /// No limit.
    Unlimited,
}

/// What a target's answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// It answers the request, whatever its status.
    Answer,
    /// It ran the request and failed.
    Failed,
    /// It did not run the request, and won't.
    NotRun,
    /// It answers another request, or is no answer at all.
    Mismatched,
}
