//! The product's own way to pass requests on to plain services.

use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts;
use lilaccrank_http::body::{self, Body};

use crate::targets::engine_stream::{REQUEST_ID, REQUEST_KEY};
use crate::targets::protocol::{Said, Sending, TargetProtocol};

/// The product's own protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnTargets;

impl TargetProtocol for OwnTargets {
    /// The body untouched, named by the request's id and key.
    fn request(&self, sending: &Sending<'_>) -> Request<Body> {
        let proxied = sending.proxied;
        let mut req = Request::new(body::full(proxied.body.clone()));
        *req.method_mut() = proxied.method.clone();
        *req.uri_mut() = proxied.path.parse().unwrap_or_default();
        *req.headers_mut() = proxied.headers.clone();
        let headers = req.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("target"));
        let named = [
            (REQUEST_ID, Some(sending.id)),
            (REQUEST_KEY, sending.caller.facts.key.as_ref()),
        ];
        for (name, value) in named {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
        req
    }

    fn read(&self, head: &Parts, _: &Sending<'_>) -> Said {
        if head.status.is_server_error() {
            Said::Failed
        } else {
            Said::Answer
        }
    }
}
