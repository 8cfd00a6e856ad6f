//! Accepts a caller's request: authenticates the caller, parses the request and routes it.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{self, Either};
use futures::pin_mut;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use lilaccrank::clock::{self, Clock};
use lilaccrank::document::Customer;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::rules::matching::{Decision, Route};
use lilaccrank_http::body::{self, Body, BodySender};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrank_http::timeout;

use crate::admin::metrics::EndStats;
use crate::callers::attach;
use crate::callers::auth;
use crate::callers::caller_request::CallerRequest;
use crate::callers::protocol::{CallerProtocol, ReadContext};
use crate::callers::refusal::{Refusal, Result};
use crate::callers::whole_answer;
use crate::configuration::in_force::InForce;
use crate::daemon::Daemon;
use crate::request::admission::InProgress;
use crate::request::answer_buffer::{AnswerBuffer, Reader};
use crate::request::key_state::{self, ClaimOutcome};
use crate::request::lifecycle::{self, RoutedRequest};
use crate::request::quotas::QuotaRequest;
use crate::startup;

/// A request that is neither routed nor refused yet. If it is dropped so, as its connection ends, no other
/// line tells of it.
struct Arrival {
    at: Instant,
    body_read: Cell<bool>,
    log_id: String,
    settled: Cell<bool>,
}

impl Arrival {
    fn new(log_id: Option<&str>) -> Self {
        Self {
            at: Instant::now(),
            body_read: Cell::default(),
            log_id: log_id.unwrap_or_default().to_owned(),
            settled: Cell::default(),
        }
    }

    /// Another line tells of the request.
    fn settle(&self) {
        self.settled.set(true);
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        if self.settled.get() {
            return;
        }
        log::info!(
            body_read = self.body_read.get(),
            request = self.log_id,
            since_arrival_ms = self.at.elapsed().as_millis() as u64;
            "the connection of a request ended before it was routed"
        );
    }
}

