//! The entry's side of the pools: asks the dispatcher of a pool and tells it what happens.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::{self, Either};
use futures::pin_mut;
use indexmap::IndexMap;
use lilaccrank::dispatch::message::{
    Ask, Cancel, Entry, Grant, Outcome, Refuse, Report, ReportKind, Resync, Running, Verdict,
};
use lilaccrank::ids::{PoolId, RequestId, TargetId};
use lilaccrank::peers::Peers;
use lilaccrank::request_key::{MemberRef, Ranking};

use crate::daemon::Daemon;
use crate::peer_message::{PoolMessage, PoolReply, PoolRequest};
use crate::pool_server;

/// An ask without a verdict is repeated after this long. A verdict may be lost with a connection
/// that dies; repeating an ask with its number gives the same verdict again.
const ASK_AGAIN: Duration = Duration::from_secs(3);
/// Wait before another try to reach a dispatcher; the members may be about to change.
const PLACE_AGAIN: Duration = Duration::from_millis(50);

/// What this daemon has with the pools.
#[derive(Default)]
pub struct PoolClient {
    dispatchers: RefCell<IndexMap<PoolId, MemberRef>>,
    me: RefCell<Option<MemberRef>>,
    requests: RefCell<IndexMap<RequestId, Outstanding>>,
    waiting: RefCell<IndexMap<PoolId, usize>>,
}

struct Outstanding {
    ask: Ask,
    deadline: Option<Instant>,
    /// The dispatcher last asked; only its grant of the last ask counts.
    dispatcher: Option<MemberRef>,
    pool: PoolId,
    running: Option<RunningOn>,
    verdict: Option<oneshot::Sender<Verdict>>,
    wait_until: Option<Instant>,
}

struct RunningOn {
    decoded: Option<u32>,
    target: TargetId,
}

/// A used grant; dropping it without [`ended`](Self::ended) returns it unused.
pub struct Held {
    ask: u64,
    daemon: Rc<Daemon>,
    ended: bool,
    pool: PoolId,
    request: RequestId,
    /// Where the request may be sent.
    pub target: TargetId,
}

/// Asks for a target and waits for the verdict. Dropping the future takes the ask back.
///
/// # Errors
///
/// The dispatcher's refusal.
pub async fn ask(daemon: &Rc<Daemon>, pool: &PoolId, ask: Ask) -> Result<Held, Refuse> {
    let request = ask.request.clone();
    let (tx, mut rx) = oneshot::channel();
    daemon.pool_client.insert(pool, ask, tx);
    let mut waiting = WaitingAsk {
        daemon,
        pool,
        request: &request,
        settled: false,
    };
    let verdict = loop {
        place(daemon, &request).await;
        let again = monoio::time::sleep(ASK_AGAIN);
        pin_mut!(again);
        match future::select(&mut rx, again).await {
            Either::Left((verdict, _)) => break verdict,
            Either::Right(_) => {}
        }
    };
    waiting.settled = true;
    match verdict {
        Ok(Verdict::Grant(grant)) => Ok(held(daemon, pool, grant)),
        Ok(Verdict::Refuse(refuse)) => {
            daemon.pool_client.remove(&request);
            Err(refuse)
        }
        Err(_) => {
            daemon.pool_client.remove(&request);
            Err(Refuse {
                ask: 0,
                kind: lilaccrank::error_kind::ErrorKind::Internal,
                request: request.clone(),
                retry_after: None,
            })
        }
    }
}

fn held(daemon: &Rc<Daemon>, pool: &PoolId, grant: Grant) -> Held {
    Held {
        ask: grant.ask,
        daemon: Rc::clone(daemon),
        ended: false,
        pool: pool.clone(),
        request: grant.request,
        target: grant.target,
    }
}

/// Takes an ask back when its caller stops waiting.
struct WaitingAsk<'a> {
    daemon: &'a Rc<Daemon>,
    pool: &'a PoolId,
    request: &'a RequestId,
    settled: bool,
}

