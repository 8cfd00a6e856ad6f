//! Takes a caller's request in: who sends it, what it says, what the rules decide.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use lilaccrank::clock::Clock;
use lilaccrank::document::Customer;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::rules::matching::{Decision, Route};
use lilaccrank_http::body::{self, Body, BodySender};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::admin::metrics::Ended;
use crate::callers::attach;
use crate::callers::auth;
use crate::callers::caller_request::CallerRequest;
use crate::callers::protocol::{CallerProtocol, Reading};
use crate::callers::refusal::{Refusal, Result};
use crate::configuration::in_force::InForce;
use crate::daemon::{Daemon, InProgress};
use crate::request::key_state::{self, Access};
use crate::request::life::{self, Routed};
use crate::request::quotas::Wanting;
use crate::request::run::{Reader, Run};

/// Answers one request, or refuses it.
pub async fn answer(daemon: Rc<Daemon>, req: Request<Incoming>) -> Response<Body> {
    let name = daemon.ports.callers.name(req.headers()).map(str::to_owned);
    match accept(&daemon, req).await {
        Ok(res) => res,
        Err(refusal) => {
            daemon.metrics.refuse(refusal.kind);
            log::info!(
                age_ms = log_age(&daemon),
                generation = log_generation(&daemon),
                kind:% = refusal.kind,
                request = name.unwrap_or_default(),
                why = refusal.message;
                "refused at the door"
            );
            daemon.ports.callers.refuse(&refusal)
        }
    }
}

async fn accept(daemon: &Rc<Daemon>, req: Request<Incoming>) -> Result<Response<Body>> {
    let arrived = Instant::now();
    if daemon.refusing.get() {
        return Err(Refusal::new(
            ErrorKind::Leaving,
            "this daemon is shutting down",
        ));
    }
    let in_force = daemon.in_force()?;
    let in_progress = Rc::new(daemon.begin()?);
    let (head, incoming) = req.into_parts();
    let customer = customer(daemon, &in_force, &head.headers)?;
    let body = read_body(daemon, incoming, in_force.body_limit(&daemon.cfg)).await?;
    // Looked at when all of the request is here: what came while the machine was suspended was
    // not read before, and its key may have been taken away since.
    daemon.check_lease()?;
    let reading = Reading {
        customer: customer.as_ref(),
        data_centre: &daemon.cfg.data_centre,
        document: &in_force.document,
    };
    let caller = daemon.ports.callers.read(head, body, reading)?;
    let route = route(daemon, &in_force, &caller)?;
    let key = match key_state::claim(daemon, &caller).await? {
        Access::Elsewhere(entry) => {
            return attach::answer(daemon, &caller, &entry, in_progress).await;
        }
        Access::Own(key) => key,
    };
    let id = daemon.next_request_id();
    let wanting = Wanting {
        customer: customer.as_ref(),
        facts: &caller.facts,
        request: caller.name(&id),
        tier: route.tier,
    };
    let charge = match daemon.quotas.charge(wanting) {
        Ok(charge) => charge,
        Err(refusal) => {
            daemon.metrics.end(Ended {
                answer_tokens: 0,
                kind: Some(refusal.kind),
                prompt_tokens: caller.facts.prompt_tokens,
                tier: route.tier,
            });
            key.release().await;
            return Err(refusal);
        }
    };
    if let Some(charge) = &charge {
        daemon.load_exchange.note_change(charge.is_short);
    }
    let run = Rc::new(Run::default());
    let reader = run.reader();
    if let Some(scoped) = caller.scoped_key() {
        daemon.answers.insert(scoped, Rc::clone(&run));
    }
    log::info!(
        age_ms = log_age(daemon),
        customer = caller.facts.customer,
        generation = in_force.identity.generation,
        id = id,
        max_tokens = caller.facts.max_tokens,
        pool = route.pool,
        prompt_tokens = caller.facts.prompt_tokens,
        request = caller.name(&id),
        rule = route.rule,
        tier = route.tier;
        "routed"
    );
    let routed = Routed {
        arrived,
        caller,
        charge,
        content: OnceCell::new(),
        id,
        route,
    };
    let driving = life::drive(Rc::clone(daemon), routed, key, run);
    let driven = Rc::clone(&in_progress);
    monoio::spawn(async move {
        driving.await;
        drop(driven);
    });
    // What fails from here on is counted where the request ends.
    let answered = respond(daemon, reader, Some(in_progress)).await;
    Ok(answered.unwrap_or_else(|refusal| daemon.ports.callers.refuse(&refusal)))
}

