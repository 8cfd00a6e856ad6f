//! Targets that are missing from the list after an outage of the platform, and may come back.
//!
//! While the platform is away, targets can't renew their entries. A daemon that was cut off or frozen
//! finds entries missing as well, of targets that have left. It asks other daemons whether the
//! platform was away before it sends to such a target.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::clock::Clock;
use lilaccrank::document::{Target, TargetState};
use lilaccrank::ids::{PoolId, TargetId};
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrank_http::timeout;

use crate::configuration::feed;
use crate::daemon::Daemon;
use crate::targets::live_list::{self, Listing};

/// Interval at which the end of the wait for lapsed targets is checked. Targets that are still
/// missing then are gone, and must get no requests from that moment on.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which sends to a lapsed target wait for the answers of other daemons.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(250);

/// What is known of the targets that a list lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Missing {
    /// They have left.
    Left,
    /// They have left, but not those that were missing when the store came back from a copy.
    LeftSinceRestore,
    /// They may have lapsed.
    MayLapse,
}

/// Targets that are missing from the list but may only have lapsed.
#[derive(Default)]
pub struct Lapsed {
    targets: RefCell<IndexMap<TargetId, (PoolId, Target)>>,
    /// Set while a task waits until they have come back or are known to have left.
    settling: Cell<bool>,
    /// Set while other daemons are being asked whether the platform was away.
    verifying: Cell<bool>,
    /// Notified when they have been asked.
    verified: Event,
}

impl Lapsed {
    /// Removes the targets that `listing` has, and those that have left; adds live targets of `known` that
    /// are missing from it and may have lapsed.
    pub fn update(&self, known: &Listing, listing: &Listing, missing: Missing) {
        let mut targets = self.targets.borrow_mut();
        if missing == Missing::Left {
            targets.clear();
            return;
        }
        let listed: IndexSet<&TargetId> = listing.all().map(|(_, target)| &target.id).collect();
        targets.retain(|id, _| !listed.contains(id));
        if missing == Missing::LeftSinceRestore {
            return;
        }
        // A target that was draining has left; it did not lapse.
        let missing = known.all().filter(|(_, target)| {
            target.state == TargetState::Live && !listed.contains(&target.id)
        });
        targets.extend(missing.map(|(pool, t)| (t.id.clone(), (pool.clone(), t.clone()))));
    }

    /// Lapsed targets of a pool.
    #[must_use]
    pub fn of_pool(&self, pool: &str) -> Vec<Target> {
        let targets = self.targets.borrow();
        let of_pool = targets.values().filter(|(of, _)| of == pool);
        of_pool.map(|(_, target)| target.clone()).collect()
    }

    /// Finds a lapsed target of a pool by its instance.
    #[must_use]
    pub fn find(&self, pool: &str, instance: &TargetInstance) -> Option<Target> {
        let targets = self.targets.borrow();
        let (of, target) = targets.get(&instance.id)?;
        let is_found = of == pool && TargetInstance::of(target) == *instance;
        is_found.then(|| target.clone())
    }

    /// Returns `true` if this target has lapsed.
    #[must_use]
    pub fn contains(&self, target: &str) -> bool {
        self.targets.borrow().contains_key(target)
    }

    /// Number of lapsed targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.borrow().len()
    }

    /// Returns `true` if no target has lapsed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.borrow().is_empty()
    }

    /// Drops targets that were removed since the store came back from a copy. Returns `true` if there were
    /// any.
    pub fn drop_removed(&self, removed: &[TargetInstance]) -> bool {
        let mut targets = self.targets.borrow_mut();
        let before = targets.len();
        targets.retain(|_, (_, target)| !removed.contains(&TargetInstance::of(target)));
        targets.len() < before
    }

    /// Drops all lapsed targets. Returns `true` if there were any.
    pub fn forget(&self) -> bool {
        let targets = self.targets.take();
        for id in targets.keys() {
            log::info!(target_id = id; "dropped a lapsed target after the outage");
        }
        !targets.is_empty()
    }

    /// Waits, if this target has lapsed, until other daemons were asked whether the platform was
    /// away.
    pub async fn until_verified(&self, instance: &TargetInstance) {
        while self.is_unverified(instance) {
            let verified = self.verified.listen();
            if self.verifying.get() {
                verified.await;
            }
        }
    }

    /// Returns `true` if this target has lapsed and other daemons are being asked whether the platform was
    /// away.
    #[must_use]
    pub fn is_unverified(&self, instance: &TargetInstance) -> bool {
        self.verifying.get() && self.contains(&instance.id)
    }

    fn end_verifying(&self) {
        self.verifying.set(false);
        self.verified.notify(usize::MAX);
    }
}

/// Starts to wait until the lapsed targets have come back or are known to have left.
pub fn settle(daemon: &Rc<Daemon>) {
    let lapsed = &daemon.live_list.lapsed;
    if lapsed.is_empty() || lapsed.settling.replace(true) {
        return;
    }
    lapsed.verifying.set(true);
    runtime::spawn(run(Rc::clone(daemon)));
}

async fn run(daemon: Rc<Daemon>) {
    let lapsed = &daemon.live_list.lapsed;
    let _ = timeout::timeout(VERIFY_TIMEOUT, feed::poll_several(&daemon)).await;
    while daemon.platform_contact.may_lapse(MonoioClock.boot_time()) {
        lapsed.end_verifying();
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    lapsed.settling.set(false);
    if lapsed.forget() {
        live_list::changed(&daemon);
    }
    lapsed.end_verifying();
}
