//! Operators' orders that this daemon runs or has run, by id.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::operators::OrderOutcome;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::runtime;

use crate::daemon::Daemon;
use crate::orders::message::{OrderReply, OrderRequest};

/// How long the outcome of an order is kept for repeated requests.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of orders kept.
const MAX_JOBS: usize = 1_000;

/// Operators' orders by id.
#[derive(Default)]
pub struct OrderJobs {
    jobs: RefCell<IndexMap<String, Job>>,
}

struct Job {
    created: Instant,
    req: OrderRequest,
    state: State,
}

enum State {
    Ended(OrderOutcome),
    /// Waits for the request that carries the token.
    AwaitingConfirmation {
        token: u64,
    },
    Running,
}

impl Job {
    /// Returns the reply to a request with the same id; `None` if the order is to be tried again.
    fn reply_to(&self, req: &OrderRequest) -> Option<OrderReply> {
        let is_same_order = self.req.command == req.command && self.req.target == req.target;
        if !is_same_order {
            return Some(refused("this id was used for another order"));
        }
        match &self.state {
            State::Ended(outcome) => {
                let is_final = *outcome == OrderOutcome::Done || self.req.attempt == req.attempt;
                is_final.then(|| OrderReply::Ended(outcome.clone()))
            }
            State::AwaitingConfirmation { token } => Some(OrderReply::Confirm { token: *token }),
            State::Running => Some(OrderReply::UnderWay),
        }
    }

    fn is_confirmed_by(&self, req: &OrderRequest) -> bool {
        matches!(self.state, State::AwaitingConfirmation { token } if req.token == Some(token))
            && self.req.attempt == req.attempt
    }
}

/// Starts an order once its request carries the token, or replies with its present state.
pub fn handle(daemon: &Rc<Daemon>, req: OrderRequest) -> OrderReply {
    let mut all = daemon.order_manager.jobs.jobs.borrow_mut();
    if let Some(job) = all.get_mut(&req.id) {
        if job.is_confirmed_by(&req) {
            job.state = State::Running;
            runtime::spawn(run(Rc::clone(daemon), req));
            return OrderReply::UnderWay;
        }
        if let Some(reply) = job.reply_to(&req) {
            return reply;
        }
    }
    if daemon.order_manager.active_orders(&req.pool).is_none() {
        return OrderReply::Declined;
    }
    all.retain(|_, job| matches!(job.state, State::Running) || job.created.elapsed() < RETENTION);
    if all.len() >= MAX_JOBS {
        return refused("too many orders are kept; try again later");
    }
    let token = rand::random();
    let job = Job {
        created: Instant::now(),
        req: req.clone(),
        state: State::AwaitingConfirmation { token },
    };
    all.insert(req.id, job);
    OrderReply::Confirm { token }
}

async fn run(daemon: Rc<Daemon>, req: OrderRequest) {
    log::info!("order {} to {} begins: {}", req.id, req.target, req.command);
    let outcome = issue(&daemon, &req).await;
    log::info!("order {} to {} ended: {outcome:?}", req.id, req.target);
    let subject = Subject {
        detail: format!("{}, id {}: {outcome:?}", req.command, req.id),
        target: Some(req.target.clone()),
        ..Subject::default()
    };
    daemon.record(EventKind::Ordered, subject);
    let mut all = daemon.order_manager.jobs.jobs.borrow_mut();
    if let Some(job) = all.get_mut(&req.id) {
        job.state = State::Ended(outcome);
    }
}

async fn issue(daemon: &Daemon, req: &OrderRequest) -> OrderOutcome {
    let pool_orders = daemon.order_manager.active_orders(&req.pool);
    let target = pool_orders.and_then(|it| it.target(&req.target).map(|target| (it, target)));
    let Some((pool_orders, target)) = target else {
        return OrderOutcome::Refused {
            reason: "the target is no longer in the pool; nothing was sent".to_owned(),
        };
    };
    let result = pool_orders.issue(&target, &req.id, req.command.clone());
    result.await.into()
}

fn refused(reason: &str) -> OrderReply {
    OrderReply::Ended(OrderOutcome::Refused {
        reason: reason.to_owned(),
    })
}
