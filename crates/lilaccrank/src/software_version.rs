//! Software versions of targets, and which version may go on with a stream.
//!
//! Events of two versions don't fit together, and targets don't check who wrote the earlier ones.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::document::Target;

/// Digest of a software version.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
pub struct VersionDigest(u64);

impl VersionDigest {
    /// Returns the digest of a version.
    #[must_use]
    pub fn new(version: &str) -> Self {
        Self(xxh3::xxh3_64(version.as_bytes()))
    }

    /// Returns the digest of a target's version; `None` if it is unknown.
    #[must_use]
    pub fn of(target: &Target) -> Option<Self> {
        target.version.as_deref().map(Self::new)
    }
}

/// Where a stream began.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub enum Origin {
    /// Nowhere: its caller has no event of it.
    #[default]
    #[display("new")]
    New,
    /// At a target with this version.
    #[display("{_0}")]
    At(VersionDigest),
    /// At a target whose version is unknown, or at two versions.
    #[display("unknown")]
    Unknown,
}

impl Origin {
    /// Returns `true` if the stream has not begun.
    #[must_use]
    pub fn is_new(self) -> bool {
        self == Self::New
    }

    /// Returns `true` if a target with this version may send events of the stream. An unknown
    /// version may only begin one.
    #[must_use]
    pub fn permits(self, version: Option<VersionDigest>) -> bool {
        match self {
            Self::New => true,
            Self::At(origin) => version == Some(origin),
            Self::Unknown => false,
        }
    }

    /// Returns the origin after a target with this version has sent events.
    #[must_use]
    pub fn after(self, version: Option<VersionDigest>) -> Self {
        match (self, version) {
            (Self::New, Some(version)) => Self::At(version),
            (Self::New, None) => Self::Unknown,
            (origin, version) if origin.permits(version) => origin,
            _ => Self::Unknown,
        }
    }
}
