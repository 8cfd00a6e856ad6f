//! Advisories: facts that one daemon observes and that bind all daemons.
//!
//! Each daemon keeps a set of facts, bounded in number and age. New ones are pushed to its cell with the next
//! load updates; anti-entropy ([`sync`]) carries them to the rest of the fleet, to daemons that start and
//! over healed partitions. Merging is idempotent and commutative, so that facts may be duplicated, delayed
//! and reordered.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::ids::ContentDigest;
use crate::target_instance::InstanceDigest;

pub mod recent;
pub mod record;
pub mod sync;

/// Targets that have to crash under the same content before it is quarantined. Other requests are on a
/// target that crashes, too, and are seldom on three of them.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time to live of a crash.
pub const LIFETIME: Duration = Duration::from_secs(600);
/// Time to live of a rate limit after the latest answer that advertised it.
pub const RATE_LIMIT_LIFETIME: Duration = Duration::from_secs(60);
/// Age from which a rate limit that is still advertised is propagated again.
const RATE_LIMIT_REFRESH_AGE: Duration = Duration::from_secs(15);
/// Facts kept.
pub const CAPACITY: usize = 1_024;
/// Load updates that carry a new fact. More than one may be lost on a bad link.
const TRANSMIT_LIMIT: u8 = 3;

/// Position of a fact in the order in which a daemon received its facts.
pub type Revision = u64;

/// An observation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fact {
    /// A target ended while it had a request with this content.
    #[serde(rename = "c")]
    Crash {
        /// The content.
        content: ContentDigest,
        /// The target.
        target: InstanceDigest,
    },
    /// A target answered a request with this content completely.
    #[serde(rename = "d")]
    Completed {
        /// The content.
        content: ContentDigest,
    },
    /// The platform's store holds a quarantine of this content.
    #[serde(rename = "q")]
    Quarantined {
        /// The content.
        content: ContentDigest,
    },
    /// The rate limit that a target advertised with its latest answer.
    #[serde(rename = "r")]
    RateLimit {
        /// Requests in 1,000 seconds; `None` if there is no limit any more.
        per_1000_s: Option<u32>,
        /// The target.
        target: InstanceDigest,
    },
}

/// A fact on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Advisory {
    /// Milliseconds since it was observed.
    pub age_ms: u32,
    /// The observation.
    pub fact: Fact,
}

/// The facts of one daemon.
#[derive(Debug, Default)]
pub struct Advisories {
    facts: IndexMap<Key, Record>,
    revision: Revision,
}

/// What a fact is about; a later one about the same takes its place.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Key {
    Completed(ContentDigest),
    Crash(ContentDigest, InstanceDigest),
    Quarantined(ContentDigest),
    RateLimit(InstanceDigest),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    fact: Fact,
    revision: Revision,
    observed_at: Instant,
    /// Load updates that have carried it.
    transmissions: u8,
}

impl Fact {
    fn key(self) -> Key {
        match self {
            Self::Completed { content } => Key::Completed(content),
            Self::Crash { content, target } => Key::Crash(content, target),
            Self::Quarantined { content } => Key::Quarantined(content),
            Self::RateLimit { target, .. } => Key::RateLimit(target),
        }
    }

    fn content(self) -> Option<ContentDigest> {
        match self {
            Self::Crash { content, .. }
            | Self::Completed { content }
            | Self::Quarantined { content } => Some(content),
            Self::RateLimit { .. } => None,
        }
    }

    fn lifetime(self) -> Duration {
        match self {
            Self::Crash { .. } | Self::Completed { .. } | Self::Quarantined { .. } => LIFETIME,
            Self::RateLimit { .. } => RATE_LIMIT_LIFETIME,
        }
    }
}

impl Record {
    fn advisory(&self, now: Instant) -> Advisory {
        let age = now.saturating_duration_since(self.observed_at);
        Advisory {
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            fact: self.fact,
        }
    }

    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed_at) < self.fact.lifetime()
    }

    /// Whether another fact with the same key, observed at `seen`, replaces this one.
    fn is_superseded(&self, fact: Fact, observed_at: Instant) -> bool {
        let later = observed_at.saturating_duration_since(self.observed_at);
        match fact {
            Fact::Crash { .. } | Fact::Quarantined { .. } => false,
            Fact::RateLimit { .. } if fact == self.fact => later >= RATE_LIMIT_REFRESH_AGE,
            Fact::Completed { .. } | Fact::RateLimit { .. } => !later.is_zero(),
        }
    }
}

