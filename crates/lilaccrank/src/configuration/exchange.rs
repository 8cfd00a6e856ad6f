//! Configurations between daemons: what one holds, and what it lacks of another's.
//!
//! A daemon that hears of a newer [`Identity`] asks its holder what changed. The answer names
//! only sections that differ, as the manifest of a large configuration alone is larger than
//! what a daemon may spend on control in a second.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::adoption::{self, Adoption};
use super::manifest::{Identity, Manifest, Standing};
use super::sections::{Contents, Digest, SectionName};
use crate::ids::{Generation, VmId};
use crate::peers::{self, Peers};

/// Result of an exchange.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an exchange did not end with the peer's configuration in force here.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Error {
    /// It was not adopted.
    #[error(transparent)]
    Adoption(#[from] adoption::Error),
    /// The peer did not answer.
    #[error(transparent)]
    Peer(#[from] peers::Error),
    /// Daemons hold different configurations of the highest generation, as after a store came
    /// back older: one of their watchers is about to put one above the others.
    #[error("daemons hold different configurations of generation {0}")]
    Split(Generation),
    /// The peer's answer does not fit what was asked.
    #[error("the answer does not fit the question")]
    Unexpected,
}

/// Asked of the daemon that holds a newer configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// What changed since this configuration, which the asker holds.
    Changes {
        /// The asker's configuration.
        held: Option<Identity>,
    },
    /// The contents of these sections.
    Sections {
        /// Their digests.
        digests: Vec<Digest>,
    },
}

/// Answers an [`Ask`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The changes since the asker's configuration.
    Changes(Changes),
    /// The answerer does not know the asker's configuration: its own manifest in full.
    Manifest(Manifest),
    /// The answerer holds nothing newer.
    Nothing,
    /// Contents of sections, as far as they are held.
    Sections(Contents),
}

/// What changed from one configuration to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// The configurations that it was made from, the youngest first.
    pub ancestors: Vec<Identity>,
    /// The operator who published it.
    pub author: String,
    /// The asker's configuration.
    pub base: Identity,
    /// Contents of the sections that changed.
    pub contents: Contents,
    /// The answerer's configuration.
    pub identity: Identity,
    /// Sections that are gone.
    pub removed: Vec<SectionName>,
    /// Digests of the sections that are new or changed.
    pub set: IndexMap<SectionName, Digest>,
}

/// What a live daemon holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Its configuration.
    pub held: Option<Identity>,
    /// The daemon.
    pub vm: VmId,
}

/// Takes over the newest configuration that is reported, if it is newer than the one here.
///
/// # Errors
/// The holder failed, or the newest ones differ.
pub async fn take_newest<P: Peers<Ask, Answer>>(
    peers: &P,
    reports: &[Report],
    adoption: &Adoption,
) -> Result<()> {
    let here = adoption.identity();
    let reported = reports.iter().filter_map(|report| report.held.as_ref());
    let held: Vec<_> = reported.chain(here.as_ref()).collect();
    let Some(newest) = held.iter().max_by_key(|held| held.generation) else {
        return Ok(());
    };
    let mut held = held.iter();
    if held.any(|held| held.standing(newest) == Standing::Sibling) {
        return Err(Error::Split(newest.generation));
    }
    let mut reports = reports.iter();
    let holder = reports.find(|report| report.held.as_ref() == Some(*newest));
    if let Some(holder) = holder.filter(|_| adoption.wants(newest)) {
        take_from(peers, &holder.vm, adoption).await?;
    }
    Ok(())
}

/// Answers what another daemon asks.
#[must_use]
pub fn answer(adoption: &Adoption, ask: &Ask) -> Answer {
    match ask {
        Ask::Changes { held } => changes_since(adoption, held.as_ref()),
        Ask::Sections { digests } => sections(adoption, digests),
    }
}

