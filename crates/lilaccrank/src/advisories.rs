//! Advisories: facts that one daemon observes and that all daemons act on.
//!
//! Each daemon keeps a set of facts, bounded in number and age. New ones are pushed to its cell
//! with the next load updates. Anti-entropy ([`sync`]) carries them to the rest of the fleet, to
//! daemons that start and across partitions that heal. Merging is idempotent and commutative, so
//! facts may be duplicated, delayed and reordered.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::ids::ContentDigest;
use crate::target_instance::InstanceDigest;

mod blame;
mod fact;
mod facts;
pub mod recent;
pub mod record;
pub mod sync;

pub use fact::{Advisory, FORMAT, Fact, LIFETIME, RATE_LIMIT_LIFETIME};

use fact::Key;
use facts::{Facts, Rank};

/// Number of targets that must crash while serving a content before it is quarantined. Unrelated
/// requests are also in flight on a target that crashes, but rarely on three of them.
pub const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes that are kept of a part. Those beyond a quarantine tell it from parts that were in
/// flight at some of them.
const MAX_PART_CRASHES: usize = 8;
/// Age of what a target said of itself from which the same, said again, is propagated again.
const REFRESH_AGE: Duration = Duration::from_secs(15);
/// Time by which a fact from another daemon may seem later than it was. The age of a fact doesn't
/// include its time in transit, so the same fact seems later with each hop. A call between daemons
/// is cut after this time.
const TRANSIT_TOLERANCE: Duration = Duration::from_secs(1);
/// Maximum number of facts kept.
pub const CAPACITY: usize = 1_024;
/// Number of load updates that carry a new fact. On a bad link more than one may be lost.
const TRANSMIT_LIMIT: u8 = 3;

/// Position of a fact in the order in which a daemon received its facts.
pub type Revision = u64;

/// The set of facts that one daemon knows.
#[derive(Debug, Default)]
pub struct Advisories {
    facts: Facts,
    /// Contents and parts whose quarantine a completion has lifted here since they were last taken.
    lifted: IndexSet<ContentDigest>,
    revision: Revision,
}

/// How a fact reached this daemon.
#[derive(Clone, Copy, Debug)]
enum Origin {
    /// This daemon observed it, or read it from the platform's store.
    Local,
    /// A sync message of another daemon.
    Sync,
    /// A load update, which its sender has sent to all daemons of the cell.
    Update,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    fact: Fact,
    /// Set on a crash that a later completion has cleared. The record is kept, so that the same
    /// crash, heard again from another daemon, is not taken for a new one.
    is_cleared: bool,
    /// Set if a quarantine depends on the facts about the same content.
    is_held: bool,
    revision: Revision,
    observed_at: Instant,
    /// Number of load updates that have carried the fact.
    transmissions: u8,
}

impl Origin {
    /// Number of load updates that need not carry the fact any more.
    fn transmissions(self) -> u8 {
        match self {
            Self::Local | Self::Sync => 0,
            Self::Update => TRANSMIT_LIMIT,
        }
    }

    /// Time by which the fact has to be later than another one to be surely the later of the two.
    fn tolerance(self) -> Duration {
        match self {
            Self::Local => Duration::ZERO,
            Self::Sync | Self::Update => TRANSIT_TOLERANCE,
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

    /// Returns `true` if the fact is to be sent to other daemons.
    fn is_sendable(&self, now: Instant) -> bool {
        !self.is_cleared && self.is_current(now)
    }

    /// Returns `true` if a completion of `content` at this time clears this crash.
    fn is_crash_before(&self, content: ContentDigest, completed_at: Instant) -> bool {
        let is_crash = self.fact.crashed() == Some(content);
        is_crash && !self.is_cleared && self.observed_at <= completed_at
    }

    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed_at) < self.fact.lifetime()
    }

    /// Returns `true` if load updates have yet to carry the fact.
    fn is_untold(&self) -> bool {
        self.transmissions < TRANSMIT_LIMIT
    }

    /// Position in the order of expiry.
    fn end(&self) -> (Instant, Revision) {
        (self.observed_at + self.fact.lifetime(), self.revision)
    }

    fn rank(&self) -> Rank {
        (self.is_held, self.observed_at, self.revision)
    }

