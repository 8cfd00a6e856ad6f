//! Native protocol for callers: bearer keys, JSON bodies in the format that clients of model
//! engines use, and refusals as JSON.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response};
use lilaccrank::error_kind::Executed;
use lilaccrank_http::body::Body;

use crate::callers::auth;
use crate::callers::caller_request::{self, CallerRequest};
use crate::callers::protocol::{CallerProtocol, ReadContext};
use crate::callers::refusal::{Refusal, Result};

/// Path of the list of models.
const MODELS: &str = "/v1/models";

/// The native protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeProtocol;

impl CallerProtocol for NativeProtocol {
    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Result<Option<&'a str>> {
        let value = headers.get(AUTHORIZATION);
        value.map(auth::bearer_key).transpose()
    }

    fn log_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(caller_request::IDEMPOTENCY_KEY)?.to_str().ok()
    }

    fn asks_for_models(&self, req: &Request<Incoming>) -> bool {
        req.method() == Method::GET && req.uri().path() == MODELS
    }

    fn read(&self, head: Parts, body: Bytes, cx: ReadContext<'_>) -> Result<CallerRequest> {
        CallerRequest::read(head, body, cx)
    }

    /// Returns an `error` event, which tells callers that read events why the answer broke off.
    fn error_chunk(&self, refusal: &Refusal) -> Option<Bytes> {
        let json = refusal.clone().ran(Executed::Maybe).json();
        Some(format!("event: error\ndata: {json}\n\n").into())
    }

    fn refusal_response(&self, refusal: &Refusal) -> Response<Body> {
        refusal.response()
    }
}
