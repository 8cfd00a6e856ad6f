//! Operators' orders to targets.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lilaccrank::document::{Pool, PoolKind};
use lilaccrank::error_kind::{ErrorKind, Ran};
use lilaccrank_http::body::{self, Body};
use serde_json::json;

use crate::callers::json_response;
use crate::daemon::Daemon;
use crate::order_message::{OperatorOrder, OrderOutcome, OrderRequest};
use crate::order_relay;
use crate::refusal::{Refusal, Result};

/// Path of the orders.
pub const PATH: &str = "/v1/orders";
/// Largest order in bytes.
const LIMIT: usize = 64 << 10;

/// Answers `POST /v1/orders`: 200 with `done`, 409 with `refused`, 504 with `unknown`.
pub async fn handle(daemon: &Rc<Daemon>, req: Request<Incoming>) -> Response<Body> {
    match give(daemon, req).await {
        Ok(outcome) => {
            let mut res = json_response(&json!(outcome));
            *res.status_mut() = match outcome {
                OrderOutcome::Done => StatusCode::OK,
                OrderOutcome::Refused { .. } => StatusCode::CONFLICT,
                OrderOutcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            };
            res
        }
        Err(refusal) => refusal.response(),
    }
}

async fn give(daemon: &Rc<Daemon>, req: Request<Incoming>) -> Result<OrderOutcome> {
    let in_force = daemon.in_force()?;
    let operator = in_force.keys.operator(req.headers())?.id.clone();
    let order = read(daemon, req.into_body()).await?;
    let command = order.command().ok_or_else(|| {
        let hint = "argument: give the model, or one of the roles both, decode and prefill";
        Refusal::new(ErrorKind::BadRequest, hint)
    })?;
    let pools = &in_force.document.pools;
    let pool = pools.iter().find(|pool| has_target(daemon, pool, &order));
    let pool = pool.ok_or_else(|| {
        let hint = "target: no engine of this data centre has this name";
        Refusal::new(ErrorKind::NotFound, hint)
    })?;
    log::info!("operator {operator} orders {command} of {}", order.target);
    let req = OrderRequest {
        attempt: rand::random(),
        command,
        id: order.id,
        pool: pool.id.clone(),
        target: order.target,
        token: None,
    };
    Ok(order_relay::give(daemon, req).await)
}

async fn read(daemon: &Daemon, incoming: Incoming) -> Result<OperatorOrder> {
    let limit = Duration::from_millis(daemon.cfg.body_timeout_ms);
    let reading = monoio::time::timeout(limit, body::read(incoming, LIMIT)).await;
    let bad = |message: String| Refusal::new(ErrorKind::BadRequest, message).ran(Ran::No);
    let buf = reading
        .map_err(|_| bad("the body did not come in time".to_owned()))?
        .map_err(|e| bad(format!("the body can't be read: {e}")))?;
    let order: OperatorOrder =
        serde_json::from_slice(&buf).map_err(|e| bad(format!("not an order: {e}")))?;
    if order.id.is_empty() {
        return Err(bad("id: give each order a name of its own".to_owned()));
    }
    Ok(order)
}

fn has_target(daemon: &Daemon, pool: &Pool, order: &OperatorOrder) -> bool {
    let here = &daemon.cfg.data_centre;
    pool.kind == PoolKind::Engine
        && pool
            .targets
            .iter()
            .any(|target| target.id == order.target && target.data_centre == *here)
}
