//! The configuration in force in one daemon.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures::lock::{Mutex, MutexGuard};
use indexmap::IndexMap;
use thiserror::Error;

use super::building::{self, Material};
use super::deflated::{self, Deflated};
use super::manifest::{Identity, Manifest, Standing};
use super::sections::{self, Contents, Digest, Parts, Sections};
use crate::clock::BootTime;
use crate::document::Document;
use crate::rules::matching::{self, Block, RuleSet};
use crate::rules::problem::Problem;
use crate::steps::{self, AtOnce, Cost, Pace};

/// Result of adopting a configuration.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Manifests kept to tell other daemons what changed since.
const RECENT_LENGTH: usize = 16;

/// Why a configuration was not adopted; the one in force stays.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Error {
    /// The document has problems.
    #[error("the document has {} problems", .0.len())]
    Invalid(Vec<Problem>),
    /// The one in force is as new or newer.
    #[error("{0} is in force already")]
    NotNewer(Identity),
    /// The rules can't be compiled.
    #[error(transparent)]
    Rules(#[from] matching::Error),
    /// A section is missing or damaged.
    #[error(transparent)]
    Sections(#[from] sections::Error),
}

/// A configuration that was checked as a whole.
#[derive(Debug)]
pub struct Configuration {
    /// The compiled rules of each section that has any.
    pub blocks: IndexMap<Digest, Rc<Block>>,
    /// Contents of the sections.
    pub contents: Contents,
    /// Time that it took to build.
    pub cost: Cost,
    /// The document.
    pub document: Rc<Document>,
    /// The manifest.
    pub manifest: Manifest,
    /// The sections as they were read: a change costs the reading of what changed only.
    pub parts: Parts,
    /// The compiled rules.
    pub rules: Rc<RuleSet>,
}

/// Holds the configuration in force; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Adoption {
    /// Held while a configuration is built: one at a time.
    building: Rc<Mutex<()>>,
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    confirmed: Option<BootTime>,
    current: Option<Rc<Configuration>>,
    /// Sections in force that were sent to other daemons, or received from one.
    deflated: Deflated,
    recent: VecDeque<Manifest>,
    wakers: Vec<Waker>,
}

/// The right to build a configuration; others wait until it is dropped.
pub struct Building<'a> {
    adoption: &'a Adoption,
    _guard: MutexGuard<'a, ()>,
}

impl Building<'_> {
    /// Splits a document and puts it in force like [`adopt_in_steps`](Adoption::adopt_in_steps).
    ///
    /// # Errors
    /// Those of [`adopt`](Adoption::adopt), or a section is too large.
    pub async fn adopt_document(
        &self,
        manifest: Manifest,
        document: &Document,
        pace: &impl Pace,
    ) -> Result<Rc<Configuration>> {
        let adoption = self.adoption;
        adoption.check_newer(&manifest.identity)?;
        let held = adoption.current();
        let nothing = (Contents::new(), Parts::new());
        let (contents, parts) = held.as_ref().map_or((&nothing.0, &nothing.1), |held| {
            (&held.contents, &held.parts)
        });
        let split = Sections::split_in_steps(document, contents, parts, pace).await?;
        let manifest = Manifest {
            sections: split.index,
            ..manifest
        };
        adoption
            .build(manifest, &split.contents, &split.parts, pace)
            .await
    }
}

