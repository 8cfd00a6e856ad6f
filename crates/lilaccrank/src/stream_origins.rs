//! Records of the software versions that began streams, for callers who resume them elsewhere.
//!
//! The daemon that begins a stream keeps a record and sends a copy to the stream's owners, the first
//! two members in rendezvous order. Whoever holds a record sends it to members that become owners, so
//! that it survives as long as one of its holders does at each change of the members. A stream
//! without a record is not resumed.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3;

use crate::document::Target;
use crate::ids::VmId;
use crate::rendezvous;
use crate::request_key::MemberRef;
use crate::software_version::{Origin, VersionDigest};

mod miss_limit;
mod stored;

pub use miss_limit::MissLimit;
pub use stored::{Outcome, ReadRecords, RecordLog, SLOTS, StoredRecords, Write};

/// Number of members that own a stream.
pub const COPIES: usize = 2;
/// Longest time for which a record is kept.
pub const MAX_TTL: Duration = Duration::from_secs(600);
/// Number of records that one daemon holds, some 200 bytes each.
const MAX_RECORDS: usize = 32_768;

/// Identifies a stream by its customer, its pool and the caller's request that began it. No customer
/// can name another one's stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamId(u64, u64);

impl StreamId {
    /// Returns the id of the stream that a caller's request began.
    #[must_use]
    pub fn new(customer: &str, pool: &str, request: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [customer, pool, request] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let (words, _) = digest.as_chunks();
        Self(u64::from_le_bytes(words[0]), u64::from_le_bytes(words[1]))
    }

    /// Key by which the owners are ranked.
    fn key(self) -> String {
        format!("stream/{:016x}{:016x}", self.0, self.1)
    }

    /// Returns the first `count` members in the order in which they own the stream.
    pub fn owners<'a>(
        self,
        members: impl IntoIterator<Item = &'a VmId>,
        count: usize,
    ) -> Vec<&'a VmId> {
        rendezvous::top(&self.key(), members, count)
    }
}

/// Digest of the id of a target.
pub type TargetDigest = u32;

/// Where a stream began, as a record tells.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedOrigin {
    /// Version that began it; `None` if it is unknown.
    version: Option<VersionDigest>,
    /// The last target that sent events of it.
    target: TargetDigest,
}

impl RecordedOrigin {
    /// Creates what a record tells of a stream with this origin, whose events come from `target`.
    #[must_use]
    pub fn new(origin: Origin, target: &str) -> Self {
        Self {
            version: match origin {
                Origin::At(version) => Some(version),
                Origin::New | Origin::Unknown => None,
            },
            target: target_digest(target),
        }
    }

    /// Returns the origin by a list of the pool's targets. If the target has another version there, it
    /// is open which one sent the events: the record may have been made by an older list.
    #[must_use]
    pub fn by_list<'a>(self, listed: impl IntoIterator<Item = &'a Target>) -> Origin {
        let mut listed = listed.into_iter();
        let is_contradicted = listed.any(|target| {
            target_digest(&target.id) == self.target && VersionDigest::of(target) != self.version
        });
        match self.version {
            Some(version) if !is_contradicted => Origin::At(version),
            _ => Origin::Unknown,
        }
    }

    /// Returns what a record tells once it is open which version sent the events.
    #[must_use]
    pub fn contradicted(self) -> Self {
        Self {
            version: None,
            ..self
        }
    }

    /// Returns what agrees with two records of one stream, of which `later` is the later one.
    #[must_use]
    pub fn merge(self, later: Self) -> Self {
        Self {
            version: self.version.filter(|_| self.version == later.version),
            target: later.target,
        }
    }
}

fn target_digest(id: &str) -> TargetDigest {
    xxh3::xxh3_64(id.as_bytes()) as TargetDigest
}

/// Record of one stream, as daemons send it to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The stream.
    pub id: StreamId,
    /// Where it began.
    pub origin: RecordedOrigin,
    /// Time for which the record is kept, in milliseconds.
    pub ttl_ms: u32,
}

impl Record {
    /// Creates a record that is kept for `ttl`, at most [`MAX_TTL`].
    #[must_use]
    pub fn new(id: StreamId, origin: RecordedOrigin, ttl: Duration) -> Self {
        let ttl = ttl.min(MAX_TTL).as_millis();
        Self {
            id,
            origin,
            ttl_ms: u32::try_from(ttl).unwrap_or(u32::MAX),
        }
    }

    fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms.into()).min(MAX_TTL)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    origin: RecordedOrigin,
    /// Members that own the stream and were sent its record.
    owners: Vec<Rc<MemberRef>>,
    until: Instant,
}