impl Advisories {
    /// Whether there are no facts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Number of facts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Adds an observation of this daemon. Returns whether it is new.
    pub fn note(&mut self, fact: Fact, now: Instant) -> bool {
        self.insert(fact, now, 0, now)
    }

    /// Merges facts of another daemon. Returns those that are new.
    pub fn merge(&mut self, advisories: &[Advisory], now: Instant) -> Vec<Fact> {
        self.merge_with(advisories, 0, now)
    }

    /// Merges facts of a load update, which all daemons of the cell receive from its sender.
    pub fn merge_update(&mut self, advisories: &[Advisory], now: Instant) -> Vec<Fact> {
        self.merge_with(advisories, TRANSMIT_LIMIT, now)
    }

    /// How long requests with this content are still quarantined: enough targets crashed under it, and
    /// none has completed it since.
    #[must_use]
    pub fn quarantine_remaining(&self, content: ContentDigest, now: Instant) -> Option<Duration> {
        let stored_at = self.facts.get(&Key::Quarantined(content));
        let stored_at = stored_at.map(|record| record.observed_at);
        let mut crash_times: Vec<_> = self.crashes(content, now).collect();
        crash_times.sort_unstable_by_key(|at| Reverse(*at));
        let by_crashes = crash_times.get(QUARANTINE_CRASHES - 1).copied();
        let since = stored_at.max(by_crashes)?;
        let remaining = (since + LIFETIME).checked_duration_since(now);
        remaining.filter(|remaining| !remaining.is_zero())
    }

