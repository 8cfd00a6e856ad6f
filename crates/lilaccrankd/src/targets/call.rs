//! Sends requests to a target that must not be sent twice.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::Body;
use lilaccrank_http::client::{Client, Connection, Error, Limits};

use crate::callers::refusal::{Refusal, Result};

/// Timeout of connecting to a target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Sends `req` on a new connection and waits for the head of the answer.
///
/// An idle connection may be dead without notice. Whether a request sent on it has run would be
/// unknown, so it could neither be refused as not run nor be sent again.
///
/// # Errors
///
/// [`Executed::No`] only if no connection could be made.
pub async fn send(
    client: &Client,
    address: &str,
    req: Request<Body>,
    head: Duration,
) -> Result<(Response<Incoming>, Connection)> {
    let limits = Limits {
        connect: CONNECT_TIMEOUT,
        max_idle: Duration::ZERO,
        head,
    };
    let sent = client.send(address, req, limits).await;
    sent.map_err(|e| refusal(&e))
}

/// Returns the refusal for a request that got no response head.
pub fn refusal(e: &Error) -> Refusal {
    let kind = match e {
        Error::Silent { .. } => ErrorKind::TargetSilent,
        Error::Withdrawn { .. } => ErrorKind::Cancelled,
        Error::Connect { .. } | Error::Exchange { .. } => ErrorKind::TargetFailed,
    };
    let ran = if e.is_unsent() {
        Executed::No
    } else {
        Executed::Maybe
    };
    let refusal = Refusal::new(kind, e.to_string()).ran(ran);
    if e.is_connection_lost() {
        refusal.connection_lost()
    } else {
        refusal
    }
}
