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

/// Versions that a request may go to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum VersionFilter {
    /// All.
    #[default]
    Any,
    /// All but this one.
    Except(VersionDigest),
    /// This one.
    Only(VersionDigest),
}

impl VersionFilter {
    /// Returns `true` if a target with this version may get the request.
    #[must_use]
    pub fn permits(self, version: Option<VersionDigest>) -> bool {
        match self {
            Self::Any => true,
            Self::Except(excluded) => version != Some(excluded),
            Self::Only(required) => version == Some(required),
        }
    }
}

/// What a request demands of the version of its target.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct VersionNeeds {
    /// Versions that a roll-out allows.
    pub filter: VersionFilter,
    /// Where the stream began.
    pub origin: Origin,
}

impl VersionNeeds {
    /// Returns `true` if a target with this version may get the request.
    #[must_use]
    pub fn permit(self, version: Option<VersionDigest>) -> bool {
        self.filter.permits(version) && self.origin.permits(version)
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
