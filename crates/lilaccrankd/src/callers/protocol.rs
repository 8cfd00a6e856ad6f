//! The port to callers: how a request says who sends it and what it wants, and how a refusal
//! looks.

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Response};
use lilaccrank::document::{Customer, Document};
use lilaccrank::ids::DataCentre;
use lilaccrank_http::body::Body;

use crate::callers::caller_request::CallerRequest;
use crate::callers::refusal::{Refusal, Result};

/// What callers speak.
pub trait CallerProtocol {
    /// The key by which a caller shows who it is, `None` if it shows none.
    ///
    /// # Errors
    ///
    /// If the key can't be read.
    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Result<Option<&'a str>>;

    /// The caller's own name for the request, by which it can be found in the logs.
    fn log_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Reads a request whose body is whole.
    ///
    /// # Errors
    ///
    /// If it can't be read, with what to change.
    fn read(&self, head: Parts, body: Bytes, cx: ReadContext<'_>) -> Result<CallerRequest>;

    /// The answer for a request that ends without one of a target.
    fn refusal_response(&self, refusal: &Refusal) -> Response<Body>;

    /// The last piece of an answer that breaks off after its head, if the protocol has a way to
    /// tell why. The connection breaks after it in any case.
    fn error_chunk(&self, refusal: &Refusal) -> Option<Bytes>;
}

/// What a request is read against.
#[derive(Clone, Copy)]
pub struct ReadContext<'a> {
    /// Whose key it bears; `None` for a caller that is not known.
    pub customer: Option<&'a Customer>,
    /// Data centre of this daemon.
    pub data_centre: &'a DataCentre,
    /// The configuration in force.
    pub document: &'a Document,
}
