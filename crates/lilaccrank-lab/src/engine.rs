//! Stand-in for a model engine: continuous batching by step time, arrival order, a bounded
//! prefix cache, late and gappy reports, orders, and faults on request.

mod batch;
pub(crate) mod cache;
pub(crate) mod cache_events;
mod completion;
mod load;
mod log;
mod orders;
mod serving;
mod sse;
mod state;
mod stream;

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lilaccrank_http::body::Body;
use lilaccrank_http::runtime;
use serde::Deserialize;

use crate::reply;
use crate::stand_in::{self, Listen};

use orders::{Fencing, Order};
use state::Engine;

/// Largest request body.
const BODY_LIMIT: usize = 16 << 20;

/// Settings of an engine stand-in.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Blocks of prefixes that the cache holds.
    #[arg(long, default_value_t = 512)]
    cache_blocks: usize,
    /// Delay until a cache event is published.
    #[arg(long, default_value_t = 200)]
    event_delay_ms: u64,
    /// Share of cache events that are never published.
    #[arg(long, default_value_t = 0.05)]
    event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    #[arg(long, value_enum, default_value_t = Fencing::Checked)]
    fencing: Fencing,
    #[command(flatten)]
    listen: Listen,
    /// Entries kept in the log; past it the oldest go.
    #[arg(long, default_value_t = stand_in::LOG_LIMIT)]
    log_limit: usize,
    /// Models that it serves; may be given more than once.
    #[arg(long, default_value = "lab")]
    model: Vec<String>,
    /// Tokens of prompts that it reads each second.
    #[arg(long, default_value_t = 8000.0)]
    prefill_tokens_per_s: f64,
    /// Age of the load that it reports.
    #[arg(long, default_value_t = 500)]
    report_lag_ms: u64,
    /// Seed of the losses.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Requests that run at the same time.
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// Factor on all its times: 2 is half as fast.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Time of one step with one running request.
    #[arg(long, default_value_t = 6.0)]
    step_ms: f64,
}

/// Body of `POST /control`.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Control {
    break_after: Option<usize>,
    hang: Option<bool>,
    leaving: Option<bool>,
    nonsense: Option<bool>,
    pause_s: Option<f64>,
    speed: Option<f64>,
}

/// Runs an engine stand-in.
///
/// # Errors
///
/// If its address can't be bound.
pub fn run(args: Args) -> stand_in::Result<()> {
    let listen = args.listen.clone();
    let engine = Rc::new(Engine::new(args));
    runtime::block_on(async move {
        runtime::spawn(batch::run(Rc::clone(&engine)));
        let handler = move |req| handle(Rc::clone(&engine), req);
        listen.serve(handler).await
    })?
}

async fn handle(engine: Rc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let mut res = answer(Rc::clone(&engine), req).await;
    if engine.faults.leaving.get() {
        reply::say_leaving(&mut res);
    }
    res
}

async fn answer(engine: Rc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    if let Some(id) = path.strip_prefix("/v1/streams/") {
        return stream_resource(&engine, id, &req).await;
    }
    match (req.method(), path.as_str()) {
        (&Method::GET, "/cache-events") => {
            engine.unhung().await;
            let after = reply::query_number(req.uri(), "after").unwrap_or(0);
            reply::ok(&engine.state().cache_events.published(after))
        }
        (&Method::GET, "/load") => {
            engine.unhung().await;
            reply::ok(&engine.state().load.reported())
        }
        (&Method::GET, "/log") => reply::ok(&engine.state().log.entries()),
        (&Method::GET, "/orders") => reply::ok(&engine.state().orders.list()),
        (&Method::GET, "/turned-away") => reply::ok(&engine.state().turned_away_at_ms),
        (&Method::GET, "/v1/models") => reply::ok(&engine.state().models()),
        (&Method::POST, "/control") => control(&engine, req).await,
        (&Method::POST, "/orders") => order(&engine, req).await,
        (&Method::POST, completion::TEXT_PATH | completion::CHAT_PATH) => {
            serving::complete(engine, req).await
        }
        _ => reply::error(StatusCode::NOT_FOUND, "no such resource"),
    }
}

async fn stream_resource(engine: &Rc<Engine>, id: &str, req: &Request<Incoming>) -> Response<Body> {
    engine.unhung().await;
    match *req.method() {
        Method::DELETE if engine.cancel(id) => reply::empty(StatusCode::OK),
        Method::GET => {
            let from = reply::query_number(req.uri(), "from").unwrap_or(0);
            serving::resume(engine, id, usize::try_from(from).unwrap_or(usize::MAX))
        }
        _ => reply::error(StatusCode::NOT_FOUND, "no such stream"),
    }
}

async fn order(engine: &Engine, req: Request<Incoming>) -> Response<Body> {
    engine.unhung().await;
    match reply::read_json::<Order>(req, BODY_LIMIT).await {
        Ok(order) => engine.state().obey(order),
        Err(refusal) => *refusal,
    }
}

async fn control(engine: &Engine, req: Request<Incoming>) -> Response<Body> {
    let control = match reply::read_json::<Control>(req, BODY_LIMIT).await {
        Ok(control) => control,
        Err(refusal) => return *refusal,
    };
    let faults = &engine.faults;
    if let Some(tokens) = control.break_after {
        faults.break_after.set(Some(tokens));
    }
    if let Some(hang) = control.hang {
        faults.hang.set(hang);
    }
    if let Some(leaving) = control.leaving {
        faults.leaving.set(leaving);
    }
    if let Some(nonsense) = control.nonsense {
        faults.nonsense.set(nonsense);
    }
    if let Some(pause_s) = control.pause_s {
        faults.pause_s.set(pause_s);
    }
    if let Some(speed) = control.speed {
        faults.speed.set(speed);
    }
    engine.changed.notify();
    reply::empty(StatusCode::OK)
}
