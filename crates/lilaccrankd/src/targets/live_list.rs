//! The platform's list of targets that are live or leaving. It lags.
//!
//! The watchers of a data centre read it and pass it on to the other daemons, so that the calls to
//! the platform grow with the data centres and not with the daemons.
//!
//! While the platform is unreachable, targets can't renew their entries, and entries of live
//! targets lapse. Targets that are missing after an outage of the platform, as seen directly or
//! through other daemons, are kept for as long as a live target needs to come back ([`lapsed`]).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::clock::Clock;
use lilaccrank::document::{Pool, Target, TargetState};
use lilaccrank::ids::{PoolId, TargetId, VmId};
use lilaccrank::software_version::{Origin, VersionDigest};
use lilaccrank::store_revision::StoreRevision;
use lilaccrank::stream_origins::RecordedOrigin;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use serde::{Deserialize, Serialize};

use crate::daemon::Daemon;
use crate::orders::manager;
use crate::pools::server;
use crate::request::lifecycle;
use crate::targets::departed::{self, Departed};
use crate::targets::freshness::Freshness;
use crate::targets::lapsed::{self, Lapsed, Missing};
use crate::targets::listing_changes::{Changes, History};
use crate::targets::newest_instances::NewestInstances;

/// Number of software versions that are remembered.
const MAX_VERSIONS: usize = 1_024;

/// The platform's list of targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// VMs that are leaving. The targets on them get no new requests.
    pub leaving: IndexSet<VmId>,
    /// Revision, which grows with each change; 0 if the platform does not count them.
    pub revision: StoreRevision,
    /// Targets by pool, for pools whose targets are listed by the platform.
    pub targets: IndexMap<PoolId, Vec<Target>>,
    /// Entries that name no usable target, with the reason for each.
    pub unusable: IndexMap<String, String>,
}

/// State of the list on this daemon.
#[derive(Default)]
pub struct LiveList {
    /// How recent the list is.
    pub freshness: Freshness,
    /// Targets that have left, as earlier lists said.
    pub departed: Departed,
    /// Targets that are missing from it but may only have lapsed.
    pub lapsed: Lapsed,
    /// What the last updates have changed.
    history: RefCell<History>,
    listing: RefCell<Rc<Listing>>,
    instances: RefCell<NewestInstances>,
    /// Software versions that this or an earlier list named.
    versions: RefCell<IndexSet<VersionDigest>>,
    /// Notified when a list is applied.
    updated: Event,
}

impl Listing {
    /// Returns `true` if this list replaces `known`. An older list that arrives late would bring
    /// back targets that have left.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        let is_counted = |revision: StoreRevision| revision.number > 0;
        match is_counted(self.revision) || is_counted(known.revision) {
            true => self.revision > known.revision,
            false => self != known,
        }
    }

    /// Returns `true` if the store has come back from an older copy since `known`.
    #[must_use]
    pub fn is_restored(&self, known: &Self) -> bool {
        known.revision.number > 0 && self.revision.era > known.revision.era
    }

    /// Logs entries that have become unusable, or are so for another reason than before.
    fn log_unusable(&self, known: &Self) {
        let entries = self.unusable.iter();
        for (entry, why) in entries.filter(|(entry, why)| known.unusable.get(*entry) != Some(*why))
        {
            log::warn!(entry = entry, why = why; "an entry of the list names no target to use");
        }
    }

    /// Logs targets that have appeared, changed their state or disappeared since the first list.
    fn log_changes(&self, known: &Self, lapsed: &Lapsed) {
        if known.targets.is_empty() {
            return;
        }
        let mut previous: IndexMap<_, _> = known.states().collect();
        for (target, state) in self.states() {
            if previous.swap_remove(target) != Some(state) {
                log::info!(
                    era = self.revision.era,
                    revision = self.revision.number,
                    state:? = state,
                    target_id = target;
                    "target listed"
                );
            }
        }
        for (target, state) in previous {
            log::info!(
                lapsed = lapsed.contains(target),
                era = self.revision.era,
                revision = self.revision.number,
                state:? = state,
                target_id = target;
                "target missing from the list"
            );
        }
    }

    fn states(&self) -> impl Iterator<Item = (&TargetId, TargetState)> {
        self.all().map(|(_, target)| (&target.id, target.state))
    }

    /// Iterates over all targets with their pools.
    pub fn all(&self) -> impl Iterator<Item = (&PoolId, &Target)> {
        let pools = self.targets.iter();
        pools.flat_map(|(pool, targets)| targets.iter().map(move |target| (pool, target)))
    }
}

