//! Operators' orders to targets.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lilaccrank::document::{Pool, PoolKind};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::operators::{OperatorOrder, OrderOutcome};
use lilaccrank_http::body::Body;

use super::error::Result;
use super::json;
use crate::callers::refusal::Refusal;
use crate::daemon::Daemon;
use crate::orders::message::OrderRequest;
use crate::orders::relay;

/// Handles an order. Responds with 200 for `done`, 409 for `refused` and 504 for `unknown`.
pub async fn handle(daemon: &Rc<Daemon>, req: Request<Incoming>) -> Response<Body> {
    let answered = answer(daemon, req).await;
    answered.unwrap_or_else(|e| e.response())
}

async fn answer(daemon: &Rc<Daemon>, req: Request<Incoming>) -> Result<Response<Body>> {
    let (head, incoming) = req.into_parts();
    let operator = super::authenticate(daemon, &head.headers)?.id;
    let order = json::read(daemon, incoming).await?;
    let outcome = submit_order(daemon, &operator, order).await?;
    let mut res = json::reply(&outcome)?;
    *res.status_mut() = match outcome {
        OrderOutcome::Done => StatusCode::OK,
        OrderOutcome::Refused { .. } => StatusCode::CONFLICT,
        OrderOutcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Ok(res)
}

async fn submit_order(
    daemon: &Rc<Daemon>,
    operator: &str,
    order: OperatorOrder,
) -> Result<OrderOutcome> {
    if order.id.is_empty() {
        let hint = "id: give each order a name of its own";
        return Err(Refusal::new(ErrorKind::BadRequest, hint).into());
    }
    let command = order.command().ok_or_else(|| {
        let hint = "argument: give the model, or one of the roles both, decode and prefill";
        Refusal::new(ErrorKind::BadRequest, hint)
    })?;
    let in_force = daemon.in_force()?;
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
    Ok(relay::submit(daemon, req).await)
}

fn has_target(daemon: &Daemon, pool: &Pool, order: &OperatorOrder) -> bool {
    let here = &daemon.cfg.data_centre;
    pool.kind == PoolKind::Engine
        && pool
            .targets
            .iter()
            .any(|target| target.id == order.target && target.data_centre == *here)
}
