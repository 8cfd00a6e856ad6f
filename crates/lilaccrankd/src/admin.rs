//! HTTP API for operators, with metrics, health checks and held answers.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use lilaccrank::clock::Clock;
use lilaccrank::document::Operator;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::operators::{self, path};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::callers::attach;
use crate::callers::entry;
use crate::callers::refusal::Refusal;
use crate::daemon::Daemon;
use crate::pools::server;
use crate::rollouts;
use crate::signals::Signals;
use crate::startup;

mod configuration;
mod error;
mod json;
pub mod metrics;
mod orders;
mod publication;
mod quarantines;
mod reports;

use error::Result;

/// Handles one HTTP request to the admin address.
pub async fn handle(
    daemon: Rc<Daemon>,
    signals: Signals,
    req: Request<Incoming>,
    client: ClientConnection,
) -> Response<Body> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => text("alive\n".to_owned()),
        (&Method::GET, "/metrics") => text(daemon.metrics.text()),
        (&Method::GET, "/readyz") => readiness(&daemon),
        (&Method::GET, path) if path.starts_with(attach::ANSWERS_PATH) => {
            held_answer(&daemon, &req, client)
                .await
                .unwrap_or_else(|refusal| refusal.response())
        }
        (&Method::POST, path::ORDERS) => orders::handle(&daemon, req).await,
        _ => {
            let answered = operator(&daemon, &signals, req).await;
            answered.unwrap_or_else(|e| e.response())
        }
    }
}

/// Answers a load balancer's readiness check.
pub fn readiness(daemon: &Daemon) -> Response<Body> {
    match ready(daemon) {
        Ok(()) => {
            startup::record_ready(daemon);
            text("ready\n".to_owned())
        }
        Err(refusal) => refusal.response(),
    }
}

async fn operator(
    daemon: &Daemon,
    signals: &Signals,
    req: Request<Incoming>,
) -> Result<Response<Body>> {
    let (head, incoming) = req.into_parts();
    let operator = authenticate(daemon, &head.headers)?;
    match (&head.method, head.uri.path()) {
        (&Method::GET, path::CONFIGURATION) => json::reply(&configuration::in_force(daemon)?),
        (&Method::POST, path::CONFIGURATION) => {
            let payload = json::read(daemon, incoming).await?;
            let published = publication::publish(daemon, operator.id, payload).await?;
            json::reply(&published)
        }
        (&Method::POST, path::EXPLAIN) => {
            let payload = json::read(daemon, incoming).await?;
            json::reply(&configuration::explain(daemon, payload)?)
        }
        (&Method::GET, path::HISTORY) => json::reply(&configuration::history(daemon).await?),
        (&Method::POST, path::LEAVE) => json::reply(&leave(daemon, signals)),
        (&Method::GET, path::QUARANTINES) => json::reply(&quarantines::list(daemon)),
        (&Method::POST, path::QUARANTINES) => {
            let payload = json::read(daemon, incoming).await?;
            json::reply(&quarantines::lift(daemon, &operator.id, &payload)?)
        }
        (&Method::GET, path::ROLLOUTS) => json::reply(&rollouts::views(daemon).await),
        (&Method::GET, path::STATUS) => json::reply(&status(daemon)?),
        (&Method::POST, path::TIMELINE) => {
            let query = json::read(daemon, incoming).await?;
            json::reply(&operators::TimelineReply {
                dropped: daemon.timeline.dropped(),
                events: daemon.timeline.query(&query),
                vm: daemon.cfg.vm.clone(),
            })
        }
        (&Method::GET, other) => match configuration::generation(other) {
            Some(generation) => json::reply(&configuration::earlier(daemon, generation).await?),
            None => Err(no_path().into()),
        },
        _ => Err(no_path().into()),
    }
}

fn authenticate(daemon: &Daemon, headers: &HeaderMap) -> Result<Operator> {
    let in_force = daemon.in_force()?;
    Ok(in_force.keys.operator(headers)?.clone())
}

fn no_path() -> Refusal {
    Refusal::new(ErrorKind::NotFound, "no such path")
}

fn leave(daemon: &Daemon, signals: &Signals) -> operators::LeaveReply {
    log::info!("an operator asked this daemon to leave");
    // New requests are refused before the operator gets the reply; the rest of the shutdown
    // follows.
    daemon.leaving.set(true);
    daemon.refusing.set(true);
    signals.request_shutdown();
    operators::LeaveReply {
        in_progress: daemon.in_progress(),
        vm: daemon.cfg.vm.clone(),
    }
}

fn status(daemon: &Daemon) -> Result<operators::Status> {
    Ok(operators::Status {
        data_centre: daemon.cfg.data_centre.clone(),
        identity: daemon.in_force()?.identity.clone(),
        in_progress: daemon.in_progress(),
        leaving: daemon.leaving.get(),
        members: daemon.membership.all(),
        pools: server::status(daemon),
        unusable_entries: daemon.live_list.listing().unusable.clone(),
        vm: daemon.cfg.vm.clone(),
    })
}

/// Streams an answer that this daemon produces or holds, for a caller that repeated its key at
/// another daemon.
async fn held_answer(
    daemon: &Daemon,
    req: &Request<Incoming>,
    client: ClientConnection,
) -> crate::callers::refusal::Result<Response<Body>> {
    let in_force = daemon.in_force()?;
    let customer = in_force.keys.customer(req.headers())?.id.clone();
    let not_found = || Refusal::new(ErrorKind::NotFound, "no answer for this key is held here");
    let key = req
        .uri()
        .path()
        .strip_prefix(attach::ANSWERS_PATH)
        .and_then(|key| hex::decode(key).ok());
    let key = key
        .and_then(|key| String::from_utf8(key).ok())
        .ok_or_else(not_found)?;
    let run = daemon
        .answer_cache
        .get(&(customer, key))
        .ok_or_else(not_found)?;
    let reader = run.repeat_reader(client).ok_or_else(not_found)?;
    entry::respond(daemon, reader, None).await
}

fn ready(daemon: &Daemon) -> crate::callers::refusal::Result<()> {
    if daemon.leaving.get() {
        return Err(Refusal::new(
            ErrorKind::Leaving,
            "this daemon is shutting down",
        ));
    }
    let in_force = daemon.in_force()?;
    daemon.check_lease()?;
    // The configuration may arrive before the list of targets. Without the list, every request
    // would be refused for lack of a target.
    let needs_list = in_force.document.pools.iter().any(|pool| pool.listed);
    let list_age = daemon.live_list.freshness.age(MonoioClock.boot_time());
    if needs_list && list_age.is_none() {
        let message = "the list of targets is not known yet";
        return Err(Refusal::new(ErrorKind::NotReady, message));
    }
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