impl Drop for WaitingAsk<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        if let Some(ask) = self.daemon.pool_client.remove(self.request) {
            let cancel = Cancel {
                ask: ask.ask,
                request: ask.request,
            };
            tell(self.daemon, self.pool, PoolMessage::Cancel(cancel));
        }
    }
}

impl Held {
    /// Tells what was seen of the request.
    pub fn report(&self, kind: ReportKind) {
        self.daemon.pool_client.note(&self.request, &kind);
        let report = Report {
            ask: self.ask,
            kind,
            request: self.request.clone(),
            target: self.target.clone(),
        };
        tell(&self.daemon, &self.pool, PoolMessage::Report(report));
    }

    /// Gives the slot back.
    pub fn ended(mut self, outcome: Outcome, decoded: u32, prefill: Option<u32>) {
        self.end(outcome, decoded, prefill);
    }

    fn end(&mut self, outcome: Outcome, decoded: u32, prefill: Option<u32>) {
        self.ended = true;
        self.report(ReportKind::Ended {
            decoded,
            outcome,
            prefill,
        });
        self.daemon.pool_client.remove(&self.request);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Outcome::Unused, 0, None);
        }
    }
}

/// Sends the ask to the pool's dispatcher, until one takes it.
async fn place(daemon: &Rc<Daemon>, request: &RequestId) {
    loop {
        let Some((pool, dispatcher, ask)) = daemon.pool_client.next_ask(daemon, request) else {
            return;
        };
        let message = PoolMessage::Ask(ask);
        if let Some(PoolReply::Accepted { waiting }) =
            send(daemon, &dispatcher, &pool, message).await
        {
            daemon
                .pool_client
                .waiting
                .borrow_mut()
                .insert(pool, waiting);
            return;
        }
        monoio::time::sleep(PLACE_AGAIN).await;
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
        return Some(pool_server::handle(daemon, req));
    }
    daemon.peers.call(&dispatcher.vm, req).await.ok()
}

/// Sends a message to the present dispatcher of a pool, once. What is lost here is told again
/// by the next resync, or lapses at the dispatcher.
fn tell(daemon: &Rc<Daemon>, pool: &PoolId, message: PoolMessage) {
    let Some(dispatcher) = daemon.duties.dispatcher(pool) else {
        return;
    };
    let daemon = Rc::clone(daemon);
    let pool = pool.clone();
    monoio::spawn(async move {
        send(&daemon, &dispatcher, &pool, message).await;
    });
}

/// Takes in a verdict; whether a grant is used.
pub fn on_verdict(daemon: &Daemon, from: &MemberRef, verdict: Verdict) -> bool {
    let (request, number) = match &verdict {
        Verdict::Grant(grant) => (&grant.request, grant.ask),
        Verdict::Refuse(refuse) => (&refuse.request, refuse.ask),
    };
    let mut requests = daemon.pool_client.requests.borrow_mut();
    let Some(outstanding) = requests.get_mut(request) else {
        return false;
    };
    // A dispatcher that was frozen or cut off may still grant what it was asked before another
    // took over; both grants would send the request twice. Only the last one asked counts.
    if outstanding.ask.ask != number || outstanding.dispatcher.as_ref() != Some(from) {
        return false;
    }
    if let (Some(running), Verdict::Grant(grant)) = (&outstanding.running, &verdict) {
        return running.target == grant.target;
    }
    let Some(tx) = outstanding.verdict.take() else {
        return false;
    };
    if let Verdict::Grant(grant) = &verdict {
        outstanding.running = Some(RunningOn {
            decoded: None,
            target: grant.target.clone(),
        });
    }
    tx.send(verdict).is_ok()
}

