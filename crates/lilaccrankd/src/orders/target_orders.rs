//! Sends orders to engines over `POST /orders`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use lilaccrank::document::Target;
use lilaccrank::ids::TargetId;
use lilaccrank::lease::{Fence, GuardSource, LeaseHandle};
use lilaccrank::orders::{Command, Effect, Error, Order, Result, Targets};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::Connection;
use lilaccrank_http::monoio_clock::MonoioClock;
use serde::{Deserialize, Serialize};

use crate::targets::call::CONNECT_TIMEOUT;

/// Path of the orders at an engine.
const PATH: &str = "/orders";
/// Argument that ends a drain.
const DRAIN_OFF: &str = "off";
/// Longest reason of a refusal that is passed on, in bytes.
const REASON_LIMIT: usize = 4096;
/// Longest answer to an executed order that is read, in bytes.
const ANSWER_LIMIT: usize = 4096;

/// Body of an order.
#[derive(Serialize)]
struct OrderBody<'a> {
    argument: &'a str,
    fencing: Fence,
    kind: Kind,
}

/// Body of the answer to an executed order, as far as it is read.
#[derive(Deserialize)]
struct OrderAnswer {
    /// Whether the order changed the engine's state.
    changed: bool,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    ChangeRole,
    Drain,
    LoadModel,
}

/// Sends orders to the engines of one pool.
pub struct TargetOrders {
    /// Longest wait for an answer.
    answer_timeout: Duration,
    targets: Rc<RefCell<IndexMap<TargetId, Target>>>,
    lease_handle: LeaseHandle<MonoioClock>,
}

impl TargetOrders {
    /// Sends to these targets while `lease_handle` holds the lease.
    pub fn new(
        targets: Rc<RefCell<IndexMap<TargetId, Target>>>,
        answer_timeout: Duration,
        lease_handle: LeaseHandle<MonoioClock>,
    ) -> Self {
        Self {
            answer_timeout,
            targets,
            lease_handle,
        }
    }
}

impl Targets for TargetOrders {
    async fn issue(&self, target: &TargetId, order: &Order) -> Result<Effect> {
        let known = self.targets.borrow().get(target).cloned();
        let unreachable = || Error::Unreachable(target.clone());
        let address = known.ok_or_else(unreachable)?.address;
        let req = request(order);
        // Opens a new connection: an idle one may be dead without notice, and whether an order sent
        // on it was received would be unknown.
        let connected = Connection::open(&address, CONNECT_TIMEOUT).await;
        let mut connection = connected.map_err(|_| unreachable())?;
        // The process may have been paused while connecting, for longer than its lease. Only the
        // time between this check and the sending of the bytes is not covered; see
        // docs/COORDINATION.md.
        self.lease_handle.guard_for(order.fence)?;
        let sent = connection.send(req, self.answer_timeout).await;
        let res = sent.map_err(|_| Error::Unknown(target.clone()))?;
        let status = res.status();
        if status.is_success() {
            return Ok(read_effect(res).await);
        }
        if status == StatusCode::CONFLICT {
            return Err(Error::Superseded {
                fence: order.fence,
                target: target.clone(),
            });
        }
        if status.is_server_error() {
            return Err(Error::Unknown(target.clone()));
        }
        let reason = body::read(res.into_body(), REASON_LIMIT).await;
        Err(Error::Refused {
            reason: reason.map_or_else(
                |_| status.to_string(),
                |reason| String::from_utf8_lossy(&reason).into_owned(),
            ),
            target: target.clone(),
        })
    }
}

/// Reads what the order has done. An engine need not tell; the order may then have changed its state.
async fn read_effect(res: Response<Incoming>) -> Effect {
    let body = body::read(res.into_body(), ANSWER_LIMIT).await;
    let answer = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok());
    match answer {
        Some(OrderAnswer { changed: false }) => Effect::Unchanged,
        _ => Effect::Changed,
    }
}

fn request(order: &Order) -> Request<Body> {
    let role;
    let (kind, argument) = match &order.command {
        Command::Drain => (Kind::Drain, ""),
        Command::LoadModel { model } => (Kind::LoadModel, model.as_str()),
        Command::Resume => (Kind::Drain, DRAIN_OFF),
        Command::SetRole { role: new_role } => {
            role = new_role.to_string();
            (Kind::ChangeRole, role.as_str())
        }
    };
    let order_body = OrderBody {
        argument,
        fencing: order.fence,
        kind,
    };
    let json = serde_json::to_vec(&order_body).expect("a flat record always serialises");
    let mut req = Request::new(body::full(json));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = hyper::Uri::from_static(PATH);
    let headers = req.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(HOST, HeaderValue::from_static("target"));
    req
}
