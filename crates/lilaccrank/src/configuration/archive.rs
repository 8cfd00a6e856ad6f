//! Reads manifests and sections from the store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use thiserror::Error;

use super::manifest::{self, Identity, Manifest};
use super::retry::Retry;
use super::sections::{self, Contents};
use crate::clock::Clock;
use crate::document::Document;
use crate::ids::Generation;
use crate::store::{self, Store, Version};

/// Result of a reading.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a reading failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A manifest is not what this version of the program writes.
    #[error("the manifest at {key} can't be read: {message}")]
    Manifest {
        /// Its key.
        key: String,
        /// What serde says.
        message: String,
    },
    /// The sections don't make up a document.
    #[error(transparent)]
    Sections(#[from] sections::Error),
    /// The store failed for longer than the limit.
    #[error(transparent)]
    Store(#[from] store::Error),
}

/// The manifest in force and the version of its object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Current {
    /// The manifest.
    pub manifest: Manifest,
    /// Version of the object that holds it.
    pub version: Version,
}

/// Reads from one store until a deadline; made anew for each operation.
#[derive(Clone, Debug)]
pub struct Archive<S, C> {
    clock: C,
    deadline: Instant,
    store: S,
}

impl<S: Store, C: Clock> Archive<S, C> {
    /// Reads from `store`; all reads together take at most `limit` from now.
    #[must_use]
    pub fn new(store: &S, clock: &C, limit: Duration) -> Self {
        Self {
            clock: clock.clone(),
            deadline: clock.now() + limit,
            store: store.clone(),
        }
    }

    /// The manifest in force, `None` if nothing was ever published.
    ///
    /// # Errors
    /// The store failed, or the manifest can't be read.
    pub async fn current(&self) -> Result<Option<Current>> {
        let found = self.get(manifest::KEY).await?;
        found.map(|found| read_current(&found)).transpose()
    }

    /// The manifest of an earlier generation; only those that were superseded are there.
    ///
    /// # Errors
    /// The store failed, or the manifest can't be read.
    pub async fn history(&self, generation: Generation) -> Result<Option<Manifest>> {
        let key = manifest::history_key(generation);
        let found = self.get(&key).await?;
        found.map(|found| decode(&key, &found.value)).transpose()
    }

    /// The manifest of a configuration, in force or superseded.
    ///
    /// # Errors
    /// The store failed, or the manifest can't be read.
    pub async fn find(&self, identity: &Identity) -> Result<Option<Manifest>> {
        let current = self.current().await?.map(|current| current.manifest);
        if let Some(current) = current.filter(|current| current.identity == *identity) {
            return Ok(Some(current));
        }
        let found = self.history(identity.generation).await?;
        Ok(found.filter(|found| found.identity == *identity))
    }

    /// The ancestors of `manifest` that are still kept, the youngest first.
    ///
    /// # Errors
    /// The store failed, or a manifest can't be read.
    pub async fn ancestors(&self, manifest: &Manifest) -> Result<Vec<Manifest>> {
        let mut ancestors = Vec::new();
        for identity in &manifest.ancestors {
            let found = self.history(identity.generation).await?;
            ancestors.extend(found.filter(|found| found.identity == *identity));
        }
        Ok(ancestors)
    }

    /// The contents of a manifest's sections, taken from `known` where they are there.
    ///
    /// # Errors
    /// The store failed, or lacks a section.
    pub async fn contents(&self, manifest: &Manifest, known: &Contents) -> Result<Contents> {
        let mut contents = Contents::new();
        for digest in manifest.sections.values() {
            let content = match known.get(digest) {
                Some(content) => content.clone(),
                None => self.section(digest).await?,
            };
            contents.insert(digest.clone(), content);
        }
        Ok(contents)
    }

    /// The document of a manifest.
    ///
    /// # Errors
    /// The store failed, or the sections don't make up a document.
    pub async fn document(&self, manifest: &Manifest, known: &Contents) -> Result<Document> {
        let contents = self.contents(manifest, known).await?;
        Ok(sections::assemble(&manifest.sections, &contents)?)
    }

    async fn section(&self, digest: &str) -> Result<Rc<str>> {
        let found = self.get(&sections::key(digest)).await?;
        let missing = || sections::Error::Missing(vec![digest.to_owned()]);
        let found = found.ok_or_else(missing)?;
        let content = std::str::from_utf8(&found.value);
        let content = content.map_err(|_| sections::Error::Corrupt(digest.to_owned()))?;
        Ok(content.into())
    }

    async fn get(&self, key: &str) -> store::Result<Option<store::Versioned>> {
        let mut retry = Retry::until(&self.clock, self.deadline);
        retry.call(async || self.store.get(key).await).await
    }
}

/// Reads the object at [`manifest::KEY`].
pub(super) fn read_current(found: &store::Versioned) -> Result<Current> {
    Ok(Current {
        manifest: decode(manifest::KEY, &found.value)?,
        version: found.version,
    })
}

pub(super) fn encode(key: &str, manifest: &Manifest) -> Result<Bytes> {
    let json = serde_json::to_vec(manifest).map_err(|e| unreadable(key, &e))?;
    Ok(json.into())
}

fn decode(key: &str, value: &[u8]) -> Result<Manifest> {
    serde_json::from_slice(value).map_err(|e| unreadable(key, &e))
}

fn unreadable(key: &str, e: &serde_json::Error) -> Error {
    Error::Manifest {
        key: key.to_owned(),
        message: e.to_string(),
    }
}
