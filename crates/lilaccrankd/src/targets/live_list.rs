//! The platform's list of what lives: targets that came or leave. It lags.
//!
//! The watchers of a data centre read it, the other daemons hear it from them, so that the calls
//! at the platform grow with the data centres and not with the daemons.
//!
//! While the platform is away, targets can't renew their entries, and entries of targets that live
//! lapse. Each daemon judges by itself: what is missing after a silence of the platform, by
//! whichever way it is heard, stays for as long as it takes a living target to come back.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::clock::{BootTime, Clock};
use lilaccrank::document::{Pool, Target, TargetState};
use lilaccrank::ids::{PoolId, TargetId, VmId};
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::monoio_clock::MonoioClock;
use serde::{Deserialize, Serialize};

use crate::daemon::Daemon;
use crate::orders::manager;
use crate::pools::server;
use crate::targets::newest_instances::NewestInstances;

/// Time between two looks at whether lapsed targets would be back by now. What is still missing then
/// has gone, and is to get nothing from that moment on.
const LAPSED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the platform says of targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// Vms that are leaving: the targets on them get nothing new.
    pub leaving: IndexSet<VmId>,
    /// Grows with each change, where the platform counts them; else 0.
    pub revision: u64,
    /// Targets by pool, for pools that name none themselves.
    pub targets: IndexMap<PoolId, Vec<Target>>,
    /// Entries that name no target to use, and what is wrong with each.
    pub unusable: IndexMap<String, String>,
}

/// What this daemon knows of the list.
#[derive(Default)]
pub struct LiveList {
    confirmed: Cell<Option<BootTime>>,
    /// Targets that went missing and may only have lapsed.
    lapsed: RefCell<IndexMap<TargetId, (PoolId, Target)>>,
    listing: RefCell<Rc<Listing>>,
    instances: RefCell<NewestInstances>,
    /// Told when a list is taken over.
    updated: Event,
}

impl Listing {
    /// Whether this list is to take the place of `known`. A list that went another way would bring
    /// back targets that have left.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        match (self.revision, known.revision) {
            (0, 0) => self != known,
            (revision, known) => revision > known,
        }
    }

    /// Logs entries that have become unusable, or are so for another reason.
    fn log_unusable(&self, known: &Self) {
        let entries = self.unusable.iter();
        for (entry, why) in entries.filter(|(entry, why)| known.unusable.get(*entry) != Some(*why))
        {
            log::warn!(entry = entry, why = why; "an entry of the list names no target to use");
        }
    }

    /// Every target with its pool.
    pub fn all(&self) -> impl Iterator<Item = (&PoolId, &Target)> {
        let pools = self.targets.iter();
        pools.flat_map(|(pool, targets)| targets.iter().map(move |target| (pool, target)))
    }
}

impl LiveList {
    /// The list was the newest at `at`.
    pub fn confirm(&self, at: BootTime) {
        self.confirmed.set(self.confirmed.get().max(Some(at)));
    }

