//! Configurations between daemons: what one holds, and what it lacks of another's.
//!
//! A daemon that hears of a newer [`Identity`] asks its holder what changed. The answer names
//! only sections that differ, as the manifest of a large configuration alone is larger than
//! what a daemon may spend on control in a second.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::adoption::{self, Adoption};
use super::deflated::{self, Deflated};
use super::manifest::{Identity, Manifest, Standing};
use super::sections::{Contents, Digest, SectionName};
use crate::clock::Clock;
use crate::ids::{Generation, VmId};
use crate::peers::{self, Peers};
use crate::steps::{self, Pace, Steps};

/// Result of an exchange.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Size of a section's name and digest in a manifest, roughly.
const ENTRY_BYTES: usize = 90;

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
        /// Whether the asker takes deflated sections.
        #[serde(default)]
        takes_deflated: bool,
    },
    /// The contents of these sections.
    Sections {
        /// Their digests.
        digests: Vec<Digest>,
        /// Whether the asker takes deflated sections.
        #[serde(default)]
        takes_deflated: bool,
    },
}

/// Answers an [`Ask`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The changes since the asker's configuration.
    Changes(Changes),
    /// Deflated contents of sections, as far as they are held.
    Deflated(Deflated),
    /// The answerer does not know the asker's configuration: its own manifest in full.
    Manifest(Manifest),
    /// The answerer holds nothing newer, or can't send it now.
    Nothing,
    /// Contents of sections, as far as they are held.
    Sections(Contents),
}

impl Answer {
    /// Size of what it holds in bytes, roughly.
    #[must_use]
    pub fn size(&self) -> usize {
        let plain = |contents: &Contents| contents.values().map(|c| c.len()).sum::<usize>();
        let deflated = |contents: &Deflated| contents.values().map(Bytes::len).sum::<usize>();
        match self {
            Self::Changes(changes) => {
                let entries = changes.set.len() * ENTRY_BYTES;
                entries + deflated(&changes.deflated) + plain(&changes.contents)
            }
            Self::Deflated(contents) => deflated(contents),
            Self::Manifest(manifest) => manifest.sections.len() * ENTRY_BYTES,
            Self::Nothing => 0,
            Self::Sections(contents) => plain(contents),
        }
    }
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
    /// Contents of the sections that changed, unless the asker takes deflated ones.
    pub contents: Contents,
    /// Deflated contents of the sections that changed.
    #[serde(default, skip_serializing_if = "Deflated::is_empty")]
    pub deflated: Deflated,
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
pub async fn take_newest<P: Peers<Ask, Answer>, C: Clock>(
    peers: &P,
    reports: &[Report],
    adoption: &Adoption,
    clock: &C,
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
        take_from(peers, &holder.vm, adoption, clock).await?;
    }
    Ok(())
}

/// Answers what another daemon asks.
#[must_use]
pub fn answer(adoption: &Adoption, ask: &Ask) -> Answer {
    match ask {
        Ask::Changes {
            held,
            takes_deflated,
        } => changes_since(adoption, held.as_ref(), *takes_deflated),
        Ask::Sections {
            digests,
            takes_deflated,
        } => sections(adoption, digests, *takes_deflated),
    }
}

/// Deflates what the answer to `ask` will hold, and pauses after each section.
pub async fn prepare<C: Clock>(adoption: &Adoption, ask: &Ask, clock: &C) {
    let digests = match ask {
        Ask::Changes {
            held,
            takes_deflated: true,
        } => new_sections(adoption, held.as_ref()),
        Ask::Sections {
            digests,
            takes_deflated: true,
        } => digests.clone(),
        _ => return,
    };
    for digest in digests {
        if adoption.lacks_deflated(&digest) && adoption.deflated(&digest).is_some() {
            steps::pause(clock).await;
        }
    }
}

/// Takes over what the daemon on `vm` holds, if it is newer. Returns what is in force then.
///
/// # Errors
/// The peer failed, or its configuration was not adopted.
pub async fn take_from<P: Peers<Ask, Answer>, C: Clock>(
    peers: &P,
    vm: &VmId,
    adoption: &Adoption,
    clock: &C,
) -> Result<Option<Identity>> {
    let held = adoption.identity();
    let ask = Ask::Changes {
        held,
        takes_deflated: true,
    };
    match peers.call(vm, ask).await? {
        Answer::Nothing => (),
        Answer::Changes(changes) => take_changes(adoption, changes, clock).await?,
        Answer::Manifest(manifest) => {
            take_manifest(peers, vm, adoption, manifest, clock).await?;
        }
        Answer::Deflated(_) | Answer::Sections(_) => return Err(Error::Unexpected),
    }
    Ok(adoption.identity())
}

