//! A repeated request reads the answer that another daemon, or this one, already runs.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::request_key::MemberRef;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::body::{self, Body};

use crate::callers::caller_request::CallerRequest;
use crate::callers::entry;
use crate::callers::refusal::{REFUSAL, Refusal, Result};
use crate::daemon::{Daemon, InProgress};
use crate::request::interruption;
use crate::request::run::{End, Reader, Run};
use crate::targets::call;
use crate::targets::relay;

/// Path below which a daemon shows the answers that it holds, by request key.
pub const PATH: &str = "/v1/answers/";
/// Tries to find an answer that was claimed a moment ago.
const TRIES: u32 = 4;
/// Wait between two tries.
const TRY_AGAIN: Duration = Duration::from_millis(50);

/// Answers with what `entry` holds for the key of `caller`.
///
/// # Errors
///
/// [`ErrorKind::AlreadyRun`] if the answer can't be had any more.
pub async fn answer(
    daemon: &Rc<Daemon>,
    caller: &CallerRequest,
    entry: &MemberRef,
    in_progress: Rc<InProgress>,
) -> Result<Response<Body>> {
    daemon.record(
        EventKind::Attached,
        Subject {
            detail: format!("to {}", entry.vm),
            ..Subject::default()
        },
    );
    for _ in 0..TRIES {
        let found = if entry.vm == daemon.cfg.vm {
            local(daemon, caller)
        } else {
            remote(daemon, caller, entry).await?
        };
        if let Some(reader) = found {
            return entry::respond(daemon, reader, Some(in_progress)).await;
        }
        monoio::time::sleep(TRY_AGAIN).await;
    }
    Err(gone())
}

fn gone() -> Refusal {
    let message = "a request with this key was taken before and its answer can't be had any more";
    Refusal::new(ErrorKind::AlreadyRun, message)
}

fn local(daemon: &Daemon, caller: &CallerRequest) -> Option<Reader> {
    let run = daemon.answers.get(&caller.scoped_key()?)?;
    Some(run.reader())
}

async fn remote(
    daemon: &Rc<Daemon>,
    caller: &CallerRequest,
    entry: &MemberRef,
) -> Result<Option<Reader>> {
    let members = daemon.membership.all();
    let member = members.iter().find(|member| member.vm == entry.vm);
    let member = member.ok_or_else(gone)?;
    let key = caller.facts.key.as_deref().unwrap_or_default();
    let mut req = Request::new(body::empty());
    *req.uri_mut() = format!("{PATH}{}", hex::encode(key))
        .parse()
        .unwrap_or_default();
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("peer"));
    // The caller's own key goes along: a daemon shows nobody another customer's answer.
    if let Some(bearer) = caller.head.headers.get(AUTHORIZATION) {
        headers.insert(AUTHORIZATION, bearer.clone());
    }
    let bounds = daemon.bounds();
    let address = member.admin.to_string();
    let sent = call::send(&daemon.client, &address, req, bounds.first).await;
    let (res, connection) = sent.map_err(|_| gone())?;
    if res.status() == StatusCode::NOT_FOUND && res.headers().contains_key(REFUSAL) {
        return Ok(None);
    }
    let run = Rc::new(Run::default());
    let reader = run.reader();
    let client = daemon.client.clone();
    let daemon = Rc::clone(daemon);
    monoio::spawn(async move {
        let gone = interruption::interrupted(&run, None, Duration::ZERO, &daemon.cutting);
        let copying = relay::copy(&client, res, connection, bounds, &run);
        futures::pin_mut!(gone, copying);
        let ended = match futures::future::select(copying, gone).await {
            futures::future::Either::Left((ended, _)) => ended,
            futures::future::Either::Right((refusal, _)) => Err(refusal),
        };
        run.finish(ended.map_or_else(End::Failed, |()| End::Whole));
    });
    Ok(Some(reader))
}