    /// How long ago the list was known to be the newest; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed.get()?))
    }

    /// What the platform said last.
    #[must_use]
    pub fn listing(&self) -> Rc<Listing> {
        Rc::clone(&self.listing.borrow())
    }

    /// The pool with the targets that the list adds, and with those on leaving vms draining.
    #[must_use]
    pub fn apply(&self, pool: &Pool) -> Pool {
        let listing = self.listing.borrow();
        let mut pool = pool.clone();
        if pool.listed {
            let listed = listing.targets.get(&pool.id).into_iter().flatten();
            pool.targets.extend(listed.cloned());
            let lapsed = self.lapsed.borrow();
            let lapsed = lapsed.values().filter(|(of, _)| *of == pool.id);
            pool.targets
                .extend(lapsed.map(|(_, target)| target.clone()));
        }
        for target in &mut pool.targets {
            let vm = target.vm.as_ref().unwrap_or(&target.id);
            if listing.leaving.contains(vm) {
                target.state = TargetState::Draining;
            }
        }
        pool
    }

    /// A target of the list.
    #[must_use]
    pub fn find(&self, pool: &str, instance: &TargetInstance) -> Option<Target> {
        let listing = self.listing.borrow();
        let lapsed = self.lapsed.borrow();
        let listed = listing.targets.get(pool).into_iter().flatten();
        let lapsed = lapsed.get(&instance.id).map(|(_, target)| target);
        let mut known = listed.chain(lapsed);
        known
            .find(|target| TargetInstance::of(target) == *instance)
            .cloned()
    }

    /// Names of targets whose newest life is remembered.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.borrow().len()
    }

    /// Whether a later life of the same target was heard of.
    fn is_superseded(&self, target: &Target) -> bool {
        self.instances
            .borrow()
            .is_superseded(&TargetInstance::of(target))
    }

    /// Completes once a later life of the same target is heard of.
    pub async fn superseded(&self, instance: &TargetInstance) {
        while !self.instances.borrow().is_superseded(instance) {
            let listener = self.updated.listen();
            if !self.instances.borrow().is_superseded(instance) {
                listener.await;
            }
        }
    }

    /// Takes over a list if it replaces the one known; whether it did. `may_lapse` if entries of
    /// targets that live may be missing from it.
    pub fn update(&self, mut listing: Listing, may_lapse: bool) -> bool {
        let known = self.listing();
        if !listing.replaces(&known) {
            return false;
        }
        self.instances.borrow_mut().resolve(&mut listing, &known);
        let listed: IndexSet<&TargetId> = listing.all().map(|(_, target)| &target.id).collect();
        let mut lapsed = self.lapsed.borrow_mut();
        lapsed.retain(|id, _| may_lapse && !listed.contains(id));
        if may_lapse {
            // One that had said that it leaves has left.
            let missing = known.all().filter(|(_, target)| {
                target.state == TargetState::Live && !listed.contains(&target.id)
            });
            let missing = missing.map(|(pool, t)| (t.id.clone(), (pool.clone(), t.clone())));
            lapsed.extend(missing);
        }
        drop(listed);
        listing.log_unusable(&known);
        log::info!(
            lapsed = lapsed.len(),
            leaving = listing.leaving.len(),
            revision = listing.revision,
            targets = listing.all().count(),
            unusable = listing.unusable.len();
            "list of targets"
        );
        *self.listing.borrow_mut() = Rc::new(listing);
        self.updated.notify(usize::MAX);
        true
    }

    /// Drops targets that did not come back; whether there were any.
    pub fn forget_lapsed(&self) -> bool {
        let lapsed = self.lapsed.take();
        for id in lapsed.keys() {
            log::info!(target_id = id; "a target did not come back after the silence: it has gone");
        }
        !lapsed.is_empty()
    }
}

/// Takes over a list that the daemon was told.
pub fn apply_listing(daemon: &Rc<Daemon>, listing: Listing) {
    let may_lapse = daemon.heard.may_lapse(MonoioClock.boot_time());
    let previous = daemon.live_list.listing();
    if !daemon.live_list.update(listing, may_lapse) {
        return;
    }
    for (_, ended) in previous
        .all()
        .filter(|(_, target)| daemon.live_list.is_superseded(target))
    {
        log::info!(born = ended.started_ms, target_id = ended.id; "a target has started again");
        daemon.client.forget(&ended.address);
    }
    let unusable = daemon.live_list.listing().unusable.len();
    let unusable = i64::try_from(unusable).unwrap_or(i64::MAX);
    daemon.metrics.unusable_entries.set(unusable);
    changed(daemon);
    if !daemon.live_list.lapsed.borrow().is_empty() {
        monoio::spawn(wait_for_lapsed(Rc::clone(daemon)));
    }
}

async fn wait_for_lapsed(daemon: Rc<Daemon>) {
    // Other daemons' words may tell of a later end of the silence than this one's own.
    while daemon.heard.may_lapse(MonoioClock.boot_time()) {
        monoio::time::sleep(LAPSED_POLL_INTERVAL).await;
    }
    if daemon.live_list.forget_lapsed() {
        changed(&daemon);
    }
}

fn changed(daemon: &Rc<Daemon>) {
    server::configuration_changed(daemon);
    manager::reconcile(daemon);
}
