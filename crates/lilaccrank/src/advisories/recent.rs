//! Remembers the contents of recently completed requests, or the parts of their prompts.
//!
//! Callers may send the same request often, such as a status query. When several targets crash at
//! once for another reason, each may have such a request in flight. A recent completion shows that
//! the request is not a query of death.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::ids::ContentDigest;

/// Minimum time for which a content is remembered; the maximum is twice as long.
const RETENTION: Duration = Duration::from_secs(30);
/// Number of contents in the current set at which the sets rotate and the older one is dropped.
const CAPACITY: usize = 2_048;

/// Contents that were recently completed, kept in two generations.
#[derive(Debug)]
pub struct RecentContents {
    current: IndexSet<ContentDigest>,
    previous: IndexSet<ContentDigest>,
    rotated_at: Instant,
}

impl RecentContents {
    /// Creates an empty set.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            current: IndexSet::new(),
            previous: IndexSet::new(),
            rotated_at: now,
        }
    }

    /// Adds a content that was completed.
    pub fn insert(&mut self, content: ContentDigest, now: Instant) {
        self.rotate(now);
        self.current.insert(content);
    }

    /// Returns `true` if the content was completed recently.
    pub fn contains(&mut self, content: ContentDigest, now: Instant) -> bool {
        self.rotate(now);
        self.current.contains(&content) || self.previous.contains(&content)
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.rotated_at);
        if age < RETENTION && self.current.len() < CAPACITY {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= RETENTION * 2 {
            self.previous.clear();
        }
        self.rotated_at = now;
    }
}
