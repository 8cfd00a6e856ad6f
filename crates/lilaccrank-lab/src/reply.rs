//! Short ways to read requests and to build responses.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use lilaccrank_http::body::{self, Body, BoxError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Header that names a request.
pub const REQUEST_ID: &str = "request-id";
/// Header of all answers of a target that leaves.
const LEAVING: HeaderName = HeaderName::from_static("leaving");
/// Header with the caller's own key for a request.
pub const REQUEST_KEY: &str = "request-key";

/// Result of reading a request; the error is the refusal to send.
pub type Result<T, E = Box<Response<Body>>> = std::result::Result<T, E>;

/// Milliseconds since the epoch, by the wall clock.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let buf = serde_json::to_vec(value).expect("the lab's own types can be written as JSON");
    let mut res = Response::new(body::full(buf));
    *res.status_mut() = status;
    res.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    res
}

/// A JSON body with status 200.
pub fn ok<T: Serialize>(value: &T) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// A refusal in the shape that clients of model engines expect.
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &json!({"error": {"message": message}}))
}

/// Adds to a response that its target leaves.
pub fn say_leaving(res: &mut Response<Body>) {
    res.headers_mut()
        .insert(LEAVING, HeaderValue::from_static("1"));
}

/// A response that turns a request away and asks for a pause of this many seconds.
pub fn push_back(pause_s: f64) -> Response<Body> {
    let mut res = error(StatusCode::SERVICE_UNAVAILABLE, "a pause is needed");
    if let Ok(pause) = HeaderValue::try_from(pause_s.to_string()) {
        res.headers_mut().insert(RETRY_AFTER, pause);
    }
    res
}

/// A response of no bytes.
#[must_use]
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(body::empty());
    *res.status_mut() = status;
    res
}

/// No response: hyper meets the error before it has flushed the head, and closes the connection.
#[must_use]
pub fn hang_up() -> Response<Body> {
    Response::new(broken(Vec::new()))
}

/// A body that breaks off after `frames`.
#[must_use]
pub fn broken(frames: Vec<Bytes>) -> Body {
    let frames = frames.into_iter().map(|frame| Ok(Frame::data(frame)));
    let end: Result<_, BoxError> = Err("broken off on request".into());
    StreamBody::new(stream::iter(frames.chain([end]))).boxed_unsync()
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// The refusal to send.
pub async fn read_json<T: DeserializeOwned>(req: Request<Incoming>, limit: usize) -> Result<T> {
    let buf = read(req, limit).await?;
    serde_json::from_slice(&buf)
        .map_err(|e| Box::new(error(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// The refusal to send.
pub async fn read(req: Request<Incoming>, limit: usize) -> Result<Bytes> {
    body::read(req.into_body(), limit).await.map_err(|e| {
        let status = match e {
            body::Error::Broken(_) => StatusCode::BAD_REQUEST,
            body::Error::Stalled { .. } => StatusCode::REQUEST_TIMEOUT,
            body::Error::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        };
        Box::new(error(status, &e.to_string()))
    })
}

/// A header as text, if it is there and is text.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A whole number in the query of a URI.
#[must_use]
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
