//! Identifies an instance of a target by name and start time.
//!
//! A target may restart under the same name. Nothing known about the earlier instance holds for
//! the new one: its slots are free, its cache is empty, its speed and error rate are unknown, and
//! connections to it are closed. State about targets is therefore keyed by this type, so that a
//! new instance starts without any.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::document::Target;
use crate::ids::{StartTimeMs, TargetId};

/// Digest that stands for an instance in messages between daemons. Daemons exchange data about
/// some twenty targets; the probability that two of these share a digest is 1 in 20 million.
pub type InstanceDigest = u32;

/// An instance of a target, from its start to its end.
#[derive(
    Clone, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{id}, born {started_ms}")]
pub struct TargetInstance {
    /// Name of the target, which later instances may share.
    pub id: TargetId,
    /// Start time in milliseconds since the Unix epoch, 0 if unknown.
    #[serde(rename = "born")]
    pub started_ms: StartTimeMs,
}

impl TargetInstance {
    /// Returns the instance that a target entry describes.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        Self {
            started_ms: target.started_ms,
            id: target.id.clone(),
        }
    }

    /// Returns the digest that stands for the instance in messages.
    #[must_use]
    pub fn digest(&self) -> InstanceDigest {
        xxh3::xxh3_64_with_seed(self.id.as_bytes(), self.started_ms) as InstanceDigest
    }
}

/// Creates an instance with an unknown start time.
impl From<&str> for TargetInstance {
    fn from(id: &str) -> Self {
        Self {
            started_ms: 0,
            id: id.to_owned(),
        }
    }
}
