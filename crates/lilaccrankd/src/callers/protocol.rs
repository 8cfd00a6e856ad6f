//! Interface for protocols that callers use: how a request identifies its caller, how it is parsed,
//! and how a refusal is answered.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};
use lilaccrank::document::{Customer, Document};
use lilaccrank::ids::DataCentre;
use lilaccrank_http::body::Body;

use crate::callers::caller_request::CallerRequest;
use crate::callers::refusal::{Refusal, Result};

/// Protocol that callers use.
pub trait CallerProtocol {
    /// Returns the API key in the headers, `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unauthorized`](lilaccrank::error_kind::ErrorKind::Unauthorized) if the key
    /// can't be read.
    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Result<Option<&'a str>>;

    /// Returns the caller's own id for the request, by which it can be found in the logs.
    fn log_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns `true` if a request asks for the list of models, which the daemon answers itself.
    fn asks_for_models(&self, _: &Request<Incoming>) -> bool {
        false
    }

    /// Parses a request whose body has arrived completely.
    ///
    /// # Errors
    ///
    /// A refusal that says what to change, if the request can't be parsed.
    fn read(&self, head: Parts, body: Bytes, cx: ReadContext<'_>) -> Result<CallerRequest>;

    /// Builds the response to a request that ends without an answer from a target.
    fn refusal_response(&self, refusal: &Refusal) -> Response<Body>;

    /// Returns the last chunk of an answer that breaks off after its head, if the protocol can
    /// report the reason there. The connection is closed after it in any case.
    fn error_chunk(&self, refusal: &Refusal) -> Option<Bytes>;
}

/// Context in which a request is parsed.
#[derive(Clone, Copy)]
pub struct ReadContext<'a> {
    /// Customer whose key the request bears; `None` for an unknown caller.
    pub customer: Option<&'a Customer>,
    /// Data centre of this daemon.
    pub data_centre: &'a DataCentre,
    /// Configuration in force.
    pub document: &'a Document,
}
