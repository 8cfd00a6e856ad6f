//! Passes one request on to a plain service or to another data centre, body untouched.

use std::future::Future;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank_http::body::Body;
use lilaccrank_http::client::{Client, Connection};

use crate::callers::end_to_end;
use crate::callers::refusal::{REFUSAL, Refusal, Result};
use crate::request::run::{Head, Run};
use crate::targets::call;

/// Bounds of one pass.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest answer in bytes.
    pub answer_limit: usize,
    /// Time to the head.
    pub head: Duration,
    /// Time between parts of the body.
    pub next: Duration,
}

/// Sends `req` once and writes the answer until it ends or `interrupted` completes.
///
/// # Errors
///
/// [`Ran::No`](lilaccrank::error_kind::Ran::No) only if no connection could be made.
pub async fn run(
    client: &Client,
    address: &str,
    req: Request<Body>,
    bounds: Bounds,
    run: &Run,
    interrupted: impl Future<Output = Refusal>,
) -> Result<()> {
    let passing = pass(client, address, req, bounds, run);
    pin_mut!(passing, interrupted);
    match future::select(passing, interrupted).await {
        Either::Left((result, _)) => result,
        // Dropping the exchange closes its connection, which tells the other end to stop.
        Either::Right((refusal, _)) => Err(refusal),
    }
}

async fn pass(
    client: &Client,
    address: &str,
    req: Request<Body>,
    bounds: Bounds,
    run: &Run,
) -> Result<()> {
    let (mut res, connection) = call::send(client, address, req, bounds.head).await?;
    res.headers_mut().remove(REFUSAL);
    copy(client, res, connection, bounds, run).await
}

/// Copies an answer whose head has come.
///
/// # Errors
///
/// [`ErrorKind::BrokenAnswer`] if its body breaks off.
pub async fn copy(
    client: &Client,
    res: Response<Incoming>,
    connection: Connection,
    bounds: Bounds,
    run: &Run,
) -> Result<()> {
    let (parts, mut body) = res.into_parts();
    run.set_head(Head {
        headers: end_to_end::headers(&parts.headers),
        status: parts.status,
    });
    loop {
        let frame = monoio::time::timeout(bounds.next, body.frame()).await;
        let frame = frame.map_err(|_| broken("the target stopped in its answer"))?;
        let Some(frame) = frame else {
            client.release(connection);
            return Ok(());
        };
        let frame = frame.map_err(|_| broken("the target broke off its answer"))?;
        if let Ok(data) = frame.into_data() {
            run.push(data);
        }
        if run.size() > bounds.answer_limit {
            return Err(broken("the answer is over the limit"));
        }
    }
}

fn broken(message: &str) -> Refusal {
    Refusal::new(ErrorKind::BrokenAnswer, message)
}