/// Tells the new dispatcher of each pool what this daemon has with it, whenever dispatchers or
/// this daemon's own life change.
pub fn rebalance(daemon: &Rc<Daemon>) {
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    let me = daemon.duties.me();
    let new_life = daemon.pool_client.me.replace(Some(me.clone())) != Some(me);
    for pool in &in_force.document.pools {
        let Some(dispatcher) = daemon.duties.dispatcher(&pool.id) else {
            continue;
        };
        let mut dispatchers = daemon.pool_client.dispatchers.borrow_mut();
        let known = dispatchers.insert(pool.id.clone(), dispatcher.clone());
        drop(dispatchers);
        if known.as_ref() != Some(&dispatcher) || new_life {
            monoio::spawn(resync(Rc::clone(daemon), pool.id.clone(), dispatcher));
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
        monoio::time::sleep(PLACE_AGAIN).await;
    }
}

impl PoolClient {
    /// Requests that wait in a pool, as its dispatcher said last.
    pub fn waiting(&self) -> IndexMap<PoolId, usize> {
        self.waiting.borrow().clone()
    }

    fn insert(&self, pool: &PoolId, ask: Ask, verdict: oneshot::Sender<Verdict>) {
        let now = Instant::now();
        let outstanding = Outstanding {
            deadline: ask.deadline.map(|left| now + left),
            dispatcher: None,
            pool: pool.clone(),
            running: None,
            verdict: Some(verdict),
            wait_until: ask.wait_at_most.map(|left| now + left),
            ask,
        };
        let request = outstanding.ask.request.clone();
        self.requests.borrow_mut().insert(request, outstanding);
    }

    fn remove(&self, request: &RequestId) -> Option<Ask> {
        let removed = self.requests.borrow_mut().swap_remove(request);
        removed.map(|outstanding| outstanding.ask)
    }

    fn note(&self, request: &RequestId, kind: &ReportKind) {
        let mut requests = self.requests.borrow_mut();
        let Some(running) = requests.get_mut(request).and_then(|r| r.running.as_mut()) else {
            return;
        };
        match kind {
            ReportKind::FirstToken { .. } => running.decoded = Some(1),
            ReportKind::Progress { tokens, .. } => {
                running.decoded = Some(running.decoded.unwrap_or(0) + tokens);
            }
            ReportKind::Began | ReportKind::Ended { .. } => {}
        }
    }

    /// The ask to send now and to whom; `None` once there is a verdict.
    fn next_ask(&self, daemon: &Daemon, request: &RequestId) -> Option<(PoolId, MemberRef, Ask)> {
        let mut requests = self.requests.borrow_mut();
        let outstanding = requests.get_mut(request)?;
        outstanding.verdict.as_ref()?;
        let dispatcher = daemon.duties.dispatcher(&outstanding.pool)?;
        outstanding.address_to(&dispatcher, &daemon.duties.me());
        let ask = outstanding.ask.clone();
        Some((outstanding.pool.clone(), dispatcher, ask))
    }

    fn resync(&self, daemon: &Daemon, pool: &PoolId, dispatcher: &MemberRef) -> Resync {
        let me = daemon.duties.me();
        let mut requests = self.requests.borrow_mut();
        let mut running = Vec::new();
        let mut waiting = Vec::new();
        for outstanding in requests.values_mut().filter(|r| r.pool == *pool) {
            if let Some(on) = &outstanding.running {
                running.push(Running {
                    ask: outstanding.ask.clone(),
                    decoded: on.decoded,
                    target: on.target.clone(),
                });
            } else {
                outstanding.address_to(dispatcher, &me);
                waiting.push(outstanding.ask.clone());
            }
        }
        let entry = Entry {
            incarnation: me.incarnation,
            vm: me.vm,
        };
        Resync {
            entry,
            running,
            waiting,
        }
    }
}

impl Outstanding {
    /// Makes the ask one to `dispatcher`; asking another one voids the earlier ask.
    fn address_to(&mut self, dispatcher: &MemberRef, me: &MemberRef) {
        let moved = self.dispatcher.as_ref() != Some(dispatcher);
        let new_life = self.ask.entry_incarnation != me.incarnation;
        if moved || new_life {
            self.ask.ask += 1;
            self.ask.entry_incarnation = me.incarnation;
            self.dispatcher = Some(dispatcher.clone());
        }
        let now = Instant::now();
        let left = |until: Instant| until.saturating_duration_since(now);
        self.ask.deadline = self.deadline.map(left);
        self.ask.wait_at_most = self.wait_until.map(left);
    }
}
