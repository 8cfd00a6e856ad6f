//! What the tests of publication and adoption share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::archive::Archive;
use lilaccrank::configuration::exchange::{self, Answer, Ask};
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::configuration::publish::{self, Confirmation, Publication};
use lilaccrank::configuration::watcher::{self, Look, Timing};
use lilaccrank::document::{Document, Rule};
use lilaccrank::ids::VmId;
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::peers::{self, Peers};

use crate::configuration_store::{FakeStore, run};

pub const LIMIT: Duration = Duration::from_secs(10);

/// A document with these rules.
pub fn document(rules: &[&str]) -> Document {
    let rules = rules.iter().map(|id| {
        let mut rule = Rule {
            id: (*id).to_owned(),
            ..Rule::default()
        };
        rule.then.refuse = Some("closed".to_owned());
        rule.when.path = Some(format!("/{id}"));
        rule
    });
    Document {
        rules: rules.collect(),
        tiers: vec!["urgent".to_owned()],
        ..Document::default()
    }
}

pub fn publication(id: &str, base: Option<&Identity>, rules: &[&str]) -> Publication {
    Publication {
        author: format!("author of {id}"),
        base: base.cloned(),
        document: document(rules),
        id: id.to_owned(),
    }
}

/// A store, its clock and one daemon.
pub struct Bench {
    pub adoption: Adoption,
    pub clock: PausedClock,
    pub store: FakeStore,
}

impl Bench {
    pub fn new() -> Self {
        let clock = PausedClock::new();
        Self {
            adoption: Adoption::new(),
            store: FakeStore::new(&clock),
            clock,
        }
    }

    pub fn publish(&self, publication: Publication) -> publish::Result<Identity> {
        self.publish_at(&Adoption::new(), publication)
    }

    /// Publishes at a daemon.
    pub fn publish_at(
        &self,
        adoption: &Adoption,
        publication: Publication,
    ) -> publish::Result<Identity> {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        let adoption = adoption.clone();
        run(&self.clock, async move {
            publish::publish(&store, &clock, &adoption, &publication, LIMIT).await
        })
    }

    /// Publishes on top of what the store has, without any fault.
    pub fn publish_next(&self, id: &str, rules: &[&str]) -> Identity {
        let base = self.store.manifest().map(|manifest| manifest.identity);
        let published = self.publish(publication(id, base.as_ref(), rules));
        published.unwrap()
    }

    pub fn look(&self, adoption: &Adoption) -> watcher::Result<Look> {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        let adoption = adoption.clone();
        run(&self.clock, async move {
            watcher::look(&store, &clock, &adoption, Timing::default()).await
        })
    }

    pub fn archive(&self) -> Archive<FakeStore, PausedClock> {
        Archive::new(&self.store, &self.clock, LIMIT)
    }

    pub fn confirm(&self, published: Identity, held: Identity) -> Confirmation {
        let archive = self.archive();
        run(&self.clock, async move {
            let confirmed = publish::confirm(&archive, &published, &[held]).await;
            confirmed.unwrap()
        })
    }
}

/// A peer that holds `holder`'s configuration, and the sizes of its answers in bytes.
#[derive(Clone)]
pub struct Holder {
    pub holder: Adoption,
    pub sent: Rc<RefCell<Vec<usize>>>,
}

impl Peers<Ask, Answer> for Holder {
    async fn call(&self, _: &VmId, ask: Ask) -> peers::Result<Answer> {
        let wire = rmp_serde::to_vec_named(&exchange::answer(&self.holder, &ask)).unwrap();
        self.sent.borrow_mut().push(wire.len());
        Ok(rmp_serde::from_slice(&wire).unwrap())
    }
}
