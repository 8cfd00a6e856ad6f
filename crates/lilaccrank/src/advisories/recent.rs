//! Contents of recently completed requests.
//!
//! Callers may send the same request often, such as a status query. Targets that crash at once for another
//! reason may each have one in flight; a recent completion distinguishes it from a query of death.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::ids::ContentDigest;

/// A content is remembered for this long at least, and twice as long at most.
const RETENTION: Duration = Duration::from_secs(30);
/// Contents remembered, in each of two sets; the older set is dropped as a whole.
const CAPACITY: usize = 2_048;

/// Contents that were completed lately.
#[derive(Debug)]
pub struct RecentContents {
    current: IndexSet<ContentDigest>,
    previous: IndexSet<ContentDigest>,
    rotated_at: Instant,
}

impl RecentContents {
    /// Nothing yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            current: IndexSet::new(),
            previous: IndexSet::new(),
            rotated_at: now,
        }
    }

    /// Remembers a content.
    pub fn insert(&mut self, content: ContentDigest, now: Instant) {
        self.rotate(now);
        self.current.insert(content);
    }

    /// Whether a content was completed lately.
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
