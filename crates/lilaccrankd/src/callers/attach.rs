//! Attaches a repeated request to the answer that this daemon or another one is already writing.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::request_key::MemberRef;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::runtime;

use crate::callers::caller_request::CallerRequest;
use crate::callers::entry;
use crate::callers::refusal::{REFUSAL, Refusal, Result};
use crate::daemon::Daemon;
use crate::request::admission::InProgress;
use crate::request::answer_buffer::{AnswerBuffer, End, Reader};
use crate::request::cancellation::Cancellation;
use crate::targets::call;
use crate::targets::relay;

/// Path prefix under which a daemon serves the answers that it holds; the request key follows in
/// hex.
pub const ANSWERS_PATH: &str = "/v1/answers/";
/// Attempts to find an answer whose key was claimed a moment ago.
const ATTEMPT_LIMIT: u32 = 4;
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Answers `caller` with the answer that the member `entry` holds for its key.
///
/// # Errors
///
/// [`ErrorKind::AlreadyRun`] if the answer is no longer available.
pub async fn answer(
    daemon: &Rc<Daemon>,
    caller: &CallerRequest,
    entry: &MemberRef,
    client: ClientConnection,
    in_progress: Rc<InProgress>,
) -> Result<Response<Body>> {
    daemon.record(
        EventKind::Attached,
        Subject {
            detail: format!("to {}", entry.vm),
            ..Subject::default()
        },
    );
    for _ in 0..ATTEMPT_LIMIT {
        let found = if entry.vm == daemon.cfg.vm {
            local_reader(daemon, caller, &client)
        } else {
            remote_reader(daemon, caller, entry, &client).await?
        };
        if let Some(reader) = found {
            return entry::respond(daemon, reader, Some(in_progress)).await;
        }
        monoio::time::sleep(RETRY_INTERVAL).await;
    }
    Err(answer_gone())
}

fn answer_gone() -> Refusal {
    let message = "a request with this key was taken before and its answer can't be had any more";
    Refusal::new(ErrorKind::AlreadyRun, message)
}

fn local_reader(
    daemon: &Daemon,
    caller: &CallerRequest,
    client: &ClientConnection,
) -> Option<Reader> {
    let buffer = daemon.answer_cache.get(&caller.scoped_key()?)?;
    buffer.repeat_reader(client.clone())
}

async fn remote_reader(
    daemon: &Rc<Daemon>,
    caller: &CallerRequest,
    entry: &MemberRef,
    client: &ClientConnection,
) -> Result<Option<Reader>> {
    let members = daemon.membership.all();
    let member = members.iter().find(|member| member.vm == entry.vm);
    let member = member.ok_or_else(answer_gone)?;
    let key = caller.facts.key.as_deref().unwrap_or_default();
    let mut req = Request::new(body::empty());
    *req.uri_mut() = format!("{ANSWERS_PATH}{}", hex::encode(key))
        .parse()
        .unwrap_or_default();
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("peer"));
    // The other daemon checks the caller's API key itself: it serves an answer only to the customer
    // that owns it.
    if let Some(bearer) = caller.head.headers.get(AUTHORIZATION) {
        headers.insert(AUTHORIZATION, bearer.clone());
    }
    let bounds = daemon.bounds();
    let address = member.admin.to_string();
    let sent = call::send(&daemon.client, &address, req, bounds.first).await;
    let (res, connection) = sent.map_err(|_| answer_gone())?;
    if res.status() == StatusCode::NOT_FOUND && res.headers().contains_key(REFUSAL) {
        return Ok(None);
    }
    let buffer = Rc::new(AnswerBuffer::new(&daemon.answer_memory));
    let reader = buffer.reader(client.clone());
    let client = daemon.client.clone();
    let daemon = Rc::clone(daemon);
    runtime::spawn(async move {
        let cancellation = Cancellation::new(&daemon, &buffer, None, Duration::ZERO);
        let copying = relay::copy(&client, res, connection, bounds, &buffer, || {});
        let ended = cancellation.run(copying).await.flatten();
        buffer.finish(ended.map_or_else(End::Failed, |()| End::Complete));
    });
    Ok(Some(reader))
}
