//! Copies an answer of another daemon, piece by piece as it arrives.

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank_http::client::{Client, Connection};
use lilaccrank_http::timeout;

use crate::callers::end_to_end;
use crate::callers::refusal::{Refusal, Result};
use crate::request::answer_buffer::{AnswerBuffer, Head};
use crate::targets::forward::Bounds;

/// Copies an answer whose head has arrived, and calls `on_data` for each part of it.
pub async fn copy(
    client: &Client,
    res: Response<Incoming>,
    connection: Connection,
    bounds: Bounds,
    buffer: &AnswerBuffer,
    on_data: impl Fn(),
) -> Result<()> {
    let (parts, mut body) = res.into_parts();
    buffer.set_head(Head {
        headers: end_to_end::headers(&parts.headers),
        status: parts.status,
    });
    let meter = connection.meter();
    meter.start();
    loop {
        buffer.wait_until_wanted().await;
        let frame = timeout::timeout(bounds.next, body.frame()).await;
        let frame = frame.map_err(|_| broken("the target stopped in its answer"))?;
        let Some(frame) = frame else {
            meter.stop();
            client.release(connection);
            return Ok(());
        };
        let frame = frame.map_err(|_| broken("the target broke off its answer"))?;
        meter.record_progress();
        on_data();
        if let Ok(data) = frame.into_data() {
            buffer.push(data);
        }
    }
}

fn broken(message: &str) -> Refusal {
    Refusal::new(ErrorKind::BrokenAnswer, message)
}
