//! The kinds of facts, and how long each is kept.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ContentDigest;
use crate::target_instance::InstanceDigest;

/// Time to live of a fact without a time of its own. A target that leaves ends within minutes.
pub const LIFETIME: Duration = Duration::from_secs(600);
/// Time to live of a limit after the latest answer that advertised it.
pub const RATE_LIMIT_LIFETIME: Duration = Duration::from_secs(60);
/// Version of the kinds of facts. A daemon of an earlier version can't read facts of a later one.
pub const FORMAT: u8 = 3;

/// A fact that a daemon observed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fact {
    /// What a target said with its latest answer of how many requests it can turn away.
    #[serde(rename = "b")]
    Brittle {
        /// Requests in a second that it can turn away; `None` if it is sound again.
        limit: Option<u32>,
        /// Digest of the target's ID and start time.
        target: InstanceDigest,
    },
    /// A target ended while a request with this content was in flight on it.
    #[serde(rename = "c")]
    Crash {
        /// Digest of the request's content.
        content: ContentDigest,
        /// Digest of the target's ID and start time.
        target: InstanceDigest,
    },
    /// A target ended while it was to begin an answer to a prompt with this part.
    #[serde(rename = "p")]
    PartCrash {
        /// Number of parts before it in the prompt.
        depth: u8,
        /// Digest of the part and its customer.
        part: ContentDigest,
        /// Digest of the target's ID and start time.
        target: InstanceDigest,
    },
    /// A target answered a request with this content completely, or went on with the answer to a prompt
    /// with this part.
    #[serde(rename = "d")]
    Completed {
        /// Digest of the request's content or of the part.
        content: ContentDigest,
    },
    /// An answer of a target said that it leaves. It gets no new requests, whatever the list of
    /// targets says.
    #[serde(rename = "l")]
    Leaving {
        /// Digest of the target's ID and start time.
        target: InstanceDigest,
    },
    /// The platform's store holds a quarantine of this content or part.
    #[serde(rename = "q")]
    Quarantined {
        /// Digest of the request's content or of the part.
        content: ContentDigest,
    },
    /// The rate limit that a target advertised with its latest answer.
    #[serde(rename = "r")]
    RateLimit {
        /// Requests per 1,000 seconds; `None` if the target no longer has a limit.
        per_1000_s: Option<u32>,
        /// Digest of the target's ID and start time.
        target: InstanceDigest,
    },
}

/// A fact with its age, as sent to other daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Advisory {
    /// Milliseconds since the fact was observed.
    pub age_ms: u32,
    /// The fact.
    pub fact: Fact,
}

/// Identifies the subject of a fact. A newer fact with the same key replaces the older one.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Key {
    Brittle(InstanceDigest),
    Completed(ContentDigest),
    Crash(ContentDigest, InstanceDigest),
    Leaving(InstanceDigest),
    Quarantined(ContentDigest),
    RateLimit(InstanceDigest),
}

impl Fact {
    /// Key under which a newer fact replaces this one.
    pub(super) fn key(self) -> Key {
        match self {
            Self::Brittle { target, .. } => Key::Brittle(target),
            Self::Completed { content } => Key::Completed(content),
            Self::Crash { content, target }
            | Self::PartCrash {
                part: content,
                target,
                ..
            } => Key::Crash(content, target),
            Self::Leaving { target } => Key::Leaving(target),
            Self::Quarantined { content } => Key::Quarantined(content),
            Self::RateLimit { target, .. } => Key::RateLimit(target),
        }
    }

    /// Content or part that the fact is about, if it is about one.
    pub(super) fn content(self) -> Option<ContentDigest> {
        match self {
            Self::Crash { content, .. }
            | Self::PartCrash { part: content, .. }
            | Self::Completed { content }
            | Self::Quarantined { content } => Some(content),
            Self::Brittle { .. } | Self::Leaving { .. } | Self::RateLimit { .. } => None,
        }
    }

    /// Content or part that was in flight at a crash.
    pub(super) fn crashed(self) -> Option<ContentDigest> {
        match self {
            Self::Crash { content, .. } | Self::PartCrash { part: content, .. } => Some(content),
            _ => None,
        }
    }

    /// Returns `true` if both are limits that targets advertise, and this one is lower.
    pub(super) fn is_stricter_than(self, other: Self) -> bool {
        let limit = |fact| match fact {
            Self::Brittle { limit, .. } => Some(limit.unwrap_or(u32::MAX)),
            Self::RateLimit { per_1000_s, .. } => Some(per_1000_s.unwrap_or(u32::MAX)),
            _ => None,
        };
        limit(self)
            .zip(limit(other))
            .is_some_and(|(own, other)| own < other)
    }

    /// Time for which the fact is kept.
    pub(super) fn lifetime(self) -> Duration {
        match self {
            Self::Brittle { .. } | Self::RateLimit { .. } => RATE_LIMIT_LIFETIME,
            _ => LIFETIME,
        }
    }

    /// The first [`FORMAT`] that has this kind of fact.
    pub(super) fn format(self) -> u8 {
        match self {
            Self::PartCrash { .. } => 3,
            Self::Brittle { .. } => 2,
            Self::Leaving { .. } => 1,
            _ => 0,
        }
    }
}