    /// Returns `true` if `fact`, which has the same key, replaces this record. Of two rate limits
    /// that other daemons heard at about the same time, the lower one is kept: if either replaced
    /// the other, they would be exchanged without end.
    fn is_superseded(&self, fact: Fact, observed_at: Instant, origin: Origin) -> bool {
        let later = observed_at.saturating_duration_since(self.observed_at);
        let is_surely_later = !later.is_zero() && later >= origin.tolerance();
        match fact {
            Fact::Crash { .. } | Fact::PartCrash { .. } | Fact::Quarantined { .. } => false,
            Fact::Leaving { .. } => later >= REFRESH_AGE,
            Fact::Brittle { .. } | Fact::RateLimit { .. } if fact == self.fact => {
                later >= REFRESH_AGE
            }
            Fact::Brittle { .. } | Fact::RateLimit { .. } => {
                is_surely_later || !later.is_zero() && fact.is_stricter_than(self.fact)
            }
            Fact::Completed { .. } => is_surely_later,
        }
    }
}

impl Advisories {
    /// Returns `true` if no facts are known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Number of known facts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Adds a fact that this daemon observed. Returns `true` if it is new.
    pub fn note(&mut self, fact: Fact, now: Instant) -> bool {
        self.insert(fact, now, Origin::Local, now)
    }

    /// Merges facts from another daemon and returns those that are new. They go into the next
    /// load updates.
    pub fn merge(&mut self, advisories: &[Advisory], now: Instant) -> Vec<Fact> {
        self.merge_with(advisories, Origin::Sync, now)
    }

    /// Merges facts from a load update and returns those that are new. They are not forwarded in
    /// load updates, since the sender has sent them to all daemons of the cell.
    pub fn merge_update(&mut self, advisories: &[Advisory], now: Instant) -> Vec<Fact> {
        self.merge_with(advisories, Origin::Update, now)
    }

    /// Time for which requests with this content or part remain quarantined; `None` if they are not. It is
    /// quarantined if a stored quarantine is known, or if [`QUARANTINE_CRASHES`] targets crashed while
    /// serving it and no other part explains that. A later completion lifts the quarantine.
    #[must_use]
    pub fn quarantine_remaining(&self, content: ContentDigest, now: Instant) -> Option<Duration> {
        let stored_at = self.facts.get(&Key::Quarantined(content));
        let stored_at = stored_at.map(|record| record.observed_at);
        let mut crash_times: Vec<_> = self.crashes(content, now).collect();
        crash_times.sort_unstable_by_key(|at| Reverse(*at));
        let by_crashes = crash_times.get(QUARANTINE_CRASHES - 1).copied();
        let by_crashes = by_crashes.filter(|_| !self.is_explained(content, now));
        let since = stored_at.max(by_crashes)?;
        let remaining = (since + LIFETIME).checked_duration_since(now);
        remaining.filter(|remaining| !remaining.is_zero())
    }

