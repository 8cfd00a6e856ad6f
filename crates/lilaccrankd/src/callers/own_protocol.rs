//! The product's own protocol for callers: bearer keys, JSON bodies in the shape that clients of
//! model engines use, and refusals as JSON.

use bytes::Bytes;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Response};
use lilaccrank::error_kind::Executed;
use lilaccrank_http::body::Body;

use crate::callers::auth;
use crate::callers::caller_request::{self, CallerRequest};
use crate::callers::protocol::{CallerProtocol, Reading};
use crate::callers::refusal::{Refusal, Result};

/// The product's own protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnProtocol;

impl CallerProtocol for OwnProtocol {
    fn key<'a>(&self, headers: &'a HeaderMap) -> Result<Option<&'a str>> {
        let value = headers.get(AUTHORIZATION);
        value.map(auth::bearer_key).transpose()
    }

    fn name<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(caller_request::KEY)?.to_str().ok()
    }

    fn read(&self, head: Parts, body: Bytes, cx: Reading<'_>) -> Result<CallerRequest> {
        CallerRequest::read(head, body, cx)
    }

    /// An event tells why to those that read events.
    fn break_off(&self, refusal: &Refusal) -> Option<Bytes> {
        let json = refusal.clone().ran(Executed::Maybe).json();
        Some(format!("event: error\ndata: {json}\n\n").into())
    }

    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        refusal.response()
    }
}
