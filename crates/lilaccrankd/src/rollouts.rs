//! Roll-outs at this daemon: what operators have ordered, and which targets that rules out.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::clock;
use lilaccrank::document::{Target, TargetState};
use lilaccrank::ids::PoolId;
use lilaccrank::peers::Peers;
use lilaccrank::rollout::controller::{Controller, Fleet};
use lilaccrank::rollout::message::{Stage, Views, ViewsRequest};
use lilaccrank::rollout::order::{OrderId, Orders, State};
use lilaccrank::rollout::participant::Participant;
use lilaccrank::software_version::VersionDigest;
use lilaccrank::store_revision::StoreRevision;
use lilaccrank::target_instance::TargetInstance;

use crate::daemon::Daemon;
use crate::peers::change_signal::ChangeSignal;
use crate::pools::server;
use crate::targets::live_list::Listing;

pub mod exchange;
pub mod judge;
pub mod lane;
pub mod orders;
pub mod recorder;
pub mod send_record;

use send_record::Running;

/// Longest time for which targets of a version that is new here get nothing while this daemon can't
/// tell whether they belong to a roll-out.
const WITHHOLD_LIMIT: Duration = Duration::from_secs(2);
/// Time for which old targets get nothing after a roll-out, until they are no longer listed.
const RETIREMENT: Duration = Duration::from_secs(15);

/// When a list first named a version.
#[derive(Clone, Copy, Debug)]
struct FirstNamed {
    at: Instant,
    revision: StoreRevision,
}

/// State of all roll-outs at this daemon.
#[derive(Default)]
pub struct Rollouts {
    /// When targets that were slow after their start are no longer.
    cold_until: RefCell<IndexMap<TargetInstance, Instant>>,
    /// Roll-outs that this daemon judges.
    controllers: RefCell<IndexMap<OrderId, Controller>>,
    /// Versions of the list of targets.
    first_named: RefCell<IndexMap<(PoolId, VersionDigest), FirstNamed>>,
    /// Stages by which the targets were last set, by pool.
    applied: RefCell<Vec<(PoolId, Stage)>>,
    /// Set if targets get nothing until the orders are known.
    has_withheld: Cell<bool>,
    /// Set if the platform has roll-outs.
    is_enabled: bool,
    orders: RefCell<Orders>,
    /// Roll-outs that this daemon takes part in.
    participants: RefCell<IndexMap<PoolId, Participant>>,
    /// States that are being written to the platform's store.
    recording: RefCell<IndexSet<(OrderId, State)>>,
    /// When the first orders of the store's present era came, if some of another era came before.
    restored_at: Cell<Option<Instant>>,
    /// Targets that roll-outs have replaced, with the times until which they get nothing.
    retired: RefCell<IndexMap<TargetInstance, Instant>>,
    running: RefCell<IndexMap<u64, Running>>,
    sends: Cell<u64>,
    /// Notified when something is to be reported at once.
    wake: ChangeSignal,
}

