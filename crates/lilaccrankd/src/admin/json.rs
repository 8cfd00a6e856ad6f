//! Typed JSON bodies of the operators' API.

use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank_http::body::{self, Body};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::Result;
use crate::callers::entry;
use crate::callers::refusal::Refusal;
use crate::daemon::Daemon;

/// Maximum body size of an operator's request, in bytes. A document with 35,000 customers is about
/// 10 MB; a daemon can read four times as much within its memory limit.
const BODY_LIMIT: usize = 40 << 20;

/// Reads and parses a JSON body.
///
/// # Errors
///
/// If the body is too large, arrives too slowly, or does not parse as `T`.
pub async fn read<T: DeserializeOwned>(daemon: &Daemon, incoming: Incoming) -> Result<T> {
    let bytes = entry::read_body(daemon, incoming, BODY_LIMIT).await?;
    let read = serde_json::from_slice(&bytes);
    Ok(read.map_err(|e| Refusal::new(ErrorKind::BadRequest, format!("the body: {e}")))?)
}

/// Returns a JSON response.
///
/// # Errors
///
/// If the value can't be serialized.
pub fn reply<T: Serialize>(value: &T) -> Result<Response<Body>> {
    let json = serde_json::to_vec(value);
    let json = json.map_err(|e| Refusal::new(ErrorKind::Internal, e.to_string()))?;
    let mut res = Response::new(body::full(json));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(res)
}