impl Entry {
    /// Returns `true` if a change of the members may have given the record another owner.
    fn may_move(
        &self,
        id: StreamId,
        joined: &[Rc<MemberRef>],
        left: &HashSet<Rc<MemberRef>>,
    ) -> bool {
        let outranks = |member: &Rc<MemberRef>| {
            let known = self.owners.iter().map(|owner| &owner.vm);
            id.owners(known.chain([&member.vm]), COPIES)
                .contains(&&member.vm)
        };
        self.owners.iter().any(|owner| left.contains(owner)) || joined.iter().any(outranks)
    }

    fn record(&self, id: StreamId, now: Instant) -> Record {
        Record::new(id, self.origin, self.until.saturating_duration_since(now))
    }
}

/// Records to send, by receiver.
pub type Outbox = IndexMap<Rc<MemberRef>, Vec<Record>>;

/// Records that one daemon holds.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: IndexMap<StreamId, Entry>,
    /// Live members, including this daemon.
    members: Vec<Rc<MemberRef>>,
    /// Records that changed here and were not sent yet.
    unsent: Vec<StreamId>,
}

impl StreamOrigins {
    /// Inserts the record of a stream that this daemon begins or resumes, for its owners as well. Returns
    /// `true` if that changed something.
    pub fn insert_own(&mut self, record: Record, now: Instant) -> bool {
        let is_changed = self.insert(record, now);
        if is_changed {
            self.unsent.push(record.id);
        }
        is_changed
    }

    /// Inserts a record of another daemon.
    pub fn insert_copy(&mut self, record: Record, now: Instant) {
        self.insert(record, now);
    }

    /// Returns where a stream began; `None` without a record.
    #[must_use]
    pub fn find(&self, id: StreamId, now: Instant) -> Option<RecordedOrigin> {
        let entry = self.entries.get(&id)?;
        (now < entry.until).then_some(entry.origin)
    }

    /// Number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes records whose time has passed.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.until);
    }

    /// Takes the records that changed here, for their owners.
    pub fn take_unsent(&mut self, now: Instant) -> Outbox {
        let unsent = std::mem::take(&mut self.unsent);
        let mut outbox = Outbox::new();
        for id in unsent {
            self.place(id, &[], &mut outbox, now);
        }
        outbox
    }

    /// Sets the live members, and returns the records for those that have become owners.
    pub fn set_members(&mut self, members: Vec<MemberRef>, now: Instant) -> Outbox {
        let members: Vec<_> = members.into_iter().map(Rc::new).collect();
        let previous = std::mem::replace(&mut self.members, members);
        let previous: HashSet<_> = previous.into_iter().collect();
        let current: HashSet<_> = self.members.iter().cloned().collect();
        let joined: Vec<_> = current.difference(&previous).cloned().collect();
        let left: HashSet<_> = previous.difference(&current).cloned().collect();
        let moved: Vec<_> = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.may_move(**id, &joined, &left))
            .map(|(id, entry)| (*id, entry.owners.clone()))
            .collect();
        let mut outbox = Outbox::new();
        for (id, owners) in moved {
            self.place(id, &owners, &mut outbox, now);
        }
        outbox
    }

    /// Determines the owners of a record, and adds it to the outbox for those that don't have it.
    fn place(
        &mut self,
        id: StreamId,
        informed: &[Rc<MemberRef>],
        outbox: &mut Outbox,
        now: Instant,
    ) {
        let owners = self.owners(id);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        for owner in owners.iter().filter(|owner| !informed.contains(owner)) {
            let records = outbox.entry(Rc::clone(owner)).or_default();
            records.push(entry.record(id, now));
        }
        entry.owners = owners;
    }

    fn owners(&self, id: StreamId) -> Vec<Rc<MemberRef>> {
        let vms = self.members.iter().map(|member| &member.vm);
        let owners = id.owners(vms, COPIES);
        let members = self.members.iter();
        let is_owner = |member: &&Rc<MemberRef>| owners.contains(&&member.vm);
        members.filter(is_owner).cloned().collect()
    }

    /// Inserts a record or merges it with a known one. Returns `true` if that changed something.
    fn insert(&mut self, record: Record, now: Instant) -> bool {
        let until = now + record.ttl();
        let owners = self.owners(record.id);
        if let Some(entry) = self.entries.get_mut(&record.id) {
            let origin = match now < entry.until {
                true => entry.origin.merge(record.origin),
                false => record.origin,
            };
            let changed = entry.origin != origin || entry.until < until;
            entry.origin = origin;
            entry.until = entry.until.max(until);
            return changed;
        }
        if self.entries.len() >= MAX_RECORDS {
            self.expire(now);
        }
        if self.entries.len() >= MAX_RECORDS {
            return false;
        }
        let entry = Entry {
            origin: record.origin,
            owners,
            until,
        };
        self.entries.insert(record.id, entry);
        true
    }
}
