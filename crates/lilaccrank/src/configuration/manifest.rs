//! The manifest: which sections make up a configuration, and where it stands in the order.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::sections::{Digest, SectionName};
use crate::ids::{Generation, PublicationId};

/// Key of the manifest in force.
pub const KEY: &str = "configuration/manifest";

/// Earlier manifests kept for rollback and comparison.
pub const HISTORY_LENGTH: usize = 50;

/// Names one configuration.
///
/// The generation alone is not enough: a store that came back older can give the same one to
/// another publication.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("generation {generation} ({publication})")]
pub struct Identity {
    /// Position in the order of publications.
    pub generation: Generation,
    /// The publication.
    pub publication: PublicationId,
}

/// A configuration by the digests of its sections.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// The configurations that it was made from, the youngest first, at most
    /// [`HISTORY_LENGTH`]. They stand here and not only in the history, because a store that
    /// came back older has gaps there, and a publication behind a gap would be taken for lost.
    pub ancestors: Vec<Identity>,
    /// The operator who published it.
    pub author: String,
    /// Name of this configuration.
    #[serde(flatten)]
    pub identity: Identity,
    /// Digest of each section, sorted by name.
    pub sections: IndexMap<SectionName, Digest>,
}

/// How a configuration stands to another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It has a higher generation.
    Newer,
    /// It has a lower generation.
    Older,
    /// It is the same.
    Same,
    /// It is another publication of the same generation.
    Sibling,
}

impl Identity {
    /// How this configuration stands to `other`.
    #[must_use]
    pub fn standing(&self, other: &Self) -> Standing {
        match self.generation.cmp(&other.generation) {
            std::cmp::Ordering::Greater => Standing::Newer,
            std::cmp::Ordering::Less => Standing::Older,
            std::cmp::Ordering::Equal if self == other => Standing::Same,
            std::cmp::Ordering::Equal => Standing::Sibling,
        }
    }
}

impl Manifest {
    /// The ancestors of a manifest that is made from this one.
    #[must_use]
    pub fn lineage(&self) -> Vec<Identity> {
        let lineage = std::iter::once(&self.identity).chain(&self.ancestors);
        lineage.take(HISTORY_LENGTH).cloned().collect()
    }

    /// The configuration that this one was made from.
    #[must_use]
    pub fn parent(&self) -> Option<&Identity> {
        self.ancestors.first()
    }

    /// Where `publication` stands among this configuration and its ancestors.
    #[must_use]
    pub fn find(&self, publication: &str) -> Option<&Identity> {
        let mut lineage = std::iter::once(&self.identity).chain(&self.ancestors);
        lineage.find(|identity| identity.publication == publication)
    }
}

/// Key of the manifest of an earlier generation.
#[must_use]
pub fn history_key(generation: Generation) -> String {
    format!("configuration/history/{generation}")
}
