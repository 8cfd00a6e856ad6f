//! The dispatcher's side of the pools that this daemon dispatches.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use futures::future;
use futures::pin_mut;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::cells;
use lilaccrank::dispatch::message::Entry;
use lilaccrank::dispatch::sharing::Digest;
use lilaccrank::dispatch::status::Status;
use lilaccrank::dispatch::{Config, Dispatcher};
use lilaccrank::document::{Document, PoolKind};
use lilaccrank::ids::{PoolId, Tier, VmId};
use lilaccrank::membership::State;
use lilaccrank::prompt;
use lilaccrank::request_key::{MemberRef, Ranking};
use lilaccrank::target_instance::InstanceDigest;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;

use crate::daemon::Daemon;
use crate::peers::message::{PoolMessage, PoolReply, PoolRequest};
use crate::pools::client;
use crate::pools::poller;
use crate::pools::rate_limits::RateLimits;

mod brittle;
mod cell_targets;
mod notices;
mod overflow;
mod verdicts;

pub(super) use cell_targets::near_targets;
pub use cell_targets::{find_target, sendable_targets};
pub use notices::{
    apply_brittle, apply_leaving, apply_rate_limits, apply_routes, hold, owned_slots, push_back,
};
pub use overflow::apply_overflow;

use brittle::BrittleTargets;
use cell_targets::set_targets;
use overflow::Overflow;
use verdicts::spawn_decide;

/// Longest time that a new dispatcher waits for the entries to report their requests.
const HANDOVER_GRACE: Duration = Duration::from_secs(1);
/// Silence of an engine with running requests after which it counts as hung.
const ENGINE_HANG_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a plain service, which may be silent for as long as its requests may take.
const SERVICE_HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// The dispatchers of this daemon.
#[derive(Default)]
pub struct PoolServer {
    brittle: RefCell<BrittleTargets>,
    /// The daemons that share targets with this one, where each daemon dispatches its own requests.
    cell: RefCell<Rc<cells::Cell>>,
    entries: RefCell<Vec<Entry>>,
    /// Targets whose answers have said that they leave, as last applied to the dispatchers.
    leaving: RefCell<IndexSet<InstanceDigest>>,
    rate_limits: RateLimits,
    served: RefCell<IndexMap<PoolId, Rc<ServedPool>>>,
}

impl PoolServer {
    /// Requests in a second that a target can turn away; `None` if it is sound.
    pub fn brittle_limit(&self, target: InstanceDigest) -> Option<u32> {
        self.brittle.borrow().limit(target)
    }
}

/// The dispatcher of one pool, in one incarnation of this daemon.
pub struct ServedPool {
    /// The dispatcher.
    pub dispatcher: Dispatcher<MonoioClock>,
    me: MemberRef,
    overflow: Overflow,
    pool: PoolId,
    retired: Cell<bool>,
    retire_event: Event,
}

impl ServedPool {
    /// Completes once another daemon or another incarnation has the duty.
    pub async fn retired(&self) {
        while !self.retired.get() {
            let listener = self.retire_event.listen();
            if !self.retired.get() {
                listener.await;
            }
        }
    }

    fn retire(&self) {
        self.retired.set(true);
        self.retire_event.notify(usize::MAX);
    }
}

/// Handles a message about a pool.
pub fn handle(daemon: &Rc<Daemon>, req: PoolRequest) -> PoolReply {
    if let PoolMessage::Verdict { from, verdict } = req.message {
        return if client::on_verdict(daemon, &from, verdict) {
            PoolReply::Accepted { waiting: 0 }
        } else {
            PoolReply::Declined
        };
    }
    let Some(served) = served_pool(daemon, &req.pool) else {
        return PoolReply::Declined;
    };
    match req.message {
        PoolMessage::Ask(submission) => spawn_decide(daemon, &served, submission),
        PoolMessage::Cancel(cancel) => served.dispatcher.cancel(&cancel),
        PoolMessage::Report(report) => served.dispatcher.report(&report),
        PoolMessage::Resync(resync) => {
            let waiting = resync.waiting.clone();
            served.dispatcher.resync(resync);
            for submission in waiting {
                spawn_decide(daemon, &served, submission);
            }
        }
        PoolMessage::Verdict { .. } => {}
    }
    let is_urgent = served.dispatcher.has_urgent_changes();
    daemon.load_exchange.note_change(is_urgent);
    PoolReply::Accepted {
        waiting: served.dispatcher.waiting(),
    }
}

/// Returns the dispatcher of a pool if this daemon has the duty. It is created at the first
/// message.
fn served_pool(daemon: &Rc<Daemon>, pool: &PoolId) -> Option<Rc<ServedPool>> {
    if !daemon.duties.is_dispatcher(pool) {
        return None;
    }
    let me = daemon.duties.me();
    let known = daemon.pool_server.served.borrow().get(pool).cloned();
    match known {
        Some(served) if served.me == me => Some(served),
        stale => {
            if let Some(stale) = stale {
                stale.retire();
            }
            let served = start_dispatcher(daemon, pool, me)?;
            let mut all = daemon.pool_server.served.borrow_mut();
            all.insert(pool.clone(), Rc::clone(&served));
            Some(served)
        }
    }
}

