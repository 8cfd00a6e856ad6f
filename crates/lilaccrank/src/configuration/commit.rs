//! The one way in which the manifest is replaced.

use bytes::Bytes;
use indexmap::IndexSet;

use super::archive::{self, Current, Result};
use super::manifest::{self, Manifest};
use super::retry::Retry;
use super::sections::{self, Contents};
use crate::clock::Clock;
use crate::store::{self, Expect, Store};

/// How an attempt to replace the manifest ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The manifest was replaced.
    Done,
    /// No answer came: it may have been replaced.
    Unknown,
    /// Another write came first.
    Overtaken,
}

/// Writes the sections that `current` lacks, keeps `current` in the history and then replaces
/// it by `next`, if it is still there.
///
/// A daemon that sees the new manifest must find all that it names, and a lost answer must be
/// resolvable after a further publication; so both are written before the manifest.
pub(super) async fn replace<S: Store, C: Clock>(
    store: &S,
    retry: &mut Retry<C>,
    current: Option<&Current>,
    next: &Manifest,
    contents: &Contents,
) -> Result<Outcome> {
    write_sections(store, retry, current, next, contents).await?;
    if let Some(current) = current {
        write_history(store, retry, &current.manifest).await?;
    }
    let expect = current.map_or(Expect::Absent, |current| Expect::Version(current.version));
    let value = archive::encode(manifest::KEY, next)?;
    match retry.once(store.put(manifest::KEY, value, expect)).await {
        Ok(_) => Ok(Outcome::Done),
        Err(store::Error::Conflict { .. }) => Ok(Outcome::Overtaken),
        Err(store::Error::Unknown) => Ok(Outcome::Unknown),
        Err(e) => Err(e.into()),
    }
}

/// Sections that `current` names are in use and safe. All others are written even if they are
/// there: the new version of the object keeps a garbage collection that is under way from
/// deleting a section just before this manifest names it.
async fn write_sections<S: Store, C: Clock>(
    store: &S,
    retry: &mut Retry<C>,
    current: Option<&Current>,
    next: &Manifest,
    contents: &Contents,
) -> Result<()> {
    let sections = current.map(|current| current.manifest.sections.values());
    let in_use: IndexSet<_> = sections.into_iter().flatten().collect();
    for digest in next.sections.values() {
        if in_use.contains(digest) {
            continue;
        }
        let content = contents
            .get(digest)
            .ok_or_else(|| sections::Error::Missing(vec![digest.clone()]))?;
        let key = sections::key(digest);
        let value = Bytes::copy_from_slice(content.as_bytes());
        let put = async || store.put(&key, value.clone(), Expect::Any).await;
        retry.call(put).await?;
    }
    Ok(())
}

async fn write_history<S: Store, C: Clock>(
    store: &S,
    retry: &mut Retry<C>,
    manifest: &Manifest,
) -> Result<()> {
    let key = manifest::history_key(manifest.identity.generation);
    let value = archive::encode(&key, manifest)?;
    let put = async || store.put(&key, value.clone(), Expect::Absent).await;
    match retry.call(put).await {
        Ok(_) | Err(store::Error::Conflict { .. }) => Ok(()),
        Err(e) => Err(e.into()),
    }
}
