//! The persistent record of quarantines in the platform's store.
//!
//! Daemons have no disk, and both sides of a network partition may still reach the store. The
//! record is one object of bounded size. Each write drops expired entries.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use super::LIFETIME;
use crate::ids::ContentDigest;

/// Maximum number of quarantines kept.
const CAPACITY: usize = 64;

/// The quarantines in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    quarantines: Vec<Entry>,
}

/// One quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Entry {
    /// Start of the quarantine, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Digest of the quarantined content, in hexadecimal.
    content: String,
}

impl QuarantineRecord {
    /// Quarantines that have not expired, with their ages. Entries whose digest is malformed are
    /// skipped.
    pub fn current(&self, now: SystemTime) -> impl Iterator<Item = (ContentDigest, Duration)> {
        let entries = self.quarantines.iter();
        let entries = entries.filter_map(move |entry| {
            let content = ContentDigest::from_str_radix(&entry.content, 16).ok()?;
            let at = Duration::from_millis(entry.at_ms);
            Some((content, since_epoch(now).saturating_sub(at)))
        });
        entries.filter(|(_, age)| *age < LIFETIME).take(CAPACITY)
    }

    /// Adds quarantines with their ages. Drops expired entries, and the oldest beyond the capacity.
    pub fn add(&mut self, new: &[(ContentDigest, Duration)], now: SystemTime) {
        let mut all: Vec<_> = self.current(now).collect();
        for (content, age) in new {
            all.retain(|(known, _)| known != content);
            all.push((*content, *age));
        }
        all.sort_by_key(|(_, age)| *age);
        all.truncate(CAPACITY);
        let entry = |(content, age): (ContentDigest, Duration)| Entry {
            at_ms: u64::try_from(since_epoch(now).saturating_sub(age).as_millis())
                .unwrap_or(u64::MAX),
            content: format!("{content:016x}"),
        };
        self.quarantines = all.into_iter().map(entry).collect();
    }
}

fn since_epoch(now: SystemTime) -> Duration {
    now.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
