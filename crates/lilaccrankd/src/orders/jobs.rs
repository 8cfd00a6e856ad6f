//! Operators' orders that this daemon gives or has given, by their ids.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::operators::OrderOutcome;
use lilaccrank::timeline::{EventKind, Subject};

use crate::daemon::Daemon;
use crate::orders::message::{OrderReply, OrderRequest};

/// How long the outcome of an order is kept for who repeats it.
const KEPT: Duration = Duration::from_secs(600);
/// Orders kept at most.
const LIMIT: usize = 1_000;

/// Orders by id.
#[derive(Default)]
pub struct OrderJobs {
    jobs: RefCell<IndexMap<String, Job>>,
}

struct Job {
    begun: Instant,
    req: OrderRequest,
    state: State,
}

enum State {
    Ended(OrderOutcome),
    /// Waits for the token.
    Offered {
        token: u64,
    },
    Running,
}

impl Job {
    /// What a request with the same id is told; `None` if it is to be tried again.
    fn answer(&self, req: &OrderRequest) -> Option<OrderReply> {
        let same = self.req.command == req.command && self.req.target == req.target;
        if !same {
            return Some(refused("this id was used for another order"));
        }
        match &self.state {
            State::Ended(outcome) => {
                let stands = *outcome == OrderOutcome::Done || self.req.attempt == req.attempt;
                stands.then(|| OrderReply::Ended(outcome.clone()))
            }
            State::Offered { token } => Some(OrderReply::Confirm { token: *token }),
            State::Running => Some(OrderReply::UnderWay),
        }
    }

    fn is_confirmed_by(&self, req: &OrderRequest) -> bool {
        matches!(self.state, State::Offered { token } if req.token == Some(token))
            && self.req.attempt == req.attempt
    }
}

/// Begins an order that is asked for with its token, or tells how it is getting on.
pub fn answer(daemon: &Rc<Daemon>, req: OrderRequest) -> OrderReply {
    let mut all = daemon.order_keeper.jobs.jobs.borrow_mut();
    if let Some(job) = all.get_mut(&req.id) {
        if job.is_confirmed_by(&req) {
            job.state = State::Running;
            monoio::spawn(run(Rc::clone(daemon), req));
            return OrderReply::UnderWay;
        }
        if let Some(reply) = job.answer(&req) {
            return reply;
        }
    }
    if daemon.order_keeper.on_duty(&req.pool).is_none() {
        return OrderReply::Declined;
    }
    all.retain(|_, job| matches!(job.state, State::Running) || job.begun.elapsed() < KEPT);
    if all.len() >= LIMIT {
        return refused("too many orders are kept; try again later");
    }
    let token = rand::random();
    let job = Job {
        begun: Instant::now(),
        req: req.clone(),
        state: State::Offered { token },
    };
    all.insert(req.id, job);
    OrderReply::Confirm { token }
}

async fn run(daemon: Rc<Daemon>, req: OrderRequest) {
    log::info!("order {} to {} begins: {}", req.id, req.target, req.command);
    let outcome = give(&daemon, &req).await;
    log::info!("order {} to {} ended: {outcome:?}", req.id, req.target);
    let subject = Subject {
        detail: format!("{}, id {}: {outcome:?}", req.command, req.id),
        target: Some(req.target.clone()),
        ..Subject::default()
    };
    daemon.record(EventKind::Ordered, subject);
    let mut all = daemon.order_keeper.jobs.jobs.borrow_mut();
    if let Some(job) = all.get_mut(&req.id) {
        job.state = State::Ended(outcome);
    }
}

async fn give(daemon: &Daemon, req: &OrderRequest) -> OrderOutcome {
    let pool_orders = daemon.order_keeper.on_duty(&req.pool);
    let target = pool_orders.and_then(|it| it.target(&req.target).map(|target| (it, target)));
    let Some((pool_orders, target)) = target else {
        return OrderOutcome::Refused {
            reason: "the target is no longer in the pool; nothing was sent".to_owned(),
        };
    };
    let given = pool_orders.give(&target, &req.id, req.command.clone());
    given.await.into()
}

fn refused(reason: &str) -> OrderReply {
    OrderReply::Ended(OrderOutcome::Refused {
        reason: reason.to_owned(),
    })
}