    /// Quarantined contents, with the time since each quarantine began.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<(ContentDigest, Duration)> {
        let remaining = |content: ContentDigest| {
            let remaining = self.quarantine_remaining(content, now)?;
            Some((content, LIFETIME.saturating_sub(remaining)))
        };
        self.facts.contents().filter_map(remaining).collect()
    }

    /// Adds a quarantine of the given age that was read from the platform's store. Returns `true`
    /// if it is new.
    pub fn note_stored_quarantine(
        &mut self,
        content: ContentDigest,
        age: Duration,
        now: Instant,
    ) -> bool {
        let observed_at = now.checked_sub(age).unwrap_or(now);
        self.insert(
            Fact::Quarantined { content },
            observed_at,
            Origin::Local,
            now,
        )
    }

    /// Takes the contents and parts whose quarantine a completion has lifted since the last call.
    pub fn take_lifted(&mut self) -> IndexSet<ContentDigest> {
        std::mem::take(&mut self.lifted)
    }

    /// Returns `true` if any crash is known.
    #[must_use]
    pub fn has_crashes(&self) -> bool {
        let mut records = self.facts.values();
        records.any(|record| record.fact.crashed().is_some() && !record.is_cleared)
    }

    /// Returns `true` if a target crashed within [`LIFETIME`] while serving this content or part.
    #[must_use]
    pub fn is_suspect(&self, content: ContentDigest, now: Instant) -> bool {
        self.crashes(content, now).next().is_some()
    }

    /// Rate limits that targets currently advertise, in requests per second.
    pub fn rate_limits(&self, now: Instant) -> impl Iterator<Item = (InstanceDigest, f64)> {
        let current = self.facts.values();
        let current = current.filter(move |record| record.is_current(now));
        current.filter_map(|record| match record.fact {
            Fact::RateLimit { per_1000_s, target } => {
                Some((target, f64::from(per_1000_s?) / 1_000.0))
            }
            _ => None,
        })
    }

    /// What targets said of the requests in a second that each can turn away; `None` if it is sound.
    pub fn brittleness(&self, now: Instant) -> impl Iterator<Item = (InstanceDigest, Option<u32>)> {
        let current = self.facts.values();
        let current = current.filter(move |record| record.is_current(now));
        current.filter_map(|record| match record.fact {
            Fact::Brittle { limit, target } => Some((target, limit)),
            _ => None,
        })
    }

    /// Targets whose answers have said that they leave.
    pub fn leaving(&self, now: Instant) -> impl Iterator<Item = InstanceDigest> {
        let current = self.facts.values();
        let current = current.filter(move |record| record.is_current(now));
        current.filter_map(|record| match record.fact {
            Fact::Leaving { target } => Some(target),
            _ => None,
        })
    }

    /// Returns `true` if an answer of this target has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, target: InstanceDigest, now: Instant) -> bool {
        let record = self.facts.get(&Key::Leaving(target));
        record.is_some_and(|record| record.is_current(now))
    }

    /// Facts for the next load update, at most `limit`.
    pub fn take_updates(&mut self, limit: usize, now: Instant) -> Vec<Advisory> {
        self.facts.take_untold(limit, now)
    }

    /// Facts received after `revision` that a daemon of this format reads, at most `limit`, and the
    /// revision up to which they are complete.
    fn facts_after(
        &self,
        revision: Revision,
        format: u8,
        limit: usize,
        now: Instant,
    ) -> (Vec<Advisory>, Revision) {
        let later: Vec<_> = self.facts.after(revision).take(limit + 1).collect();
        let up_to = match later.get(limit) {
            Some(_) => later[limit - 1].revision,
            None => self.revision,
        };
        let page = later.into_iter().take(limit);
        let page = page.filter(|record| record.is_sendable(now) && record.fact.format() <= format);
        (page.map(|record| record.advisory(now)).collect(), up_to)
    }

    /// Returns `true` if a daemon of this format can't read some of the facts.
    fn has_facts_beyond(&self, format: u8, now: Instant) -> bool {
        if format >= FORMAT {
            return false;
        }
        let mut sendable = self.facts.values().filter(|record| record.is_sendable(now));
        sendable.any(|record| record.fact.format() > format)
    }

    fn merge_with(&mut self, advisories: &[Advisory], origin: Origin, now: Instant) -> Vec<Fact> {
        let mut new = Vec::new();
        for advisory in advisories {
            let age = Duration::from_millis(advisory.age_ms.into());
            let observed_at = now.checked_sub(age).unwrap_or(now);
            if age < advisory.fact.lifetime()
                && self.insert(advisory.fact, observed_at, origin, now)
            {
                new.push(advisory.fact);
            }
        }
        new
    }

    fn insert(&mut self, fact: Fact, observed_at: Instant, origin: Origin, now: Instant) -> bool {
        self.facts.expire(now);
        if !self.is_new(fact, observed_at, origin, now)
            || self.is_next_to_go(fact, observed_at, origin)
        {
            return false;
        }
        if let Fact::Completed { content } = fact {
            self.complete(content, observed_at, now);
        }
        self.revision += 1;
        let record = Record {
            fact,
            is_cleared: false,
            is_held: false,
            revision: self.revision,
            observed_at,
            transmissions: origin.transmissions(),
        };
        self.facts.insert(record);
        if self.facts.len() > CAPACITY {
            self.facts.evict();
        }
        true
    }

    /// Clears what a completion of a content clears, and keeps in mind whether that lifts its quarantine.
    fn complete(&mut self, content: ContentDigest, completed_at: Instant, now: Instant) {
        let was_quarantined = self.quarantine_remaining(content, now).is_some();
        self.clear(content, completed_at);
        if was_quarantined && self.quarantine_remaining(content, now).is_none() {
            self.lifted.insert(content);
        }
    }

    /// Clears the crashes and the stored quarantine of a content that was completed.
    fn clear(&mut self, content: ContentDigest, completed_at: Instant) {
        self.facts.clear(content, completed_at);
        let quarantined = Key::Quarantined(content);
        let stored = self.facts.get(&quarantined);
        if stored.is_some_and(|record| record.observed_at <= completed_at) {
            self.facts.remove(&quarantined);
        }
    }

    /// Returns `true` if inserting the fact would change the set.
    fn is_new(&self, fact: Fact, observed_at: Instant, origin: Origin, now: Instant) -> bool {
        if let Some(known) = self.facts.get(&fact.key()) {
            return known.is_superseded(fact, observed_at, origin)
                || self.clears_crash(fact, observed_at);
        }
        match fact {
            Fact::Crash { content, .. } => {
                self.is_later_than_completed(content, observed_at)
                    && self.crashes(content, now).count() < QUARANTINE_CRASHES
            }
            Fact::PartCrash { part, .. } => {
                self.is_later_than_completed(part, observed_at)
                    && self.crashes(part, now).count() < MAX_PART_CRASHES
            }
            Fact::Quarantined { content } => {
                let began_at = observed_at.checked_sub(TRANSIT_TOLERANCE);
                began_at.is_none_or(|began_at| self.is_later_than_completed(content, began_at))
            }
            Fact::Brittle { .. } | Fact::Completed { .. } | Fact::Leaving { .. } => true,
            Fact::RateLimit { per_1000_s, .. } => per_1000_s.is_some(),
        }
    }

    /// Returns `true` if the set is full and a fact from another daemon would be among the first to be evicted.
    /// It may have been evicted here before: if it were new again, it would be passed on again, and daemons
    /// whose sets are full would exchange it without end.
    fn is_next_to_go(&self, fact: Fact, observed_at: Instant, origin: Origin) -> bool {
        let is_added = self.facts.get(&fact.key()).is_none();
        if !is_added || self.facts.len() < CAPACITY || self.lifts(fact, observed_at) {
            return false;
        }
        let (is_held, oldest) = match (origin, self.facts.first_to_go()) {
            (Origin::Local, _) | (_, None) => return false,
            (_, Some(record)) => (record.is_held, record.observed_at),
        };
        // A fact that was not evicted here may be the first of several that begin a quarantine.
        let tolerance = match self.facts.was_evicted(&fact.key()) {
            true => origin.tolerance(),
            false => Duration::ZERO,
        };
        (self.facts.would_be_held(fact), observed_at) <= (is_held, oldest + tolerance)
    }

    /// Returns `true` if `fact` is a completion of a content after a known crash or stored quarantine.
    fn lifts(&self, fact: Fact, observed_at: Instant) -> bool {
        let Fact::Completed { content } = fact else {
            return false;
        };
        let stored = self.facts.get(&Key::Quarantined(content));
        stored.is_some_and(|record| record.observed_at <= observed_at)
            || self.clears_crash(fact, observed_at)
    }

    /// Returns `true` if `fact` is a completion of a content after a known crash.
    fn clears_crash(&self, fact: Fact, observed_at: Instant) -> bool {
        let Fact::Completed { content } = fact else {
            return false;
        };
        let mut records = self.facts.about(content);
        records.any(|record| record.is_crash_before(content, observed_at))
    }

    fn is_later_than_completed(&self, content: ContentDigest, observed_at: Instant) -> bool {
        let completed = self.facts.get(&Key::Completed(content));
        completed.is_none_or(|record| record.observed_at < observed_at)
    }

    /// Times at which targets crashed while serving this content or part.
    fn crashes(&self, content: ContentDigest, now: Instant) -> impl Iterator<Item = Instant> {
        let crashes = self.facts.about(content).filter(move |record| {
            record.fact.crashed() == Some(content) && !record.is_cleared && record.is_current(now)
        });
        crashes.map(|record| record.observed_at)
    }
}
