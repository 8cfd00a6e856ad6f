//! A caller's request to a plain service.

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, EXPECT, HOST, HeaderName};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};

use crate::callers::caller_request::IDEMPOTENCY_KEY;
use crate::callers::end_to_end;
use crate::targets::engine_stream::{REQUEST_ID, REQUEST_KEY};

/// Name prefix of headers that are for daemons.
const DAEMON_HEADER_PREFIX: &str = "lilaccrank-";
/// Headers that are for daemons, or that only a daemon may set. A service that received the
/// caller's bearer key could send requests as that caller.
const STRIPPED_HEADERS: [HeaderName; 6] = [
    AUTHORIZATION,
    EXPECT,
    HOST,
    IDEMPOTENCY_KEY,
    HeaderName::from_static(REQUEST_ID),
    HeaderName::from_static(REQUEST_KEY),
];

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct ProxiedRequest {
    /// Body, unmodified.
    pub body: Bytes,
    /// Headers for the target.
    pub headers: HeaderMap,
    /// Method, unmodified.
    pub method: Method,
    /// Path and query, unmodified.
    pub path: String,
}

impl ProxiedRequest {
    /// Builds the request from the caller's head and body.
    #[must_use]
    pub fn new(head: &Parts, body: &Bytes) -> Self {
        let path = head.uri.path_and_query();
        Self {
            body: body.clone(),
            headers: headers(&head.headers),
            method: head.method.clone(),
            path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
        }
    }
}

/// Returns all headers except those of the connection and those for daemons. Without a precondition
/// or the encoding of the body, the service would behave differently.
fn headers(all: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end::headers(all);
    for name in STRIPPED_HEADERS {
        kept.remove(name);
    }
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(DAEMON_HEADER_PREFIX);
    let internal: Vec<_> = kept.keys().filter(is_internal).cloned().collect();
    for name in internal {
        kept.remove(name);
    }
    kept
}
