//! Typed JSON bodies of the operators' surface.

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

/// Largest body of an operator. A document of 35,000 customers has some 10 MB; four times as
/// much still leaves a daemon within its memory while one is read.
const BODY_LIMIT: usize = 40 << 20;

/// Reads a JSON body.
///
/// # Errors
///
/// If it is too large, too slow, or of another shape.
pub async fn read<T: DeserializeOwned>(daemon: &Daemon, incoming: Incoming) -> Result<T> {
    let bytes = entry::read_body(daemon, incoming, BODY_LIMIT).await?;
    let read = serde_json::from_slice(&bytes);
    Ok(read.map_err(|e| Refusal::new(ErrorKind::BadRequest, format!("the body: {e}")))?)
}

/// A JSON answer.
///
/// # Errors
///
/// If the value has no JSON.
pub fn reply<T: Serialize>(value: &T) -> Result<Response<Body>> {
    let json = serde_json::to_vec(value);
    let json = json.map_err(|e| Refusal::new(ErrorKind::Internal, e.to_string()))?;
    let mut res = Response::new(body::full(json));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(res)
}