    /// Contents that are quarantined, and for how long they have been.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<(ContentDigest, Duration)> {
        let contents = self
            .facts
            .values()
            .filter_map(|record| record.fact.content());
        let contents: IndexSet<_> = contents.collect();
        let remaining = |content: ContentDigest| {
            let remaining = self.quarantine_remaining(content, now)?;
            Some((content, LIFETIME.saturating_sub(remaining)))
        };
        contents.into_iter().filter_map(remaining).collect()
    }

    /// Adds a quarantine of this age from the platform's store. Returns whether it is new.
    pub fn note_stored_quarantine(
        &mut self,
        content: ContentDigest,
        age: Duration,
        now: Instant,
    ) -> bool {
        let observed_at = now.checked_sub(age).unwrap_or(now);
        self.insert(Fact::Quarantined { content }, observed_at, 0, now)
    }

    /// Whether a target crashed lately.
    #[must_use]
    pub fn has_crashes(&self) -> bool {
        let mut facts = self.facts.keys();
        facts.any(|key| matches!(key, Key::Crash(..)))
    }

    /// Whether a target crashed under this content lately.
    #[must_use]
    pub fn is_suspect(&self, content: ContentDigest, now: Instant) -> bool {
        self.crashes(content, now).next().is_some()
    }

    /// Advertised rate limits that hold, in requests per second.
    pub fn rate_limits(&self, now: Instant) -> impl Iterator<Item = (InstanceDigest, f64)> {
        let current = self.facts.values();
        let current = current.filter(move |record| record.is_current(now));
        current.filter_map(|record| match record.fact {
            Fact::RateLimit { per_1000_s, target } => {
                Some((target, f64::from(per_1000_s?) / 1_000.0))
            }
            Fact::Crash { .. } | Fact::Completed { .. } | Fact::Quarantined { .. } => None,
        })
    }

    /// New facts for the next load update, `limit` at most.
    pub fn take_updates(&mut self, limit: usize, now: Instant) -> Vec<Advisory> {
        let new = self.facts.values_mut();
        let new =
            new.filter(|record| record.transmissions < TRANSMIT_LIMIT && record.is_current(now));
        let taken = new.take(limit).map(|record| {
            record.transmissions += 1;
            record.advisory(now)
        });
        taken.collect()
    }

    /// Facts received after `revision`, `limit` at most, and the revision up to which they are complete.
    fn facts_after(
        &self,
        revision: Revision,
        limit: usize,
        now: Instant,
    ) -> (Vec<Advisory>, Revision) {
        let later = self.facts.values();
        let mut later: Vec<_> = later.filter(|record| record.revision > revision).collect();
        later.sort_unstable_by_key(|record| record.revision);
        let up_to = match later.get(limit) {
            Some(_) => later[limit - 1].revision,
            None => self.revision,
        };
        let page = later.into_iter().take(limit);
        let page = page.filter(|record| record.is_current(now));
        (page.map(|record| record.advisory(now)).collect(), up_to)
    }

    fn merge_with(
        &mut self,
        advisories: &[Advisory],
        transmissions: u8,
        now: Instant,
    ) -> Vec<Fact> {
        let mut new = Vec::new();
        for advisory in advisories {
            let age = Duration::from_millis(advisory.age_ms.into());
            let observed_at = now.checked_sub(age).unwrap_or(now);
            if age < advisory.fact.lifetime()
                && self.insert(advisory.fact, observed_at, transmissions, now)
            {
                new.push(advisory.fact);
            }
        }
        new
    }

    fn insert(
        &mut self,
        fact: Fact,
        observed_at: Instant,
        transmissions: u8,
        now: Instant,
    ) -> bool {
        self.facts.retain(|_, record| record.is_current(now));
        if !self.is_new(fact, observed_at, now) {
            return false;
        }
        if let Fact::Completed { content } = fact {
            let fact_content = Some(content);
            self.facts.retain(|_, record| {
                record.fact.content() != fact_content || record.observed_at > observed_at
            });
        }
        self.revision += 1;
        let record = Record {
            fact,
            revision: self.revision,
            observed_at,
            transmissions,
        };
        self.facts.insert(fact.key(), record);
        if self.facts.len() > CAPACITY {
            self.evict();
        }
        true
    }

    /// Whether a fact changes the set.
    fn is_new(&self, fact: Fact, observed_at: Instant, now: Instant) -> bool {
        if let Some(known) = self.facts.get(&fact.key()) {
            return known.is_superseded(fact, observed_at);
        }
        match fact {
            Fact::Crash { content, .. } => {
                self.is_later_than_completed(content, observed_at)
                    && self.crashes(content, now).count() < QUARANTINE_CRASHES
            }
            Fact::Quarantined { content } => self.is_later_than_completed(content, observed_at),
            Fact::Completed { .. } => true,
            Fact::RateLimit { per_1000_s, .. } => per_1000_s.is_some(),
        }
    }

    fn is_later_than_completed(&self, content: ContentDigest, observed_at: Instant) -> bool {
        let completed = self.facts.get(&Key::Completed(content));
        completed.is_none_or(|record| record.observed_at < observed_at)
    }

    /// When targets crashed under this content.
    fn crashes(&self, content: ContentDigest, now: Instant) -> impl Iterator<Item = Instant> {
        let crashes = self.facts.values().filter(move |record| {
            matches!(record.fact, Fact::Crash { content: fact_content, .. } if fact_content == content)
                && record.is_current(now)
        });
        crashes.map(|record| record.observed_at)
    }

    /// Drops the oldest fact that no quarantine rests on.
    fn evict(&mut self) {
        let mut crashes: IndexMap<ContentDigest, usize> = IndexMap::new();
        for record in self.facts.values() {
            let weight = match record.fact {
                Fact::Quarantined { .. } => QUARANTINE_CRASHES,
                _ => 1,
            };
            if let Some(content) = record.fact.content() {
                *crashes.entry(content).or_default() += weight;
            }
        }
        let is_quarantined = |fact: Fact| {
            let content = fact.content();
            content.is_some_and(|content| crashes[&content] >= QUARANTINE_CRASHES)
        };
        let records = self.facts.values().enumerate();
        let oldest =
            records.min_by_key(|(_, record)| (is_quarantined(record.fact), record.observed_at));
        if let Some((index, _)) = oldest {
            self.facts.swap_remove_index(index);
        }
    }
}