fn start_dispatcher(daemon: &Rc<Daemon>, pool: &PoolId, me: MemberRef) -> Option<Rc<ServedPool>> {
    let in_force = daemon.in_force().ok()?;
    let configured = in_force.document.pool(pool)?;
    let min_hang_timeout = match configured.kind {
        PoolKind::Engine => ENGINE_HANG_TIMEOUT,
        PoolKind::Service => SERVICE_HANG_TIMEOUT,
    };
    let dispatcher = Dispatcher::new(
        MonoioClock,
        Config {
            block_tokens: u32::try_from(prompt::BLOCK_TOKENS).unwrap_or(u32::MAX),
            data_centre: daemon.cfg.data_centre.clone(),
            incarnation: me.incarnation,
            lowest_tier: lowest_tier(&in_force.document),
            min_hang_timeout,
            vm: me.vm.clone(),
            waiting_limit: configured.waiting_limit,
        },
    );
    let overflow = Overflow::default();
    set_targets(daemon, &dispatcher, &overflow, configured);
    if !daemon.duties.is_dispatch_local() {
        dispatcher.begin_handover(live_entries(daemon), HANDOVER_GRACE);
    }
    let served = Rc::new(ServedPool {
        dispatcher,
        me,
        overflow,
        pool: pool.clone(),
        retired: Cell::new(false),
        retire_event: Event::new(),
    });
    daemon.record(
        EventKind::TakenOver,
        Subject {
            detail: format!("dispatcher of pool {pool}"),
            ..Subject::default()
        },
    );
    let ticking = Rc::clone(&served);
    runtime::spawn(async move {
        let run = ticking.dispatcher.run();
        let retired = ticking.retired();
        pin_mut!(run, retired);
        future::select(run, retired).await;
    });
    runtime::spawn(poller::run(
        Rc::clone(daemon),
        Rc::clone(&served),
        pool.clone(),
    ));
    Some(served)
}

fn lowest_tier(document: &Document) -> Tier {
    Tier::try_from(document.tiers.len().saturating_sub(1)).unwrap_or(Tier::MAX)
}

/// Members that may have requests. A leaving one finishes the requests that it has.
fn live_entries(daemon: &Daemon) -> Vec<Entry> {
    let members = daemon.membership.all();
    let alive = members.into_iter().filter(|m| m.state != State::Dead);
    alive
        .map(|member| Entry {
            incarnation: member.incarnation,
            vm: member.vm,
        })
        .collect()
}

/// Retires the dispatchers of pools that are no longer this daemon's duty, and drops the requests
/// of entries that have died.
pub fn members_changed(daemon: &Rc<Daemon>) {
    let me = daemon.duties.me();
    let server = &daemon.pool_server;
    update_cell(daemon);
    server.served.borrow_mut().retain(|pool, served| {
        let is_kept = served.me == me && daemon.duties.is_dispatcher(pool);
        if !is_kept {
            served.retire();
        }
        is_kept
    });
    let entries = live_entries(daemon);
    let previous = server.entries.replace(entries.clone());
    for departed in previous.iter().filter(|entry| !entries.contains(entry)) {
        for served in server.served.borrow().values() {
            served
                .dispatcher
                .forget_entry(&departed.vm, departed.incarnation);
        }
    }
}

/// Computes this daemon's cell from the live members. If it has changed, the dispatchers get other
/// targets.
fn update_cell(daemon: &Rc<Daemon>) {
    if !daemon.duties.is_dispatch_local() {
        return;
    }
    let live = daemon.membership.live();
    let members: IndexSet<VmId> = live.members.iter().map(|m| m.vm.clone()).collect();
    let cell = Rc::new(cells::Cell::new(&members, &daemon.cfg.vm));
    let previous = daemon.pool_server.cell.replace(Rc::clone(&cell));
    daemon.quotas.set_cell(&cell, &members);
    if previous != cell {
        log::info!(mates = cell.peers().len(), members = members.len(); "cell changed");
        configuration_changed(daemon);
    }
}

/// The cell of this daemon, without other members where only one daemon dispatches a pool.
pub fn cell(daemon: &Daemon) -> Rc<cells::Cell> {
    Rc::clone(&daemon.pool_server.cell.borrow())
}

/// Returns `true` if any dispatcher runs on this daemon.
pub fn is_serving(daemon: &Daemon) -> bool {
    !daemon.pool_server.served.borrow().is_empty()
}

/// Sets the targets of all dispatchers after a change of the configuration or of the list of
/// targets.
pub fn configuration_changed(daemon: &Rc<Daemon>) {
    daemon.pool_server.brittle.borrow_mut().targets_changed();
    apply_brittle(daemon);
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    let server = &daemon.pool_server;
    server.served.borrow_mut().retain(|pool, served| {
        let Some(configured) = in_force.document.pool(pool) else {
            served.retire();
            return false;
        };
        set_targets(daemon, &served.dispatcher, &served.overflow, configured);
        true
    });
}

/// Load of this daemon on the targets of each pool.
pub fn digests(daemon: &Daemon) -> Vec<(PoolId, Digest)> {
    let served = daemon.pool_server.served.borrow();
    let digests = served
        .iter()
        .map(|(pool, served)| (pool.clone(), served.dispatcher.digest()));
    digests.collect()
}

/// Applies the load of another daemon on the targets of a pool.
pub fn apply_digest(daemon: &Rc<Daemon>, pool: &PoolId, from: &VmId, digest: Digest) {
    if let Some(served) = served_pool(daemon, pool) {
        served.dispatcher.apply_digest(from, digest);
    }
}

/// Status of the dispatchers of this daemon, by pool.
pub fn status(daemon: &Daemon) -> IndexMap<PoolId, Status> {
    let served = daemon.pool_server.served.borrow();
    served
        .iter()
        .map(|(pool, served)| (pool.clone(), served.dispatcher.status()))
        .collect()
}