impl Rollouts {
    /// Creates an empty state.
    #[must_use]
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    /// Revision of the platform's store up to which the orders are known.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.orders.borrow().revision
    }

    /// Returns `true` if the list names a version that may belong to an order that is not known yet.
    #[must_use]
    pub fn lacks_orders(&self) -> bool {
        let known = self.revision();
        let first_named = self.first_named.borrow();
        first_named.values().any(|first| first.revision > known)
    }

    /// Notes the versions of a list, before it is applied.
    pub fn note_listing(&self, listing: &Listing, now: Instant) {
        if !self.is_enabled {
            return;
        }
        self.note_old_targets(listing);
        self.note_versions(listing, now);
        self.note_cold_targets(listing, now);
    }

    /// Notes when a list first names a version, and forgets versions that it no longer names.
    fn note_versions(&self, listing: &Listing, now: Instant) {
        let mut first_named = self.first_named.borrow_mut();
        first_named.retain(|(pool, version), _| {
            let targets = listing.targets.get(pool).into_iter().flatten();
            targets
                .filter_map(VersionDigest::of)
                .any(|listed| listed == *version)
        });
        let named = listing.all();
        let named = named.filter_map(|(pool, target)| Some((pool, VersionDigest::of(target)?)));
        for (pool, version) in named {
            let entry = first_named.entry((pool.clone(), version));
            if matches!(entry, Entry::Vacant(_)) {
                self.wake.notify();
            }
            entry.or_insert(FirstNamed {
                at: now,
                revision: listing.revision,
            });
        }
    }

    /// Notes until when targets are slow after their start.
    fn note_cold_targets(&self, listing: &Listing, now: Instant) {
        let mut cold_until = self.cold_until.borrow_mut();
        cold_until.retain(|_, until| *until > now);
        let cold = listing.all().filter(|(_, target)| target.cold_ms > 0);
        for (_, target) in cold {
            let until = now + clock::millis(target.cold_ms);
            let instance = TargetInstance::of(target);
            cold_until.entry(instance).or_insert(until);
        }
    }

    /// Notes which participants have old targets in this list.
    fn note_old_targets(&self, listing: &Listing) {
        for (pool, participant) in self.participants.borrow_mut().iter_mut() {
            let version = Some(participant.order().version());
            let mut targets = listing.targets.get(pool).into_iter().flatten();
            participant.has_old_targets |=
                targets.any(|target| VersionDigest::of(target) != version);
        }
    }

    /// State of a target by the roll-outs; live if none rules it out.
    #[must_use]
    pub fn state_of(&self, pool: &PoolId, target: &Target, now: Instant) -> TargetState {
        let version = VersionDigest::of(target);
        let participants = self.participants.borrow();
        let participant = participants.get(pool);
        let is_rolled_back = participant.is_some_and(|participant| {
            participant.stage() == Stage::RolledBack
                && participant.has_old_targets
                && version == Some(participant.order().version())
        });
        let retired = self.retired.borrow();
        let retired = retired.get(&TargetInstance::of(target));
        let is_retired = retired.is_some_and(|until| now < *until);
        if is_rolled_back || is_retired || self.is_withheld(pool, version, now) {
            TargetState::Draining
        } else {
            TargetState::Live
        }
    }

    /// Splits the targets of a pool into those of old versions and of the new one. Without a roll-out
    /// all are old.
    pub fn split(&self, pool: &PoolId, targets: Vec<Target>) -> (Vec<Target>, Vec<Target>) {
        let participants = self.participants.borrow();
        let Some(participant) = participants.get(pool) else {
            return (targets, Vec::new());
        };
        let version = Some(participant.order().version());
        let is_old = |target: &Target| VersionDigest::of(target) != version;
        targets.into_iter().partition(is_old)
    }

    /// Roll-outs as operators see them: as their judge if this daemon is one, else as far as it takes
    /// part.
    #[must_use]
    pub fn views(&self) -> Views {
        let now = Instant::now();
        let controllers = self.controllers.borrow();
        let participants = self.participants.borrow();
        let views = participants.values().map(|participant| {
            match controllers.get(&participant.order().id) {
                Some(controller) => controller.view(now),
                None => participant.view(now),
            }
        });
        Views {
            rollouts: views.collect(),
        }
    }

    fn is_withheld(&self, pool: &PoolId, version: Option<VersionDigest>, now: Instant) -> bool {
        let Some(version) = version else {
            return false;
        };
        let first_named = self.first_named.borrow();
        let Some(first) = first_named.get(&(pool.clone(), version)) else {
            return false;
        };
        let is_withheld = first.revision > self.revision() && now - first.at < WITHHOLD_LIMIT;
        if is_withheld {
            self.has_withheld.set(true);
        }
        is_withheld
    }

    fn is_cold(&self, target: &TargetInstance, now: Instant) -> bool {
        let cold_until = self.cold_until.borrow();
        cold_until.get(target).is_some_and(|until| now < *until)
    }
}