impl LiveList {
    /// The last list of the platform.
    #[must_use]
    pub fn listing(&self) -> Rc<Listing> {
        Rc::clone(&self.listing.borrow())
    }

    /// Returns what the list has that the one with this revision lacks; `None` if not all of it is known.
    #[must_use]
    pub fn changes(&self, since: StoreRevision) -> Option<Changes> {
        let listing = self.listing.borrow();
        self.history.borrow().changes(since, &listing)
    }

    /// Returns the pool with the targets that the list adds, and with those on leaving VMs set to
    /// draining.
    #[must_use]
    pub fn apply(&self, pool: &Pool) -> Pool {
        let listing = self.listing.borrow();
        let mut pool = pool.clone();
        if pool.listed {
            let listed = listing.targets.get(&pool.id).into_iter().flatten();
            pool.targets.extend(listed.cloned());
            pool.targets.extend(self.lapsed.of_pool(&pool.id));
        }
        drop(listing);
        for target in &mut pool.targets {
            target.state = self.state_of(target);
        }
        pool
    }

    /// Returns the state of a target, which is draining if its VM is leaving, or if it has left and a
    /// restored store still names it.
    #[must_use]
    pub fn state_of(&self, target: &Target) -> TargetState {
        let vm = target.vm.as_ref().unwrap_or(&target.id);
        let listing = self.listing.borrow();
        let era = listing.revision.era;
        let is_leaving = listing.leaving.contains(vm);
        if is_leaving || self.departed.contains(target, era, Instant::now()) {
            TargetState::Draining
        } else {
            target.state
        }
    }

    /// Finds a target of the list by its instance.
    #[must_use]
    pub fn find(&self, pool: &str, instance: &TargetInstance) -> Option<Target> {
        let listing = self.listing.borrow();
        let mut listed = listing.targets.get(pool).into_iter().flatten();
        let listed = listed.find(|target| TargetInstance::of(target) == *instance);
        listed.cloned().or_else(|| self.lapsed.find(pool, instance))
    }

    /// Returns the origin of a stream by this list, which may be newer than the record of it.
    #[must_use]
    pub fn origin(&self, pool: &str, recorded: RecordedOrigin) -> Origin {
        let listing = self.listing.borrow();
        recorded.by_list(listing.targets.get(pool).into_iter().flatten())
    }

    /// Completes once a list has named a software version, or after `limit`. A stream may have begun at a
    /// version that another daemon's list named first.
    pub async fn version_known(&self, version: VersionDigest, limit: Duration) {
        let known = async {
            while !self.versions.borrow().contains(&version) {
                let listener = self.updated.listen();
                if !self.versions.borrow().contains(&version) {
                    listener.await;
                }
            }
        };
        // Without it, no target of this list may resume the stream.
        let _ = monoio::time::timeout(limit, known).await;
    }

    /// Notes the versions that a list names.
    fn note_versions(&self, listing: &Listing) {
        let mut versions = self.versions.borrow_mut();
        if versions.len() > MAX_VERSIONS {
            versions.clear();
        }
        let targets = listing.all().map(|(_, target)| target);
        versions.extend(targets.filter_map(VersionDigest::of));
    }

