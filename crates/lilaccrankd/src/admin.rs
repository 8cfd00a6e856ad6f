//! The operators' surface, with metrics and health.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank_http::body::{self, Body};
use serde_json::json;

use crate::callers::json_response;
use crate::daemon::Daemon;
use crate::refusal::{Refusal, Result};
use crate::{attach, entry, pool_server};

mod orders;

/// Answers one HTTP request of an operator.
pub async fn handle(daemon: Rc<Daemon>, req: Request<Incoming>) -> Response<Body> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => text("alive\n".to_owned()),
        (&Method::GET, "/metrics") => text(daemon.metrics.text()),
        (&Method::GET, "/readyz") => match ready(&daemon) {
            Ok(()) => text("ready\n".to_owned()),
            Err(refusal) => refusal.response(),
        },
        (&Method::GET, path) if path.starts_with(attach::PATH) => held_answer(&daemon, &req)
            .await
            .unwrap_or_else(|refusal| refusal.response()),
        (&Method::POST, orders::PATH) => orders::handle(&daemon, req).await,
        _ => {
            let answered = operator(&daemon, &req);
            answered.unwrap_or_else(|refusal| refusal.response())
        }
    }
}

fn operator(daemon: &Daemon, req: &Request<Incoming>) -> Result<Response<Body>> {
    let in_force = daemon.in_force()?;
    in_force.keys.operator(req.headers())?;
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/v1/status") => Ok(json_response(&json!({
            "generation": in_force.generation,
            "in_progress": daemon.in_progress(),
            "leaving": daemon.leaving.get(),
            "members": daemon.membership.all(),
            "pools": pool_server::status(daemon),
            "vm": daemon.cfg.vm,
        }))),
        _ => Err(Refusal::new(ErrorKind::NotFound, "no such path")),
    }
}

/// An answer that this daemon runs or holds, for a caller that repeated its key elsewhere.
async fn held_answer(daemon: &Daemon, req: &Request<Incoming>) -> Result<Response<Body>> {
    let in_force = daemon.in_force()?;
    let customer = in_force.keys.customer(req.headers())?.id.clone();
    let not_found = || Refusal::new(ErrorKind::NotFound, "no answer for this key is held here");
    let key = req
        .uri()
        .path()
        .strip_prefix(attach::PATH)
        .and_then(|key| hex::decode(key).ok());
    let key = key
        .and_then(|key| String::from_utf8(key).ok())
        .ok_or_else(not_found)?;
    let run = daemon.answers.get(&(customer, key)).ok_or_else(not_found)?;
    entry::respond(run.reader()).await
}

fn ready(daemon: &Daemon) -> Result<()> {
    if daemon.leaving.get() {
        return Err(Refusal::new(
            ErrorKind::Leaving,
            "this daemon is shutting down",
        ));
    }
    daemon.in_force()?;
    if !daemon.keys_settled() {
        let message = "the records of request keys have not been heard from the others yet";
        return Err(Refusal::new(ErrorKind::NotReady, message));
    }
    Ok(())
}

fn text(text: String) -> Response<Body> {
    let mut res = Response::new(body::full(text));
    *res.status_mut() = StatusCode::OK;
    res.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    res
}
