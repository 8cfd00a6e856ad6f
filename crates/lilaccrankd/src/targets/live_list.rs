//! The platform's list of what lives: targets that came or leave. It lags.
//!
//! The watchers of a data centre read it, the other daemons hear it from them, so that the calls
//! at the platform grow with the data centres and not with the daemons.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use lilaccrank::clock::BootTime;
use lilaccrank::document::{Pool, Target, TargetState};
use lilaccrank::ids::{PoolId, VmId};
use serde::{Deserialize, Serialize};

use crate::daemon::Daemon;
use crate::orders::keeper;
use crate::pools::server;

/// What the platform says of targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Listing {
    /// Vms that are leaving: the targets on them get nothing new.
    pub leaving: IndexSet<VmId>,
    /// Grows with each change, where the platform counts them; else 0.
    pub revision: u64,
    /// Targets by pool, for pools that name none themselves.
    pub targets: IndexMap<PoolId, Vec<Target>>,
    /// How many of the targets are not in the platform's list any more, and may only have lapsed
    /// while it was away.
    pub tentative: usize,
}

impl Listing {
    /// Whether this list is to take the place of `known`.
    ///
    /// A list that went another way would bring back targets that have left. Of two lists of one
    /// revision the one with fewer tentative targets knows better: its daemon could ask all the
    /// time.
    #[must_use]
    pub fn replaces(&self, known: &Self) -> bool {
        let counts_changes = self.revision > 0;
        if !counts_changes {
            return known.revision == 0 && self != known;
        }
        let place = |listing: &Self| (listing.revision, Reverse(listing.tentative));
        place(self) > place(known)
    }
}

/// What this daemon knows of the list.
#[derive(Default)]
pub struct LiveList {
    confirmed: Cell<Option<BootTime>>,
    listing: RefCell<Rc<Listing>>,
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

    /// What is known.
    #[must_use]
    pub fn listing(&self) -> Rc<Listing> {
        Rc::clone(&self.listing.borrow())
    }

    /// The pool with the targets that the list adds, and with those on leaving vms draining.
    #[must_use]
    pub fn apply(&self, pool: &Pool) -> Pool {
        let listing = self.listing.borrow();
        let mut pool = pool.clone();
        if pool.listed
            && let Some(listed) = listing.targets.get(&pool.id)
        {
            pool.targets.extend_from_slice(listed);
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
    pub fn find(&self, pool: &str, target: &str) -> Option<Target> {
        let listing = self.listing.borrow();
        let listed = listing.targets.get(pool)?;
        listed.iter().find(|listed| listed.id == target).cloned()
    }
}

/// Takes over a list, unless the one known is better, see [`Listing::replaces`].
pub fn take(daemon: &Rc<Daemon>, listing: Listing) {
    let list = &daemon.live_list.listing;
    let known = Rc::clone(&list.borrow());
    if !listing.replaces(&known) {
        return;
    }
    log::info!(
        leaving = listing.leaving.len(),
        revision = listing.revision,
        targets = listing.targets.values().map(Vec::len).sum::<usize>(),
        tentative = listing.tentative;
        "list of targets"
    );
    *list.borrow_mut() = Rc::new(listing);
    server::configuration_changed(daemon);
    keeper::reconcile(daemon);
}
