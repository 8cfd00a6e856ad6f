//! Spills a request that this data centre refuses to another one, if its rule allows it.
//!
//! The daemon in the other data centre handles it as its own request, with the same caller and key.
//! This daemon treats the other one like a target: it sends the request once, and tries the next
//! data centre only if the refusal says "not run".

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::{self, Body};
use rand::seq::IndexedRandom;
use serde::Deserialize;

use crate::callers::caller_request::{CallerRequest, DEADLINE, SPILLED_FROM};
use crate::callers::entry;
use crate::callers::refusal::{REFUSAL, Refusal, Result};
use crate::daemon::Daemon;
use crate::request::execution::Execution;
use crate::targets::call;
use crate::targets::relay;

/// Largest body of a refusal, in bytes.
const REFUSAL_LIMIT: usize = 64 * 1024;

#[derive(Deserialize)]
struct Envelope {
    error: Details,
}

#[derive(Deserialize)]
struct Details {
    kind: ErrorKind,
    message: String,
    ran: Executed,
}

/// Returns `true` if another data centre may be able to serve a request that was refused with
/// `kind`.
#[must_use]
pub fn is_spillable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::DeadlineUnmeetable | ErrorKind::NoTarget | ErrorKind::Overloaded
    )
}

/// Tries the data centres in order until one takes the request.
///
/// # Errors
///
/// The last refusal, or `refused` if no data centre could be reached.
pub async fn try_data_centres(execution: &Execution<'_>, mut refused: Refusal) -> Result<()> {
    let cfg = &execution.daemon.cfg;
    for data_centre in &execution.routed.route.spill {
        let addresses = cfg.other_data_centres.get(data_centre);
        let Some(other) = addresses.and_then(|list| list.choose(&mut rand::rng())) else {
            continue;
        };
        match try_data_centre(execution, other.callers).await {
            // No daemon there could be reached, so the earlier refusal still holds.
            Err(refusal) if refusal.ran == Executed::No && refusal.retry_after.is_none() => {}
            Err(refusal) if refusal.ran == Executed::No => refused = refusal,
            other => return other,
        }
    }
    Err(refused)
}

async fn try_data_centre(execution: &Execution<'_>, address: SocketAddr) -> Result<()> {
    let (daemon, buffer) = (execution.daemon, execution.buffer);
    let bounds = daemon.bounds();
    let req = request(
        daemon,
        &execution.routed.caller,
        execution.routed.deadline(),
    );
    let address = address.to_string();
    execution.cancellation.check()?;
    let (res, connection) = call::send(&daemon.client, &address, req, bounds.first).await?;
    if res.headers().contains_key(REFUSAL) {
        return Err(refusal(daemon, res).await);
    }
    relay::copy(&daemon.client, res, connection, bounds, buffer, || {}).await
}

fn request(daemon: &Daemon, caller: &CallerRequest, deadline: Option<Instant>) -> Request<Body> {
    let mut req = Request::new(body::full(caller.body.clone()));
    *req.method_mut() = caller.head.method.clone();
    *req.uri_mut() = caller.head.uri.clone();
    *req.headers_mut() = caller.head.headers.clone();
    let headers = req.headers_mut();
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers.insert(HOST, HeaderValue::from_static("peer"));
    if let Ok(from) = HeaderValue::from_str(&daemon.cfg.data_centre) {
        headers.insert(SPILLED_FROM, from);
    }
    if let Some(at) = deadline {
        let left = at.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE, left.into());
    }
    req
}

async fn refusal(daemon: &Daemon, res: Response<Incoming>) -> Refusal {
    let status = res.status();
    let header = res.headers().get(RETRY_AFTER);
    let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let retry_after = seconds.map(Duration::from_secs);
    let body = entry::read_body(daemon, res.into_body(), REFUSAL_LIMIT).await;
    let envelope = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok());
    match envelope {
        Some(Envelope { error }) => Refusal {
            retry_after,
            ..Refusal::new(error.kind, error.message).ran(error.ran)
        },
        None => unexpected_status(status),
    }
}

fn unexpected_status(status: StatusCode) -> Refusal {
    let message = format!("the other data centre answered with status {status}");
    Refusal::new(ErrorKind::TargetFailed, message)
}
