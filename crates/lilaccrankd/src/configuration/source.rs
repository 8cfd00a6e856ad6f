//! The port to where configurations and the list of targets come from.

use std::rc::Rc;

use futures::future::LocalBoxFuture;
use lilaccrank::clock::{BootTime, Clock};
use lilaccrank::configuration::adoption;
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::Document;
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;
use crate::targets::live_list::{self, Listing};

/// Follows what the platform says, and tells the daemon.
pub trait Source {
    /// Follows for as long as it is polled; it never ends by itself.
    fn follow(&self, intake: Intake) -> LocalBoxFuture<'static, ()>;
}

/// Takes in what a source found.
#[derive(Clone)]
pub struct Intake {
    daemon: Rc<Daemon>,
}

impl Intake {
    /// The intake of a daemon.
    #[must_use]
    pub fn new(daemon: &Rc<Daemon>) -> Self {
        Self {
            daemon: Rc::clone(daemon),
        }
    }

    /// The daemon that is told.
    #[must_use]
    pub fn daemon(&self) -> &Rc<Daemon> {
        &self.daemon
    }

    /// Adopts a whole configuration, unless one as new is in force.
    ///
    /// # Errors
    ///
    /// It has problems; the one in force stays.
    pub fn configuration(
        &self,
        identity: Identity,
        author: &str,
        document: &Document,
    ) -> adoption::Result<()> {
        if !self.daemon.adoption.wants(&identity) {
            return Ok(());
        }
        let sections = Sections::split(document)?;
        let manifest = Manifest {
            ancestors: Vec::new(),
            author: author.to_owned(),
            identity,
            sections: sections.index,
        };
        match self.daemon.adoption.adopt(manifest, &sections.contents) {
            Ok(_) | Err(adoption::Error::NotNewer(_)) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Nothing newer than what is in force was published before `at`.
    pub fn confirmed(&self, at: BootTime) {
        self.daemon.adoption.confirm(at);
        self.daemon.heard.configuration(MonoioClock.boot_time());
    }

    /// Takes over a list of targets.
    pub fn listing(&self, listing: Listing) {
        live_list::apply_listing(&self.daemon, listing);
    }

    /// The list of targets was the newest at `at`.
    pub fn listing_confirmed(&self, at: BootTime) {
        self.daemon.live_list.confirm(at);
        self.daemon.heard.list(MonoioClock.boot_time());
    }
}
