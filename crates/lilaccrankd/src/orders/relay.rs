//! Passes an operator's order on to the daemon that issues orders to the target's pool.

use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::operators::OrderOutcome;
use lilaccrank::peers::{self, Peers};
use lilaccrank::request_key::{MemberRef, Ranking};

use crate::daemon::Daemon;
use crate::orders::jobs;
use crate::orders::message::{OrderReply, OrderRequest};

/// Interval at which a running order is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Submits an order and waits for its outcome, up to the longest time that an order may take.
pub async fn submit(daemon: &Rc<Daemon>, mut req: OrderRequest) -> OrderOutcome {
    let deadline = Instant::now() + daemon.order_manager.timeouts.max_order_duration();
    // The daemon that may have started the order.
    let mut started_on: Option<MemberRef> = None;
    loop {
        // When the duty moves to another daemon, only the one that started the order knows its
        // outcome; the other would run it again.
        let previous = started_on
            .clone()
            .filter(|previous| daemon.duties.is_live(previous));
        let Some(holder) = previous.or_else(|| daemon.duties.dispatcher(&req.pool)) else {
            return failure(&started_on, None, "no daemon has the duty".to_owned());
        };
        match send(daemon, &holder, &req).await {
            Ok(OrderReply::Ended(OrderOutcome::Refused { reason })) => {
                return failure(&started_on, Some(&holder), reason);
            }
            Ok(OrderReply::Ended(outcome)) => return outcome,
            Ok(OrderReply::Confirm { token }) if req.token != Some(token) => {
                req.token = Some(token);
                continue;
            }
            Ok(OrderReply::UnderWay) => {
                started_on.get_or_insert(holder);
            }
            Err(peers::Error::NoAnswer(_)) if req.token.is_some() => {
                started_on.get_or_insert(holder);
            }
            Ok(OrderReply::Confirm { .. } | OrderReply::Declined) | Err(_) => {}
        }
        if Instant::now() >= deadline {
            return failure(
                &started_on,
                None,
                "no daemon has told the end in time".to_owned(),
            );
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn send(
    daemon: &Rc<Daemon>,
    holder: &MemberRef,
    req: &OrderRequest,
) -> peers::Result<OrderReply> {
    if *holder == daemon.duties.me() {
        return Ok(jobs::handle(daemon, req.clone()));
    }
    daemon.peers.call(&holder.vm, req.clone()).await
}

/// Returns `Unknown` if another daemon than the refusing one may have started the order: a daemon
/// knows only that it sent nothing itself.
fn failure(started_on: &Option<MemberRef>, by: Option<&MemberRef>, reason: String) -> OrderOutcome {
    match started_on {
        Some(previous) if by != Some(previous) => OrderOutcome::Unknown { reason },
        _ => OrderOutcome::Refused { reason },
    }
}
