//! Leases on the slots of brittle targets, at their holders: the daemons that own the requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use indexmap::IndexMap;
use lilaccrank::dispatch::message::Outcome;
use lilaccrank::dispatch::queue::Priority;
use lilaccrank::ids::{PoolId, RequestId, VmId};
use lilaccrank::peers::Peers;
use lilaccrank::request_key::{MemberRef, Ranking};
use lilaccrank::slot_leases::{Decision, LeaseId, LeaseRequest, Release};
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};
use lilaccrank_http::runtime;
use lilaccrank_http::timeout;
use xxhash_rust::xxh3;

use crate::daemon::Daemon;
use crate::peers::message::{SlotReply, SlotRequest};
use crate::pools::server;

mod arbiter;

pub use arbiter::{ArbiterState, handle, members_changed, run};

/// Result of acquiring a lease; the error is the time for which the target gets no more requests.
pub type Result<T, E = Duration> = std::result::Result<T, E>;

/// Longest time until the arbiter decides. A live one answers in milliseconds.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for a free slot. Another target may have become free meanwhile.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a target whose arbiter is silent gets no more requests of this daemon.
const SILENT_ARBITER_RETRY: Duration = Duration::from_millis(100);
/// Time for which a target gets no more requests of this daemon after one has waited in vain.
const FULL_TARGET_RETRY: Duration = Duration::from_millis(20);
/// Time in which a target notices that a request was cancelled and frees its slot.
const CANCELLATION_TIME: Duration = Duration::from_millis(50);
/// Attempts to deliver a release. A lost one holds the slot until the lease expires.
const RELEASE_ATTEMPTS: u32 = 3;
/// Delay between two attempts.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Leases that this daemon holds or waits for.
#[derive(Default)]
pub struct SlotLeases {
    count: Cell<u64>,
    leases: RefCell<IndexMap<RequestId, Lease>>,
}

struct Lease {
    arbiter: VmId,
    /// Set while the request waits for the lease.
    granted: Option<oneshot::Sender<()>>,
    /// This daemon, as the arbiter knows it.
    holder: MemberRef,
    id: LeaseId,
    target: InstanceDigest,
}

/// Request that needs a lease on a slot of its target.
pub struct Claimant<'a> {
    /// Time at which the request is due.
    pub deadline: Option<Instant>,
    /// Pool of the target.
    pub pool: &'a PoolId,
    /// Priority of the request.
    pub priority: Priority,
    /// Id of the request.
    pub request: &'a RequestId,
    /// Set if it may wait for a slot of the target. Others may have free ones.
    pub may_wait: bool,
    /// The target.
    pub target: &'a TargetInstance,
}

impl SlotLeases {
    /// Id of a new lease. A request that asks again after it has given up waiting must not lose the new
    /// lease by its withdrawal of the old one.
    fn next_id(&self, request: &RequestId) -> LeaseId {
        let number = self.count.get() + 1;
        self.count.set(number);
        xxh3::xxh3_64_with_seed(request.as_bytes(), number)
    }

    fn count(&self, target: InstanceDigest) -> u32 {
        let leases = self.leases.borrow();
        let on_target = leases.values().filter(|lease| lease.target == target);
        u32::try_from(on_target.count()).unwrap_or(u32::MAX)
    }

    /// Ends the wait for a lease that has been granted. A request that has been withdrawn is on its
    /// way to the arbiter.
    fn grant(&self, id: LeaseId) {
        let mut leases = self.leases.borrow_mut();
        let lease = leases.values_mut().find(|lease| lease.id == id);
        if let Some(tx) = lease.and_then(|lease| lease.granted.take()) {
            // The receiver may have been dropped, and returns the lease then.
            let _ = tx.send(());
        }
    }
}

impl Claimant<'_> {
    /// Builds the message to the arbiter; `None` if the target is sound.
    fn lease_request(&self, daemon: &Daemon, is_running: bool) -> Option<LeaseRequest> {
        let digest = self.target.digest();
        let limit = daemon.pool_server.brittle_limit(digest)?;
        let target = daemon.target(self.pool, self.target)?;
        let now = Instant::now();
        Some(LeaseRequest {
            holder: daemon.duties.me(),
            id: daemon.slot_leases.next_id(self.request),
            is_running,
            limit,
            may_wait: self.may_wait,
            priority: self.priority,
            slots: target.slots,
            target: digest,
            term: self
                .deadline
                .map(|deadline| deadline.saturating_duration_since(now)),
        })
    }
}