/// Answers one request or refuses it.
pub async fn answer(
    daemon: Rc<Daemon>,
    req: Request<Incoming>,
    client: ClientConnection,
) -> Response<Body> {
    let log_id = daemon.ports.callers.log_id(req.headers());
    let arrival = Arrival::new(log_id);
    let version = req.version();
    let accepted = accept(&daemon, req, client, &arrival).await;
    arrival.settle();
    match accepted {
        Ok(res) => {
            let res = whole_answer::with_length(&daemon, version, res).await;
            res.unwrap_or_else(|refusal| {
                log::info!(request = arrival.log_id, why = refusal.message; "no whole answer for HTTP/1.0");
                daemon.ports.callers.refusal_response(&refusal)
            })
        }
        Err(refusal) => {
            daemon.metrics.record_refusal(refusal.kind);
            startup::record_refused(&daemon);
            log::info!(
                age_ms = log_config_age(&daemon),
                generation = log_generation(&daemon),
                kind:% = refusal.kind,
                request = arrival.log_id,
                up_ms = daemon.startup.age().as_millis() as u64,
                why = refusal.message;
                "request refused on arrival"
            );
            let mut res = daemon.ports.callers.refusal_response(&refusal);
            if refusal.kind == ErrorKind::Overloaded {
                // The connection takes memory as well, and a new one may lead to a daemon that has room.
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            res
        }
    }
}

async fn accept(
    daemon: &Rc<Daemon>,
    req: Request<Incoming>,
    client: ClientConnection,
    arrival: &Arrival,
) -> Result<Response<Body>> {
    daemon.check_accepting()?;
    let in_force = daemon.in_force()?;
    let in_progress = Rc::new(daemon.admit()?);
    let (head, incoming) = req.into_parts();
    customer(daemon, &in_force, &head.headers)?;
    let limit = in_force.body_limit(&daemon.cfg);
    let reading = client.begin_body();
    let body = read_request_body(daemon, incoming, limit, &in_progress).await?;
    drop(reading);
    arrival.body_read.set(true);
    if client.is_closed() {
        let message = "the caller went away before its request was read";
        return Err(Refusal::new(ErrorKind::Cancelled, message).ran(Executed::No));
    }
    // Decided only after the body has arrived: a body may come slowly, and a request that came while the
    // machine was suspended is read late. The customer's key may have been revoked in the meantime, and what
    // a shutdown leaves no time for would be cut.
    daemon.check_accepting()?;
    daemon.check_lease()?;
    let in_force = daemon.newest_in_force()?;
    let customer = customer(daemon, &in_force, &head.headers)?;
    let cx = ReadContext {
        customer: customer.as_ref(),
        data_centre: &daemon.cfg.data_centre,
        document: &in_force.document,
    };
    let caller = daemon.ports.callers.read(head, body, cx)?;
    let route = route(daemon, &in_force, &caller)?;
    let key = match key_state::claim(daemon, &caller).await? {
        ClaimOutcome::Attach(entry) => {
            arrival.settle();
            return attach::answer(daemon, &caller, &entry, client, in_progress).await;
        }
        ClaimOutcome::Proceed(key) => key,
    };
    let id = daemon.next_request_id();
    let quota_req = QuotaRequest {
        customer: customer.as_ref(),
        facts: &caller.facts,
        request: caller.log_id(&id),
        tier: route.tier,
    };
    let charged = daemon.quotas.charge(quota_req);
    if daemon.quotas.has_surge() {
        daemon.load_exchange.note_change(true);
    }
    let charge = match charged {
        Ok(charge) => charge,
        Err(refusal) => {
            daemon.metrics.record_end(EndStats {
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
        daemon.load_exchange.note_change(charge.is_nearly_exhausted);
    }
    let buffer = Rc::new(AnswerBuffer::new(&daemon.answer_memory));
    let reader = buffer.reader(client);
    if let Some(scoped) = caller.scoped_key() {
        buffer.keep_for_repeats(daemon.cfg.answer_limit);
        daemon.answer_cache.insert(scoped, Rc::clone(&buffer));
    }
    log::info!(
        age_ms = log_config_age(daemon),
        customer = caller.facts.customer,
        generation = in_force.identity.generation,
        id = id,
        max_tokens = caller.facts.max_tokens,
        pool = route.pool,
        prompt_tokens = caller.facts.prompt_tokens,
        request = caller.log_id(&id),
        resumes = caller.continuation.log_id(),
        rule = route.rule,
        tier = route.tier;
        "routed"
    );
    arrival.settle();
    let routed = RoutedRequest {
        arrived: arrival.at,
        caller,
        charge,
        content_digest: OnceCell::new(),
        id,
        route,
    };
    runtime::spawn(lifecycle::drive(
        Rc::clone(daemon),
        routed,
        key,
        buffer,
        Rc::clone(&in_progress),
    ));
    // Failures from here on are counted in the metrics by the task that runs the request.
    let answered = respond(daemon, reader, Some(in_progress)).await;
    Ok(answered.unwrap_or_else(|refusal| daemon.ports.callers.refusal_response(&refusal)))
}

/// Returns the customer that sends the request, or `None` for an unknown caller if some rule
/// accepts anonymous ones.
fn customer(daemon: &Daemon, in_force: &InForce, headers: &HeaderMap) -> Result<Option<Customer>> {
    let key = daemon.ports.callers.api_key(headers)?;
    let holder = key.and_then(|key| in_force.keys.holder(key));
    if holder.is_some() || in_force.has_anonymous_rules {
        return Ok(holder.cloned());
    }
    Err(key.map_or_else(auth::missing_key, |_| auth::unknown_key()))
}

/// Reads a body of at most `limit` bytes within the body timeout of the settings.
///
/// # Errors
///
/// [`ErrorKind::TooLarge`] if it is larger, [`ErrorKind::BadRequest`] if it breaks off or takes too
/// long.
pub async fn read_body(daemon: &Daemon, incoming: Incoming, limit: usize) -> Result<Bytes> {
    within_time(daemon, body::read(incoming, limit)).await
}

/// Like [`read_body`], for the body of a request that counts as in progress.
///
/// # Errors
///
/// Also [`ErrorKind::Overloaded`] if there is no memory for it, or if it does not come on while other requests
/// need its place.
pub async fn read_request_body(
    daemon: &Daemon,
    incoming: Incoming,
    limit: usize,
    in_progress: &InProgress,
) -> Result<Bytes> {
    let arriving = in_progress.begin_body();
    let take = |bytes| arriving.take(bytes);
    let reading = body::read_within(incoming, limit, take, |bytes| arriving.record_data(bytes));
    let reading = within_time(daemon, reading);
    let lost = arriving.lost();
    pin_mut!(reading, lost);
    // A request that has lost its place counts nowhere, so that it is refused even if its body is whole by now.
    match future::select(lost, reading).await {
        Either::Left((refusal, _)) => Err(refusal),
        Either::Right((body, _)) => body,
    }
}

async fn within_time(
    daemon: &Daemon,
    reading: impl Future<Output = body::Result<Bytes>>,
) -> Result<Bytes> {
    let time = clock::millis(daemon.cfg.body_timeout_ms);
    match timeout::timeout(time, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(e @ body::Error::NoMemory)) => {
            Err(Refusal::new(ErrorKind::Overloaded, e.to_string()))
        }
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
            Err(auth::unknown_key())
        }
        Decision::Send(route) => Ok(route),
    }
}

/// Streams the answer to its reader. The request stays in progress until the reader has received
/// all of it.
///
/// An answer uses memory as long as it is read. If the request counted only while the answer is
/// written, callers that don't read could use memory without limit.
pub async fn respond(
    daemon: &Daemon,
    reader: Reader,
    in_progress: Option<Rc<InProgress>>,
) -> Result<Response<Body>> {
    let protocol = Rc::clone(&daemon.ports.callers);
    stream_answer(daemon, reader, in_progress, Some(protocol)).await
}

/// Like [`respond`], for another daemon: an answer that breaks off has nothing added to it.
pub async fn respond_verbatim(
    daemon: &Daemon,
    reader: Reader,
    in_progress: Option<Rc<InProgress>>,
) -> Result<Response<Body>> {
    stream_answer(daemon, reader, in_progress, None).await
}

async fn stream_answer(
    daemon: &Daemon,
    reader: Reader,
    in_progress: Option<Rc<InProgress>>,
    protocol: Option<Rc<dyn CallerProtocol>>,
) -> Result<Response<Body>> {
    let head = reader.head().await?;
    let send_timeout = clock::millis(daemon.cfg.body_timeout_ms);
    let body = body::streamed(|tx| async move {
        relay(reader, tx, send_timeout, protocol).await;
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
    send_timeout: Duration,
    protocol: Option<Rc<dyn CallerProtocol>>,
) {
    loop {
        match reader.next().await {
            Ok(Some(chunk)) => {
                // A caller whose connection is dead without notice never reads again. Its answer
                // would stay in memory until TCP gives up after many minutes.
                match timeout::timeout(send_timeout, tx.send_data(chunk)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return,
                    Err(_) => return tx.abort("the caller stopped reading the answer".into()),
                }
            }
            Ok(None) => return,
            // The head was sent, so only an aborted body can tell the client that the answer is
            // incomplete.
            Err(refusal) => {
                let reason = "the answer broke off";
                return match protocol.and_then(|protocol| protocol.error_chunk(&refusal)) {
                    Some(last) => body::send_and_abort(tx, last, reason).await,
                    None => tx.abort(reason.into()),
                };
            }
        }
    }
}

/// Time since the configuration was last confirmed as the newest, in milliseconds for log lines, or
/// -1 without a confirmation.
fn log_config_age(daemon: &Daemon) -> i64 {
    let age = daemon.adoption.age(MonoioClock.boot_time());
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

/// Generation of the configuration in force for log lines, or 0 without one.
fn log_generation(daemon: &Daemon) -> u64 {
    let in_force = daemon.in_force();
    in_force.map_or(0, |in_force| in_force.identity.generation)
}
