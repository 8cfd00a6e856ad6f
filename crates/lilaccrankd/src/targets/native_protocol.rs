//! The native protocol for forwarding requests to plain services.

use std::time::Duration;

use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use lilaccrank_http::body::{self, Body};

use crate::targets::engine_stream::{REQUEST_ID, REQUEST_KEY};
use crate::targets::pauses;
use crate::targets::protocol::{AnswerKind, Attribution, OutgoingRequest, TargetProtocol};

/// Header of all answers of a target that is about to end, with the value 1.
const LEAVING: HeaderName = HeaderName::from_static("leaving");

/// Returns `true` if the headers of an engine's or a service's answer say that it leaves.
#[must_use]
pub fn says_leaving(headers: &HeaderMap) -> bool {
    headers.get(LEAVING).is_some_and(|value| value == "1")
}

/// Returns the pause that an engine or a service asks for.
#[must_use]
pub fn pause(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    (status == StatusCode::SERVICE_UNAVAILABLE)
        .then(|| pauses::requested(headers))
        .flatten()
}

/// The native (non-platform) protocol of targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeTargetProtocol;

impl TargetProtocol for NativeTargetProtocol {
    /// Keeps the body unmodified and adds headers with the request's id and key.
    fn request(&self, outgoing: &OutgoingRequest<'_>) -> Request<Body> {
        let proxied = outgoing.proxied;
        let mut req = Request::new(body::full(proxied.body.clone()));
        *req.method_mut() = proxied.method.clone();
        *req.uri_mut() = proxied.path.parse().unwrap_or_default();
        *req.headers_mut() = proxied.headers.clone();
        let headers = req.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("target"));
        let id_headers = [
            (REQUEST_ID, Some(outgoing.id)),
            (REQUEST_KEY, outgoing.caller.facts.key.as_ref()),
        ];
        for (name, value) in id_headers {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
        req
    }

    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(REQUEST_ID)?.to_str().ok()
    }

    /// Native answers have no id.
    fn attribution(&self, _: &HeaderMap, _: &HeaderMap) -> Attribution {
        Attribution::Own
    }

    fn says_leaving(&self, head: &Parts, _: &OutgoingRequest<'_>) -> bool {
        says_leaving(&head.headers)
    }

    fn pause(&self, head: &Parts, _: &OutgoingRequest<'_>) -> Option<Duration> {
        pause(head.status, &head.headers)
    }

    fn classify(&self, head: &Parts, _: &OutgoingRequest<'_>) -> AnswerKind {
        if head.status.is_server_error() {
            AnswerKind::Failed
        } else {
            AnswerKind::Answer
        }
    }
}