    /// Number of targets whose newest instance is remembered.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.borrow().len()
    }

    /// Returns `true` if a later instance of the same target is known.
    fn is_superseded(&self, target: &Target) -> bool {
        self.instances
            .borrow()
            .is_superseded(&TargetInstance::of(target))
    }

    /// Completes once a later instance of the same target is known.
    pub async fn superseded(&self, instance: &TargetInstance) {
        while !self.instances.borrow().is_superseded(instance) {
            let listener = self.updated.listen();
            if !self.instances.borrow().is_superseded(instance) {
                listener.await;
            }
        }
    }

    /// Replaces the list if the new one is newer. Returns `true` if it did. Set `may_lapse` if
    /// entries of live targets may have expired.
    pub fn update(&self, mut listing: Listing, may_lapse: bool) -> bool {
        let known = self.listing();
        if !listing.replaces(&known) {
            return false;
        }
        self.instances.borrow_mut().resolve(&mut listing, &known);
        let now = Instant::now();
        let is_restored = listing.is_restored(&known);
        if is_restored {
            self.departed.note_restore(now);
        }
        let missing = if may_lapse || is_restored {
            Missing::MayLapse
        } else if self.departed.is_recovering(now) {
            Missing::LeftSinceRestore
        } else {
            Missing::Left
        };
        self.lapsed.update(&known, &listing, missing);
        self.departed.update(&known, &listing, missing);
        self.history.borrow_mut().record(&known, &listing);
        self.note_versions(&listing);
        listing.log_unusable(&known);
        listing.log_changes(&known, &self.lapsed);
        log::info!(
            lapsed = self.lapsed.len(),
            leaving = listing.leaving.len(),
            era = listing.revision.era,
            revision = listing.revision.number,
            targets = listing.all().count(),
            unusable = listing.unusable.len();
            "list of targets"
        );
        *self.listing.borrow_mut() = Rc::new(listing);
        self.updated.notify(usize::MAX);
        true
    }
}

/// Applies a list that the daemon received.
pub fn apply_listing(daemon: &Rc<Daemon>, listing: Listing) {
    let now = MonoioClock.boot_time();
    daemon
        .platform_contact
        .latest_era
        .observe(listing.revision.era);
    let previous = daemon.live_list.listing();
    let is_restored = listing.is_restored(&previous);
    if is_restored {
        daemon.platform_contact.record_restore(now);
    }
    let may_lapse = daemon.platform_contact.may_expire(now);
    if may_lapse || is_restored {
        let silent = daemon.platform_contact.list_age(now);
        log::info!(
            era = listing.revision.era,
            revision = listing.revision.number,
            silent_ms = lifecycle::log_ms(silent);
            "missing targets of this list may have lapsed"
        );
    }
    daemon.rollouts.note_listing(&listing, Instant::now());
    if !daemon.live_list.update(listing, may_lapse) {
        return;
    }
    if is_restored {
        restored(daemon);
    }
    for (_, ended) in previous
        .all()
        .filter(|(_, target)| daemon.live_list.is_superseded(target))
    {
        log::info!(born = ended.started_ms, target_id = ended.id; "target restarted");
        daemon.client.discard_connections(&ended.address);
    }
    daemon.version_record.notify();
    daemon.origins.check_versions(&daemon.live_list);
    let unusable = daemon.live_list.listing().unusable.len();
    let unusable = i64::try_from(unusable).unwrap_or(i64::MAX);
    daemon.metrics.unusable_entries.set(unusable);
    changed(daemon);
    lapsed::settle(daemon);
}

/// Recovers what the store has lost by a restore.
fn restored(daemon: &Rc<Daemon>) {
    log::warn!(era = daemon.live_list.listing().revision.era; "the store has come back from an older copy");
    daemon.advisories.crashes().notify();
    let daemon = Rc::clone(daemon);
    runtime::spawn(async move {
        monoio::time::sleep(departed::RECOVERY_TIME).await;
        changed(&daemon);
    });
}

/// Drops targets of which another daemon knows that they were removed since a restore of the store.
pub fn drop_removed(daemon: &Rc<Daemon>, removed: &[TargetInstance]) {
    if daemon.live_list.lapsed.drop_removed(removed) {
        changed(daemon);
    }
}

/// Passes a change of the targets on to the dispatchers and the orders.
pub(super) fn changed(daemon: &Rc<Daemon>) {
    server::configuration_changed(daemon);
    manager::reconcile(daemon);
}