/// Who sends the request; `None` for a caller that is not known, where some rule is for them.
fn customer(daemon: &Daemon, in_force: &InForce, headers: &HeaderMap) -> Result<Option<Customer>> {
    let key = daemon.ports.callers.key(headers)?;
    let holder = key.and_then(|key| in_force.keys.holder(key));
    if holder.is_some() || in_force.has_anonymous_rules {
        return Ok(holder.cloned());
    }
    Err(key.map_or_else(auth::missing, |_| auth::unknown()))
}

/// Reads a body of at most `limit` bytes, for as long as a sender may take.
///
/// # Errors
///
/// If it is larger, breaks off or takes longer.
pub async fn read_body(daemon: &Daemon, incoming: Incoming, limit: usize) -> Result<Bytes> {
    let time = Duration::from_millis(daemon.cfg.body_timeout_ms);
    match monoio::time::timeout(time, body::read(incoming, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Error::TooLarge { limit })) => Err(Refusal::new(
            ErrorKind::TooLarge,
            format!("the body may have {limit} bytes"),
        )),
        Ok(Err(e)) => Err(Refusal::new(ErrorKind::BadRequest, e.to_string())),
        Err(_) => Err(Refusal::new(
            ErrorKind::BadRequest,
            format!("the body did not come within {time:?}"),
        )),
    }
}

fn route(daemon: &Daemon, in_force: &InForce, caller: &CallerRequest) -> Result<Route> {
    if let Some(model) = &caller.facts.model
        && !in_force.serves(model)
    {
        let message = format!("no pool serves the model `{model}`; see /v1/models");
        return Err(Refusal::new(ErrorKind::UnknownModel, message));
    }
    let environment = daemon.environment();
    match in_force.rules.decide(&caller.facts, &environment) {
        Decision::Refuse(refusal) => Err(Refusal::new(refusal.kind, refusal.reason)),
        Decision::Send(route) if caller.facts.is_anonymous() && !route.terms.anonymous => {
            Err(auth::unknown())
        }
        Decision::Send(route) => Ok(route),
    }
}

/// Passes the answer on as it is written; it counts as in progress until its reader has it.
///
/// The memory of an answer is held for as long as it is read. If only its making counted, callers
/// that read nothing could fill the memory beyond any limit.
pub async fn respond(
    daemon: &Daemon,
    reader: Reader,
    in_progress: Option<Rc<InProgress>>,
) -> Result<Response<Body>> {
    let head = reader.head().await?;
    let (tx, body) = body::channel();
    let patience = Duration::from_millis(daemon.cfg.body_timeout_ms);
    let protocol = Rc::clone(&daemon.ports.callers);
    monoio::spawn(async move {
        relay(reader, tx, patience, protocol).await;
        drop(in_progress);
    });
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    *res.headers_mut() = head.headers;
    Ok(res)
}

async fn relay(
    mut reader: Reader,
    mut tx: BodySender,
    patience: Duration,
    protocol: Rc<dyn CallerProtocol>,
) {
    loop {
        match reader.next().await {
            Ok(Some(chunk)) => {
                // A caller whose connection was lost without a word takes nothing for good, and
                // would hold its answer until the system gives up, after many minutes.
                match monoio::time::timeout(patience, tx.send_data(chunk)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return,
                    Err(_) => return tx.abort("the caller takes nothing".into()),
                }
            }
            Ok(None) => return,
            // The head is out: the broken body tells every client that the answer is not whole.
            Err(refusal) => {
                let why = "the answer broke off";
                return match protocol.break_off(&refusal) {
                    Some(last) => body::break_off(tx, last, why).await,
                    None => tx.abort(why.into()),
                };
            }
        }
    }
}

/// Age of the proof that the configuration is the newest, in milliseconds, for the log.
fn log_age(daemon: &Daemon) -> i64 {
    let age = daemon.adoption.age(MonoioClock.boot_time());
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

/// Generation in force for the log, 0 before the first one.
fn log_generation(daemon: &Daemon) -> u64 {
    let in_force = daemon.in_force();
    in_force.map_or(0, |in_force| in_force.identity.generation)
}
