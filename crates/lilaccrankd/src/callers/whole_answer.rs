//! Answers to callers of HTTP/1.0, which knows no chunks: without a length, a part would end like a whole answer.

use std::rc::Rc;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, Version};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::{self, Body};

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::answer_memory::Held;

/// Returns the answer with its length, once it is whole, if the caller could not tell its end otherwise.
///
/// # Errors
///
/// [`ErrorKind::BrokenAnswer`] if the answer breaks off, or is longer than one that is kept for repeats may be.
pub async fn with_length(
    daemon: &Daemon,
    version: Version,
    res: Response<Body>,
) -> Result<Response<Body>> {
    let has_length = res.headers().contains_key(CONTENT_LENGTH)
        || hyper::body::Body::size_hint(res.body()).exact().is_some();
    if version >= Version::HTTP_11 || has_length {
        return Ok(res);
    }
    let (head, mut body) = res.into_parts();
    let held = Held::new(Rc::clone(&daemon.answer_memory));
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|e| broken(e.to_string()))?.into_data() else {
            continue;
        };
        held.add(data.len());
        if whole.len() + data.len() > daemon.cfg.answer_limit {
            let limit = daemon.cfg.answer_limit;
            return Err(broken(format!(
                "it has more than {limit} bytes without a length"
            )));
        }
        whole.extend_from_slice(&data);
    }
    Ok(Response::from_parts(head, body::full(whole.freeze())))
}

fn broken(why: String) -> Refusal {
    let message = format!("the answer for a caller of HTTP/1.0 broke off: {why}");
    Refusal::new(ErrorKind::BrokenAnswer, message).ran(Executed::Maybe)
}