/// Sets the targets of the dispatchers if a roll-out has changed which of them may be used.
fn apply(daemon: &Rc<Daemon>) {
    let rollouts = &daemon.rollouts;
    let stages: Vec<_> = {
        let participants = rollouts.participants.borrow();
        let stages = participants.iter();
        stages.map(|(pool, p)| (pool.clone(), p.stage())).collect()
    };
    let before = rollouts.applied.replace(stages.clone());
    for (pool, stage) in &stages {
        let earlier = before.iter().find(|(known, _)| known == pool);
        match earlier {
            Some((_, earlier)) if earlier == stage => {}
            Some(_) => stage_changed(daemon, pool, *stage),
            None => {}
        }
    }
    if before != stages || rollouts.has_withheld.replace(false) {
        server::configuration_changed(daemon);
    }
}

fn stage_changed(daemon: &Daemon, pool: &PoolId, stage: Stage) {
    let rollouts = &daemon.rollouts;
    let participants = rollouts.participants.borrow();
    let Some(participant) = participants.get(pool) else {
        return;
    };
    let now = Instant::now();
    log::info!(
        age_ms = now.saturating_duration_since(participant.started_at()).as_millis() as u64,
        open_old = participant.open_old,
        order:% = participant.order().id,
        reason = participant.reason().map(ToString::to_string).unwrap_or_default(),
        stage:% = stage;
        "a roll-out goes on"
    );
    daemon.metrics.record_rollout_stage(stage);
    if stage == Stage::Succeeded {
        retire_old_targets(daemon, pool, participant.order().version());
    }
}

/// Keeps the old targets of a pool from requests: the platform stops them, and lists them for a while.
fn retire_old_targets(daemon: &Daemon, pool: &PoolId, version: VersionDigest) {
    let now = Instant::now();
    let listing = daemon.live_list.listing();
    let targets = listing.targets.get(pool).into_iter().flatten();
    let old = targets.filter(|target| VersionDigest::of(target) != Some(version));
    let mut retired = daemon.rollouts.retired.borrow_mut();
    retired.retain(|_, until| *until > now);
    retired.extend(old.map(|target| (TargetInstance::of(target), now + RETIREMENT)));
}

/// Roll-outs as their first judge sees them, or as this daemon does if the judge does not answer.
pub async fn views(daemon: &Daemon) -> Views {
    let judge = daemon.duties.judges().into_iter().next();
    let judge = judge.filter(|vm| *vm != daemon.cfg.vm);
    let Some(judge) = judge else {
        return daemon.rollouts.views();
    };
    match daemon.peers.call(&judge, ViewsRequest).await {
        Ok(views) => views,
        Err(e) => {
            log::warn!(judge = judge, why:% = e; "failed to ask the judge of roll-outs");
            daemon.rollouts.views()
        }
    }
}

/// What the fleet is like, for the judge of an order.
fn fleet(daemon: &Daemon, order: &OrderId) -> Fleet {
    let listing = daemon.live_list.listing();
    let version = Some(VersionDigest::new(&order.to));
    let targets = listing.targets.get(&order.pool).into_iter().flatten();
    let live = targets.filter(|target| target.state == TargetState::Live);
    let (new, old): (Vec<_>, Vec<_>) =
        live.partition(|target| VersionDigest::of(target) == version);
    let members = daemon.membership.live().members.clone();
    Fleet {
        has_new_targets: !new.is_empty(),
        has_old_targets: !old.is_empty(),
        is_first_judge: daemon.duties.judges().first() == Some(&daemon.cfg.vm),
        members: members.iter().map(|member| member.vm.clone()).collect(),
    }
}

/// Runs until the daemon ends.
pub async fn run(daemon: Rc<Daemon>) {
    if !daemon.cfg.rollouts {
        return;
    }
    exchange::run(daemon).await;
}
