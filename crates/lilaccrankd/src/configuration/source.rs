//! Port for the source of configurations and of the list of targets.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use lilaccrank::clock::{BootTime, Clock};
use lilaccrank::configuration::adoption::{self, Building};
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::document::Document;
use lilaccrank::ids::Generation;
use lilaccrank::rollout::order::Orders;
use lilaccrank::steps::Pace;
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::configuration;
use crate::daemon::Daemon;
use crate::rollouts::orders::{self, KnownOrders};
use crate::targets::live_list::{self, Listing};

/// Watches the platform and passes its updates to the daemon.
pub trait Source {
    /// Watches the platform until the future is dropped; it never completes.
    fn follow(&self, handler: UpdateHandler) -> LocalBoxFuture<'static, ()>;
}

/// Applies the updates of a source to the daemon.
#[derive(Clone)]
pub struct UpdateHandler {
    daemon: Rc<Daemon>,
    /// When the daemon began to watch the platform.
    began_at: Instant,
}

impl UpdateHandler {
    /// Creates a handler for `daemon`.
    #[must_use]
    pub fn new(daemon: &Rc<Daemon>) -> Self {
        Self {
            daemon: Rc::clone(daemon),
            began_at: Instant::now(),
        }
    }

    /// The daemon that the updates are applied to.
    #[must_use]
    pub fn daemon(&self) -> &Rc<Daemon> {
        &self.daemon
    }

    /// Pause before the next watch of the list of targets, after an answer with changes; `quiet` is the
    /// time since the one before.
    #[must_use]
    pub fn watch_pause(&self, quiet: Option<Duration>) -> Duration {
        let daemon = &self.daemon;
        // While no watcher reaches the platform, the others hear of changes from this daemon.
        let is_watching = daemon.duties.is_watcher() || !configuration::has_fresh_watcher(daemon);
        configuration::watch_pause(quiet, is_watching, self.began_at.elapsed())
    }

    /// Returns `true` if a configuration is newer than the one in force.
    #[must_use]
    pub fn wants(&self, identity: &Identity) -> bool {
        self.daemon.adoption.wants(identity)
    }

    /// Begins to read a configuration, once no other one is being built. Until the result is dropped no other one is.
    pub async fn begin(&self) -> Building<'_> {
        self.daemon.adoption.begin().await
    }

    /// Adopts a whole configuration if it is newer than the one in force. Other tasks run meanwhile.
    ///
    /// # Errors
    ///
    /// If the configuration is invalid; the one in force stays.
    pub async fn adopt_configuration(
        &self,
        building: &Building<'_>,
        identity: Identity,
        author: &str,
        document: &Document,
        pace: &impl Pace,
    ) -> adoption::Result<()> {
        let manifest = Manifest {
            ancestors: Vec::new(),
            author: author.to_owned(),
            identity,
            sections: IndexMap::new(),
        };
        let adopted = building.adopt_document(manifest, document, pace);
        match adopted.await {
            Ok(_) | Err(adoption::Error::NotNewer(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Records that the platform held the configuration of `generation` at `at`, or none that can be
    /// used. It confirms the one in force only if it is the same: an older one, as after a restore of the
    /// platform's store, does not, nor does a newer one that was not adopted.
    pub fn confirm_configuration(&self, generation: Option<Generation>, at: BootTime) {
        let in_force = self.daemon.adoption.identity();
        if in_force.is_some_and(|identity| Some(identity.generation) == generation) {
            self.daemon.adoption.confirm(at);
        }
        self.daemon
            .platform_contact
            .record_configuration(MonoioClock.boot_time());
    }

    /// Records a call about the list of targets, whose answer is due at `at`.
    pub fn expect_listing(&self, at: BootTime) {
        self.daemon.live_list.freshness.expect_answer(at);
    }

    /// Records that a part of the answer has come. The rest is due as if it had been asked for now.
    pub fn expect_rest(&self) {
        let now = MonoioClock.boot_time();
        self.daemon.live_list.freshness.expect_rest(now);
    }

    /// Time since the list of targets was known to be the newest; `None` if it never was.
    #[must_use]
    pub fn listing_age(&self) -> Option<Duration> {
        self.daemon.live_list.freshness.age(MonoioClock.boot_time())
    }

    /// Returns `true` if the list names a version that may belong to an order of a roll-out that is not
    /// known yet.
    #[must_use]
    pub fn lacks_orders(&self) -> bool {
        self.daemon.cfg.rollouts && self.daemon.rollouts.lacks_orders()
    }

    /// Replaces the orders of roll-outs.
    pub fn update_orders(&self, orders: Orders) {
        let known = KnownOrders {
            orders,
            ..KnownOrders::default()
        };
        orders::update(&self.daemon, known);
    }

    /// Records that the platform did not answer a call about the list of targets.
    pub fn listing_failed(&self) {
        let now = MonoioClock.boot_time();
        self.daemon.platform_contact.record_list_failure(now);
    }

    /// Replaces the list of targets by one that was current at `at`.
    pub fn update_listing(&self, listing: Listing, at: BootTime) {
        let known = self.daemon.live_list.listing().revision;
        // A list that is newer than this one of the same era was current at `at` or later.
        if listing.revision.era >= known.era {
            self.daemon.live_list.freshness.answered(at);
        }
        if listing.revision < known {
            log::info!(known:% = known, revision:% = listing.revision; "ignored an older list of targets");
            return;
        }
        self.daemon
            .platform_contact
            .record_list(MonoioClock.boot_time());
        live_list::apply_listing(&self.daemon, listing);
    }
}
