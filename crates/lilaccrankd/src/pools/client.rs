//! The entry's side of a pool: asks its dispatcher for targets and reports the progress of
//! requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::dispatch::message::{Refuse, Submission, Verdict};
use lilaccrank::ids::{PoolId, RequestId};
use lilaccrank::peers::Peers;
use lilaccrank::request_key::{MemberRef, Ranking};
use lilaccrank_http::runtime;

use crate::daemon::Daemon;
use crate::peers::message::{PoolMessage, PoolReply, PoolRequest};
use crate::pools::server;
use crate::pools::slot_leases::{self, Claimant};

mod held_grant;
mod outstanding;

pub use held_grant::HeldGrant;
pub use outstanding::PoolClient;

use held_grant::WaitingSubmission;

/// Interval at which a submission without a verdict is repeated. A verdict may be lost with a
/// connection that dies; a repeated submission with the same number gets the same verdict.
const SUBMIT_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Brittle targets that are tried before a request waits for a slot of one.
const ATTEMPTS_WITHOUT_WAIT: u32 = 2;
/// Delay before another attempt to reach a dispatcher, since the members may be about to change.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Asks for a target, and for a lease on one of its slots if it is brittle, until there is a verdict.
/// Dropping the future cancels the submission.
pub async fn submit(
    daemon: &Rc<Daemon>,
    pool: &PoolId,
    submission: Submission,
) -> Result<HeldGrant, Refuse> {
    let began = Instant::now();
    let mut attempt = 0;
    loop {
        let remaining = submission.after(began.elapsed());
        let (request, priority) = (remaining.request.clone(), remaining.priority());
        let deadline = remaining
            .deadline
            .and_then(|left| Instant::now().checked_add(left));
        let grant = submit_once(daemon, pool, remaining).await?;
        let claimant = Claimant {
            deadline,
            may_wait: attempt >= ATTEMPTS_WITHOUT_WAIT,
            pool,
            priority,
            request: &request,
            target: &grant.target,
        };
        let Err(retry_after) = slot_leases::acquire(daemon, &claimant).await else {
            return Ok(grant);
        };
        server::hold(daemon, pool, &grant.target, retry_after);
        drop(grant);
        if !daemon.duties.is_dispatch_local() {
            monoio::time::sleep(retry_after).await;
        }
        attempt += 1;
    }
}

/// Asks for a target and waits for the verdict.
async fn submit_once(
    daemon: &Rc<Daemon>,
    pool: &PoolId,
    submission: Submission,
) -> Result<HeldGrant, Refuse> {
    let request = submission.request.clone();
    let (tx, mut rx) = oneshot::channel();
    daemon.pool_client.insert(pool, submission, tx);
    let mut waiting = WaitingSubmission {
        daemon,
        pool,
        request: &request,
        is_decided: false,
    };
    let verdict = loop {
        send_submission(daemon, &request).await;
        let retry = monoio::time::sleep(SUBMIT_RETRY_INTERVAL);
        pin_mut!(retry);
        match future::select(&mut rx, retry).await {
            Either::Left((verdict, _)) => break verdict,
            Either::Right(_) => {}
        }
    };
    waiting.is_decided = true;
    match verdict {
        Ok(Verdict::Grant(grant)) => Ok(HeldGrant::new(daemon, pool, grant)),
        Ok(Verdict::Refuse(refuse)) => {
            daemon.pool_client.remove(&request);
            Err(refuse)
        }
        Err(_) => {
            daemon.pool_client.remove(&request);
            Err(Refuse {
                submission: 0,
                kind: lilaccrank::error_kind::ErrorKind::Internal,
                request: request.clone(),
                retry_after: None,
                unmeetable: None,
            })
        }
    }
}

/// Sends the submission to the pool's dispatcher until one accepts it.
async fn send_submission(daemon: &Rc<Daemon>, request: &RequestId) {
    loop {
        let Some((pool, dispatcher, submission)) =
            daemon.pool_client.next_submission(daemon, request)
        else {
            return;
        };
        let message = PoolMessage::Ask(submission);
        if let Some(PoolReply::Accepted { waiting }) =
            send(daemon, &dispatcher, &pool, message).await
        {
            let known = &daemon.pool_client.waiting;
            known.borrow_mut().insert(pool, waiting);
            return;
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

/// Sends a message to a dispatcher, which may be this daemon.
async fn send(
    daemon: &Rc<Daemon>,
    dispatcher: &MemberRef,
    pool: &PoolId,
    message: PoolMessage,
) -> Option<PoolReply> {
    let req = PoolRequest {
        message,
        pool: pool.clone(),
    };
    if dispatcher.vm == daemon.cfg.vm {
        return Some(server::handle(daemon, req));
    }
    daemon.peers.call(&dispatcher.vm, req).await.ok()
}

/// Sends a message to the current dispatcher of a pool, once. A lost message is made up for by the
/// next resync, or its request expires at the dispatcher.
fn notify(daemon: &Rc<Daemon>, pool: &PoolId, message: PoolMessage) {
    let Some(dispatcher) = daemon.duties.dispatcher(pool) else {
        return;
    };
    let daemon = Rc::clone(daemon);
    let pool = pool.clone();
    runtime::spawn(async move {
        send(&daemon, &dispatcher, &pool, message).await;
    });
}

/// Applies a verdict. Returns `true` if a grant is used.
pub fn on_verdict(daemon: &Daemon, from: &MemberRef, verdict: Verdict) -> bool {
    daemon.pool_client.apply_verdict(from, verdict)
}

/// Sends the requests of this daemon to the dispatcher of each pool whenever the dispatcher or this
/// daemon's incarnation has changed.
pub fn resync_dispatchers(daemon: &Rc<Daemon>) {
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    daemon.pool_client.refuse_removed(&in_force.document);
    let me = daemon.duties.me();
    let is_new_incarnation = daemon.pool_client.me.replace(Some(me.clone())) != Some(me);
    for pool in &in_force.document.pools {
        let Some(dispatcher) = daemon.duties.dispatcher(&pool.id) else {
            continue;
        };
        let mut dispatchers = daemon.pool_client.dispatchers.borrow_mut();
        let known = dispatchers.insert(pool.id.clone(), dispatcher.clone());
        drop(dispatchers);
        if known.as_ref() != Some(&dispatcher) || is_new_incarnation {
            runtime::spawn(resync(Rc::clone(daemon), pool.id.clone(), dispatcher));
        }
    }
}

async fn resync(daemon: Rc<Daemon>, pool: PoolId, dispatcher: MemberRef) {
    while daemon.duties.dispatcher(&pool).as_ref() == Some(&dispatcher) {
        let resync = daemon.pool_client.resync(&daemon, &pool, &dispatcher);
        let message = PoolMessage::Resync(resync);
        let reply = send(&daemon, &dispatcher, &pool, message).await;
        if matches!(reply, Some(PoolReply::Accepted { .. })) {
            return;
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}
