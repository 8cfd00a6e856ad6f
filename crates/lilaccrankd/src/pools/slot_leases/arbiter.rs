//! The arbiter's side of slot leases: one daemon for each brittle target.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::clock;
use lilaccrank::ids::VmId;
use lilaccrank::membership::State;
use lilaccrank::rendezvous;
use lilaccrank::slot_leases::{Arbiter, Decision, Granted, LeaseRequest, Release};
use lilaccrank::target_instance::InstanceDigest;
use lilaccrank_http::runtime;

use crate::daemon::Daemon;
use crate::peers::duties;
use crate::peers::message::{SlotReply, SlotRequest};

/// Time after a change of the arbiter until the holders have registered their leases. Daemons learn
/// of a change of the members within a second of each other.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Interval between checks of expired leases and of targets that were held.
const TICK: Duration = Duration::from_millis(20);
/// Time after which a daemon that does not think it is the arbiter may be asked again.
const NOT_ARBITER_RETRY: Duration = Duration::from_millis(50);

/// Leases on the targets that this daemon arbitrates.
pub struct ArbiterState {
    arbiter: RefCell<Arbiter>,
    /// Earlier members with the time at which each list was replaced, for [`SETTLE_TIME`].
    earlier_members: RefCell<Vec<(Instant, Vec<VmId>)>>,
    members: RefCell<Vec<VmId>>,
    /// Last time at which this daemon was known to run.
    observed_at: Cell<Instant>,
}

impl Default for ArbiterState {
    /// No members: a daemon that has just started does not know what others hold.
    fn default() -> Self {
        let now = Instant::now();
        Self {
            arbiter: RefCell::default(),
            earlier_members: RefCell::new(vec![(now, Vec::new())]),
            members: RefCell::default(),
            observed_at: Cell::new(now),
        }
    }
}

impl ArbiterState {
    /// Records that this daemon is running. Leases that holders registered while it was held up may not have
    /// been read yet.
    fn observe_running(&self, now: Instant) {
        let gap = now.saturating_duration_since(self.observed_at.replace(now));
        let held_up = clock::held_up(gap);
        for (replaced_at, _) in &mut *self.earlier_members.borrow_mut() {
            *replaced_at = (*replaced_at + held_up).min(now);
        }
    }

    /// Time until which the arbiter of a target may not know all leases; `None` if it has long been the
    /// arbiter.
    fn settled_at(&self, target: InstanceDigest, me: &VmId, now: Instant) -> Option<Instant> {
        let mut earlier = self.earlier_members.borrow_mut();
        earlier.retain(|(replaced_at, _)| now < *replaced_at + SETTLE_TIME);
        let others = earlier
            .iter()
            .filter(|(_, members)| owner(target, members) != Some(me));
        others
            .map(|(replaced_at, _)| *replaced_at + SETTLE_TIME)
            .max()
    }
}

fn owner(target: InstanceDigest, members: &[VmId]) -> Option<&VmId> {
    rendezvous::owner(&format!("slots/{target}"), members)
}

/// The arbiter of a target by this daemon's members.
pub(super) fn arbiter_of(daemon: &Daemon, target: InstanceDigest) -> VmId {
    let members = daemon.arbiter.members.borrow();
    let owner = owner(target, &members);
    owner.unwrap_or(&daemon.cfg.vm).clone()
}

/// Handles a message about leases.
pub fn handle(daemon: &Rc<Daemon>, req: SlotRequest) -> SlotReply {
    let state = &daemon.arbiter;
    match req {
        SlotRequest::Acquire(req) => SlotReply::Decided(decide(daemon, &req)),
        SlotRequest::Granted { id } => {
            daemon.slot_leases.grant(id);
            SlotReply::Done
        }
        SlotRequest::Release(release) => {
            let now = Instant::now();
            state.arbiter.borrow_mut().release(&release, now);
            grant_waiting(daemon, now);
            SlotReply::Done
        }
    }
}

fn decide(daemon: &Rc<Daemon>, req: &LeaseRequest) -> Decision {
    let me = &daemon.cfg.vm;
    // A holder may know of the change of the arbiter before this daemon does.
    if !req.is_running && arbiter_of(daemon, req.target) != *me {
        return Decision::Declined(NOT_ARBITER_RETRY);
    }
    let now = Instant::now();
    daemon.arbiter.observe_running(now);
    let settled_at = daemon.arbiter.settled_at(req.target, me, now);
    let mut arbiter = daemon.arbiter.arbiter.borrow_mut();
    arbiter.acquire(req, settled_at, now)
}

fn grant_waiting(daemon: &Rc<Daemon>, now: Instant) {
    let granted = daemon.arbiter.arbiter.borrow_mut().grant_waiting(now);
    for granted in granted {
        runtime::spawn(deliver(Rc::clone(daemon), granted));
    }
}

/// Tells a holder of its lease. One that can't be told gets none.
async fn deliver(daemon: Rc<Daemon>, granted: Granted) {
    let Granted { holder, id, target } = granted;
    let message = SlotRequest::Granted { id };
    if super::call(&daemon, &holder.vm, message).await.is_none() {
        let release = Release {
            id,
            is_turned_away: false,
            target,
        };
        handle(&daemon, SlotRequest::Release(release));
    }
}

/// Notes a change of the members, and drops the leases of daemons that have died.
pub fn members_changed(daemon: &Rc<Daemon>) {
    let live = daemon.membership.live();
    let members: Vec<VmId> = live.members.iter().map(|m| m.vm.clone()).collect();
    let state = &daemon.arbiter;
    if *state.members.borrow() != members {
        let earlier = state.members.replace(members);
        let mut known = state.earlier_members.borrow_mut();
        known.push((Instant::now(), earlier));
    }
    let all = daemon.membership.all();
    let alive = all.iter().filter(|member| member.state != State::Dead);
    let alive: Vec<_> = alive.map(duties::member_ref).collect();
    let mut arbiter = state.arbiter.borrow_mut();
    arbiter.retain_holders(|holder| alive.contains(holder));
    drop(arbiter);
    super::register_running(daemon);
}

/// Runs the periodic checks; never returns.
pub async fn run(daemon: Rc<Daemon>) {
    loop {
        monoio::time::sleep(TICK).await;
        let now = Instant::now();
        daemon.arbiter.observe_running(now);
        if daemon.arbiter.arbiter.borrow().is_empty() {
            continue;
        }
        daemon.arbiter.arbiter.borrow_mut().expire(now);
        grant_waiting(&daemon, now);
    }
}
