//! One life of a target.
//!
//! A target may start again under the name that it had. Nothing that is known of its earlier life
//! holds for the new one: its slots are free, its cache is empty, its speed and errors are still to be
//! seen, and connections to it are dead. Whatever is known of a target is therefore kept by this
//! type, so that the new life begins with nothing.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::document::Target;
use crate::ids::{StartTimeMs, TargetId};

/// Stands for a life in messages between daemons, which tell each other of some twenty targets: two of
/// these have the same one in one of 20 million fleets.
pub type InstanceDigest = u32;

/// A target from its start to its end.
#[derive(
    Clone, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{id}, born {started_ms}")]
pub struct TargetInstance {
    /// Its name, which a later life may have too.
    pub id: TargetId,
    /// When it started.
    #[serde(rename = "born")]
    pub started_ms: StartTimeMs,
}

impl TargetInstance {
    /// The life of a target as it is listed.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        Self {
            started_ms: target.started_ms,
            id: target.id.clone(),
        }
    }

    /// The number that stands for it.
    #[must_use]
    pub fn digest(&self) -> InstanceDigest {
        xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.started_ms) as InstanceDigest
    }
}

/// A target of which nobody says when it started.
impl From<&str> for TargetInstance {
    fn from(id: &str) -> Self {
        Self {
            started_ms: 0,
            id: id.to_owned(),
        }
    }
}