impl Adoption {
    /// Nothing is in force yet: the daemon is not ready.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<Rc<Configuration>> {
        self.inner.borrow().current.clone()
    }

    /// Name of the configuration in force.
    #[must_use]
    pub fn identity(&self) -> Option<Identity> {
        let inner = self.inner.borrow();
        let current = inner.current.as_ref();
        current.map(|current| current.manifest.identity.clone())
    }

    /// Whether this configuration would be adopted, had it all its sections.
    #[must_use]
    pub fn wants(&self, identity: &Identity) -> bool {
        let held = self.identity();
        held.is_none_or(|held| identity.standing(&held) == Standing::Newer)
    }

    /// Puts a configuration in force, if it has a higher generation and is whole and sound.
    /// Sections that are not in `received` are taken from the configuration in force.
    ///
    /// A daemon that was paused, or hears of an old configuration from a store or peer that came
    /// back, would otherwise undo a change that callers have already seen.
    ///
    /// # Errors
    /// It was not adopted, see [`enum@Error`].
    pub fn adopt(&self, manifest: Manifest, received: &Contents) -> Result<Rc<Configuration>> {
        steps::at_once(self.build(manifest, received, &Parts::new(), &AtOnce))
    }

    /// Like [`adopt`](Self::adopt), with pauses, in which no other configuration is built.
    ///
    /// # Errors
    /// Those of [`adopt`](Self::adopt).
    pub async fn adopt_in_steps(
        &self,
        manifest: Manifest,
        received: &Contents,
        pace: &impl Pace,
    ) -> Result<Rc<Configuration>> {
        let _building = self.begin().await;
        let read = Parts::new();
        self.build(manifest, received, &read, pace).await
    }

    /// Begins to build a configuration, once no other one is being built.
    pub async fn begin(&self) -> Building<'_> {
        Building {
            adoption: self,
            _guard: self.building.lock().await,
        }
    }

    async fn build(
        &self,
        manifest: Manifest,
        received: &Contents,
        read: &Parts,
        pace: &impl Pace,
    ) -> Result<Rc<Configuration>> {
        self.check_newer(&manifest.identity)?;
        let material = Material {
            contents: self.known(&manifest, received),
            held: self.current(),
            manifest,
            read,
        };
        let configuration = building::build(material, pace).await?;
        self.replace(Rc::new(configuration))
    }

    fn check_newer(&self, identity: &Identity) -> Result<()> {
        match self.identity() {
            Some(held) if !self.wants(identity) => Err(Error::NotNewer(held)),
            _ => Ok(()),
        }
    }

    /// Puts a configuration in force unless one that is as new is by now.
    fn replace(&self, configuration: Rc<Configuration>) -> Result<Rc<Configuration>> {
        self.check_newer(&configuration.manifest.identity)?;
        let wakers = {
            let mut inner = self.inner.borrow_mut();
            inner.current = Some(Rc::clone(&configuration));
            let in_force = &configuration.contents;
            inner
                .deflated
                .retain(|digest, _| in_force.contains_key(digest));
            inner.recent.push_back(configuration.manifest.clone());
            if inner.recent.len() > RECENT_LENGTH {
                inner.recent.pop_front();
            }
            std::mem::take(&mut inner.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
        Ok(configuration)
    }

    /// Nothing newer than what is in force was published before `at`.
    pub fn confirm(&self, at: BootTime) {
        let mut inner = self.inner.borrow_mut();
        if inner.current.is_some() {
            inner.confirmed = inner.confirmed.max(Some(at));
        }
    }

    /// How long ago what is in force was known to be the newest; `None` if it never was.
    ///
    /// Silence proves nothing: a watch whose connection died without a word looks like one on
    /// which nothing happens, and a machine that was suspended has missed the time between. Only
    /// the age of the last proof bounds how long a key works that was taken away.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        let confirmed = self.inner.borrow().confirmed?;
        Some(now.saturating_sub(confirmed))
    }

    /// Completes once the configuration in force is another than `seen`.
    pub async fn changed(&self, seen: Option<&Identity>) -> Rc<Configuration> {
        future::poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            let current = inner.current.clone();
            match current.filter(|current| Some(&current.manifest.identity) != seen) {
                Some(current) => Poll::Ready(current),
                None => {
                    inner.wakers.push(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Contents held of the sections that `manifest` names.
    pub(super) fn known(&self, manifest: &Manifest, received: &Contents) -> Contents {
        let current = self.current();
        let held = |digest| current.as_ref().and_then(|held| held.contents.get(digest));
        let digests = manifest.sections.values();
        digests
            .filter_map(|digest| {
                let content = received.get(digest).or_else(|| held(digest))?;
                Some((digest.clone(), Rc::clone(content)))
            })
            .collect()
    }

    /// The deflated content of a section in force.
    pub(super) fn deflated(&self, digest: &Digest) -> Option<Bytes> {
        if let Some(bytes) = self.inner.borrow().deflated.get(digest) {
            return Some(bytes.clone());
        }
        let current = self.current()?;
        let bytes = deflated::deflate(current.contents.get(digest)?)?;
        let kept = (digest.clone(), bytes.clone());
        self.inner.borrow_mut().deflated.extend([kept]);
        Some(bytes)
    }

    /// Keeps deflated sections that were received and are in force now.
    pub(super) fn keep_deflated(&self, received: Deflated) {
        let Some(current) = self.current() else {
            return;
        };
        let is_in_force = |(digest, _): &(Digest, Bytes)| current.contents.contains_key(digest);
        let kept = received.into_iter().filter(is_in_force);
        self.inner.borrow_mut().deflated.extend(kept);
    }

    /// Whether this section would have to be deflated before it can be sent.
    pub(super) fn lacks_deflated(&self, digest: &Digest) -> bool {
        !self.inner.borrow().deflated.contains_key(digest)
    }

    /// The manifest of a configuration that was lately in force here.
    pub(super) fn recent(&self, identity: &Identity) -> Option<Manifest> {
        let inner = self.inner.borrow();
        let mut recent = inner.recent.iter();
        recent.find(|recent| recent.identity == *identity).cloned()
    }
}