/// Takes over what the daemon on `vm` holds, if it is newer. Returns what is in force then.
///
/// # Errors
/// The peer failed, or its configuration was not adopted.
pub async fn take_from<P: Peers<Ask, Answer>>(
    peers: &P,
    vm: &VmId,
    adoption: &Adoption,
) -> Result<Option<Identity>> {
    let held = adoption.identity();
    let ask = Ask::Changes { held };
    match peers.call(vm, ask).await? {
        Answer::Nothing => (),
        Answer::Changes(changes) => take_changes(adoption, changes)?,
        Answer::Manifest(manifest) => take_manifest(peers, vm, adoption, manifest).await?,
        Answer::Sections(_) => return Err(Error::Unexpected),
    }
    Ok(adoption.identity())
}

fn take_changes(adoption: &Adoption, changes: Changes) -> Result<()> {
    let base = adoption.recent(&changes.base).ok_or(Error::Unexpected)?;
    let mut sections = base.sections;
    for name in &changes.removed {
        sections.shift_remove(name);
    }
    sections.extend(changes.set);
    sections.sort_unstable_keys();
    let manifest = Manifest {
        ancestors: changes.ancestors,
        author: changes.author,
        identity: changes.identity,
        sections,
    };
    adopt(adoption, manifest, &changes.contents)
}

async fn take_manifest<P: Peers<Ask, Answer>>(
    peers: &P,
    vm: &VmId,
    adoption: &Adoption,
    manifest: Manifest,
) -> Result<()> {
    let known = adoption.known(&manifest, &Contents::new());
    let digests = super::sections::missing(&manifest.sections, &known);
    if digests.is_empty() {
        return adopt(adoption, manifest, &known);
    }
    match peers.call(vm, Ask::Sections { digests }).await? {
        Answer::Sections(contents) => adopt(adoption, manifest, &contents),
        _ => Err(Error::Unexpected),
    }
}

/// Another task may have adopted the same in the meantime, which is no failure.
fn adopt(adoption: &Adoption, manifest: Manifest, contents: &Contents) -> Result<()> {
    match adoption.adopt(manifest, contents) {
        Ok(_) | Err(adoption::Error::NotNewer(_)) => Ok(()),
        Err(e) => Err(e.into()),
    }
}

fn changes_since(adoption: &Adoption, held: Option<&Identity>) -> Answer {
    let Some(current) = adoption.current() else {
        return Answer::Nothing;
    };
    let manifest = &current.manifest;
    if held.is_some_and(|held| held.generation >= manifest.identity.generation) {
        return Answer::Nothing;
    }
    let Some(base) = held.and_then(|held| adoption.recent(held)) else {
        return Answer::Manifest(manifest.clone());
    };
    let differs =
        |(name, digest): &(&SectionName, &Digest)| base.sections.get(*name) != Some(digest);
    let set: IndexMap<_, _> = manifest
        .sections
        .iter()
        .filter(differs)
        .map(|(name, digest)| (name.clone(), digest.clone()))
        .collect();
    let gone = |name: &&SectionName| !manifest.sections.contains_key(*name);
    let in_base = |digest: &&Digest| base.sections.values().any(|held| held == *digest);
    let new = set.values().filter(|digest| !in_base(digest));
    let contents = new.map(|digest| (digest.clone(), current.contents[digest].clone()));
    Answer::Changes(Changes {
        ancestors: manifest.ancestors.clone(),
        author: manifest.author.clone(),
        base: base.identity.clone(),
        contents: contents.collect(),
        identity: manifest.identity.clone(),
        removed: base.sections.keys().filter(gone).cloned().collect(),
        set,
    })
}

fn sections(adoption: &Adoption, digests: &[Digest]) -> Answer {
    let current = adoption.current();
    let held = |digest| current.as_ref().and_then(|held| held.contents.get(digest));
    let found = digests
        .iter()
        .filter_map(|digest| Some((digest.clone(), held(digest)?.clone())));
    Answer::Sections(found.collect())
}