/// Acquires a lease for a request that has been granted this target. Sound targets need none.
///
/// # Errors
///
/// The target has no free slot, and gets no more requests for the returned time.
pub async fn acquire(daemon: &Rc<Daemon>, claimant: &Claimant<'_>) -> Result<()> {
    let Some(req) = claimant.lease_request(daemon, false) else {
        return Ok(());
    };
    let (id, target) = (req.id, req.target);
    let arbiter = arbiter::arbiter_of(daemon, target);
    let (tx, rx) = oneshot::channel();
    let lease = Lease {
        arbiter: arbiter.clone(),
        granted: Some(tx),
        holder: req.holder.clone(),
        id,
        target,
    };
    let request = claimant.request.clone();
    daemon
        .slot_leases
        .leases
        .borrow_mut()
        .insert(request, lease);
    let deciding = request_lease(daemon, &arbiter, req);
    let decision = timeout::timeout(DECISION_TIMEOUT, deciding).await;
    let decision = decision.ok().flatten();
    let retry_after = match decision {
        Some(Decision::Granted) => {
            daemon.slot_leases.grant(id);
            return Ok(());
        }
        Some(Decision::Queued) => match timeout::timeout(QUEUE_TIMEOUT, rx).await {
            Ok(Ok(())) => return Ok(()),
            _ => FULL_TARGET_RETRY,
        },
        Some(Decision::Declined(retry_after)) => retry_after,
        None if is_own_slot_free(daemon, claimant) => {
            daemon.slot_leases.grant(id);
            return Ok(());
        }
        None => SILENT_ARBITER_RETRY,
    };
    log::info!(
        arbiter = arbiter.as_str(),
        decision:% = decision_name(decision),
        request = claimant.request.as_str(),
        retry_after_ms = retry_after.as_millis() as u64,
        target = claimant.target.id.as_str();
        "no slot of a brittle target is free"
    );
    end(daemon, claimant.request, Outcome::Unused);
    Err(retry_after)
}

fn decision_name(decision: Option<Decision>) -> String {
    decision.map_or_else(|| "none".to_owned(), |decision| decision.to_string())
}

/// Returns `true` if this daemon has a free slot of its own while the arbiter can't be asked. Each slot
/// has one owner among the daemons.
fn is_own_slot_free(daemon: &Daemon, claimant: &Claimant<'_>) -> bool {
    let slots = daemon
        .target(claimant.pool, claimant.target)
        .map_or(0, |target| target.slots);
    let digest = claimant.target.digest();
    let owned = server::owned_slots(daemon, claimant.pool, digest, slots);
    daemon.slot_leases.count(digest) <= owned
}

/// Ends a request that may hold a lease.
pub fn end(daemon: &Rc<Daemon>, request: &RequestId, outcome: Outcome) {
    let lease = daemon.slot_leases.leases.borrow_mut().swap_remove(request);
    if let Some(lease) = lease {
        let release = Release {
            id: lease.id,
            is_turned_away: outcome == Outcome::TurnedAway,
            target: lease.target,
        };
        let daemon = Rc::clone(daemon);
        runtime::spawn(async move {
            if outcome == Outcome::Cancelled {
                monoio::time::sleep(CANCELLATION_TIME).await;
            }
            deliver(daemon, lease.arbiter, release).await;
        });
    }
}

async fn deliver(daemon: Rc<Daemon>, arbiter: VmId, release: Release) {
    for _ in 0..RELEASE_ATTEMPTS {
        let message = SlotRequest::Release(release.clone());
        if call(&daemon, &arbiter, message).await.is_some() {
            return;
        }
        monoio::time::sleep(RELEASE_RETRY_DELAY).await;
    }
    log::debug!("the arbiter {arbiter} did not answer to the release of a lease");
}

/// Registers the running requests of this daemon on brittle targets with the arbiters that don't know
/// them: after a change of the arbiter, and once a target has become brittle.
pub fn register_running(daemon: &Rc<Daemon>) {
    for running in daemon.pool_client.running() {
        let claimant = running.claimant();
        let Some(req) = claimant.lease_request(daemon, true) else {
            continue;
        };
        let arbiter = arbiter::arbiter_of(daemon, req.target);
        let mut leases = daemon.slot_leases.leases.borrow_mut();
        let known = leases.get(claimant.request);
        let is_registered = |lease: &Lease| lease.arbiter == arbiter && lease.holder == req.holder;
        if known.is_some_and(|lease| lease.granted.is_some() || is_registered(lease)) {
            continue;
        }
        let lease = Lease {
            arbiter: arbiter.clone(),
            granted: None,
            holder: req.holder.clone(),
            id: req.id,
            target: req.target,
        };
        leases.insert(claimant.request.clone(), lease);
        drop(leases);
        let daemon = Rc::clone(daemon);
        runtime::spawn(async move { request_lease(&daemon, &arbiter, req).await });
    }
}

async fn request_lease(daemon: &Rc<Daemon>, arbiter: &VmId, req: LeaseRequest) -> Option<Decision> {
    let reply = call(daemon, arbiter, SlotRequest::Acquire(req)).await?;
    match reply {
        SlotReply::Decided(decision) => Some(decision),
        SlotReply::Done => None,
    }
}

/// Calls a daemon about leases, which may be this one.
async fn call(daemon: &Rc<Daemon>, vm: &VmId, req: SlotRequest) -> Option<SlotReply> {
    if *vm == daemon.cfg.vm {
        return Some(handle(daemon, req));
    }
    daemon.peers.call(vm, req).await.ok()
}