async fn take_changes<C: Clock>(adoption: &Adoption, changes: Changes, clock: &C) -> Result<()> {
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
    let pace = Steps::new(clock.clone());
    let contents = match changes.deflated.is_empty() {
        true => changes.contents,
        false => inflate(&manifest, &changes.deflated, &pace).await,
    };
    adopt(adoption, manifest, &contents, &pace).await?;
    adoption.keep_deflated(changes.deflated);
    Ok(())
}

/// Inflates the sections that belong to a configuration.
async fn inflate(manifest: &Manifest, deflated: &Deflated, pace: &impl Pace) -> Contents {
    let named: IndexSet<_> = manifest.sections.values().collect();
    deflated::inflate_in_steps(deflated, |digest| named.contains(digest), pace).await
}

async fn take_manifest<P: Peers<Ask, Answer>, C: Clock>(
    peers: &P,
    vm: &VmId,
    adoption: &Adoption,
    manifest: Manifest,
    clock: &C,
) -> Result<()> {
    let known = adoption.known(&manifest, &Contents::new());
    let digests = super::sections::missing(&manifest.sections, &known);
    if digests.is_empty() {
        return adopt(adoption, manifest, &known, &Steps::new(clock.clone())).await;
    }
    let ask = Ask::Sections {
        digests,
        takes_deflated: true,
    };
    let answer = peers.call(vm, ask).await?;
    let pace = Steps::new(clock.clone());
    match answer {
        Answer::Deflated(deflated) => {
            let contents = inflate(&manifest, &deflated, &pace).await;
            adopt(adoption, manifest, &contents, &pace).await?;
            adoption.keep_deflated(deflated);
            Ok(())
        }
        Answer::Sections(contents) => adopt(adoption, manifest, &contents, &pace).await,
        _ => Err(Error::Unexpected),
    }
}

/// Another task may have adopted the same in the meantime, which is no failure.
async fn adopt(
    adoption: &Adoption,
    manifest: Manifest,
    contents: &Contents,
    pace: &impl Pace,
) -> Result<()> {
    match adoption.adopt_in_steps(manifest, contents, pace).await {
        Ok(_) | Err(adoption::Error::NotNewer(_)) => Ok(()),
        Err(e) => Err(e.into()),
    }
}

/// Digests of the sections that an asker lacks that holds a configuration known here.
fn new_sections(adoption: &Adoption, held: Option<&Identity>) -> Vec<Digest> {
    let base = held.and_then(|held| adoption.recent(held));
    let (Some(base), Some(current)) = (base, adoption.current()) else {
        return Vec::new();
    };
    let known: IndexSet<_> = base.sections.values().collect();
    let digests = current.manifest.sections.values();
    digests
        .filter(|digest| !known.contains(digest))
        .cloned()
        .collect()
}

fn changes_since(adoption: &Adoption, held: Option<&Identity>, takes_deflated: bool) -> Answer {
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
    let new = new_sections(adoption, held);
    let (contents, deflated) = match takes_deflated {
        true => (Contents::new(), deflated_of(adoption, &new)),
        false => (contents_of(adoption, &new), Deflated::new()),
    };
    Answer::Changes(Changes {
        ancestors: manifest.ancestors.clone(),
        author: manifest.author.clone(),
        base: base.identity.clone(),
        contents,
        deflated,
        identity: manifest.identity.clone(),
        removed: base.sections.keys().filter(gone).cloned().collect(),
        set,
    })
}

fn sections(adoption: &Adoption, digests: &[Digest], takes_deflated: bool) -> Answer {
    match takes_deflated {
        true => Answer::Deflated(deflated_of(adoption, digests)),
        false => Answer::Sections(contents_of(adoption, digests)),
    }
}

/// Contents of these sections, as far as they are held.
fn contents_of(adoption: &Adoption, digests: &[Digest]) -> Contents {
    let current = adoption.current();
    let held = |digest| current.as_ref().and_then(|held| held.contents.get(digest));
    digests
        .iter()
        .filter_map(|digest| Some((digest.clone(), held(digest)?.clone())))
        .collect()
}

/// The same, deflated.
fn deflated_of(adoption: &Adoption, digests: &[Digest]) -> Deflated {
    digests
        .iter()
        .filter_map(|digest| Some((digest.clone(), adoption.deflated(digest)?)))
        .collect()
}
