//! Records of streams in the platform's store, for a restart of all daemons.
//!
//! Each daemon has a ring of objects. It appends to one of them until that is full, and goes on with the
//! next one whose streams can't be resumed any more. Records that were written are not written again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{MAX_TTL, Record, RecordedOrigin, StreamId, TargetDigest};
use crate::software_version::VersionDigest;
use crate::store_revision::Era;

/// Number of objects of one daemon.
pub const SLOTS: usize = 64;
/// Records in an object after which the next one is begun.
const FULL: usize = 32;
/// Records that one write adds.
const MAX_ADDED: usize = 256;
/// Records of one daemon that wait to be written.
const MAX_UNSAVED: usize = 4_096;
/// Number of records of all daemons that are read.
const MAX_READ: usize = 65_536;
/// Length of a record in hexadecimal: half of the id of the stream, and the target.
const RECORD_LEN: usize = 24;

/// One object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StoredRecords {
    /// Era of the store in which it was written.
    era: Era,
    /// Records by version.
    streams: Vec<(Option<VersionDigest>, String)>,
    /// Longest time for which one of the records is kept.
    ttl_ms: u32,
}

impl StoredRecords {
    fn new(records: &[Saved], era: Era, now: Instant) -> Self {
        let mut streams: IndexMap<_, String> = IndexMap::new();
        for saved in records {
            let record = &saved.record;
            let text = streams.entry(record.origin.version).or_default();
            text.push_str(&format!("{:016x}{:08x}", record.id.0, record.origin.target));
        }
        let until = records.iter().map(|saved| saved.until).max();
        let ttl = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        Self {
            era,
            streams: streams.into_iter().collect(),
            ttl_ms: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Time for which the records are kept, counted from when they are read.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms.into()).min(MAX_TTL)
    }

    fn records(&self) -> impl Iterator<Item = (u64, RecordedOrigin)> {
        self.streams.iter().flat_map(|(version, text)| {
            let texts = text.as_bytes().chunks_exact(RECORD_LEN);
            texts.filter_map(|text| {
                let (id, target) = str::from_utf8(text).ok()?.split_at_checked(16)?;
                let origin = RecordedOrigin {
                    version: *version,
                    target: TargetDigest::from_str_radix(target, 16).ok()?,
                };
                Some((u64::from_str_radix(id, 16).ok()?, origin))
            })
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Saved {
    record: Record,
    until: Instant,
}

#[derive(Debug, Default)]
struct Slot {
    /// Whether the store is known to have the object.
    is_stored: bool,
    records: Vec<Saved>,
    /// Until when streams of it may be resumed.
    until: Option<Instant>,
}

impl Slot {
    fn is_free(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }
}

/// A write of one object.
#[derive(Clone, Debug)]
pub struct Write {
    /// Whether the store lacks the object, as far as is known.
    pub is_new: bool,
    /// The content.
    pub records: StoredRecords,
    /// Number of the object.
    pub slot: usize,
    added: usize,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The store has it.
    Done,
    /// The store had another object by this name already; nothing was written.
    Exists,
    /// Nothing was written.
    NotDone,
    /// It may have been written, or may be later.
    Unknown,
}

/// What one daemon writes.
#[derive(Debug)]
pub struct RecordLog {
    current: usize,
    era: Era,
    slots: Vec<Slot>,
    unsaved: VecDeque<Saved>,
}

impl Default for RecordLog {
    fn default() -> Self {
        Self {
            current: 0,
            era: Era::default(),
            slots: (0..SLOTS).map(|_| Slot::default()).collect(),
            unsaved: VecDeque::new(),
        }
    }
}

impl RecordLog {
    /// Adds a record of a stream that this daemon begins or resumes.
    pub fn push(&mut self, record: Record, now: Instant) {
        while self
            .unsaved
            .front()
            .is_some_and(|first| first.until <= now || self.unsaved.len() >= MAX_UNSAVED)
        {
            self.unsaved.pop_front();
        }
        self.unsaved.push_back(Saved {
            record,
            until: now + record.ttl(),
        });
    }

    /// Notes an object that an earlier process of this daemon has written.
    pub fn occupy(&mut self, slot: usize, ttl: Duration, now: Instant) {
        if let Some(slot) = self.slots.get_mut(slot)
            && slot.records.is_empty()
        {
            slot.is_stored = true;
            slot.until = Some(now + ttl);
        }
    }

    /// Returns the next write, in this era of the store; `None` if nothing has changed or no object is free.
    /// Its outcome has to be noted before the next one.
    pub fn next_write(&mut self, era: Era, now: Instant) -> Option<Write> {
        if self.era != era {
            self.era = era;
            self.save_again();
        }
        self.unsaved.retain(|saved| now < saved.until);
        if self.unsaved.is_empty() {
            return None;
        }
        if self.slots[self.current].records.is_empty() || self.is_full() {
            self.current = self.next_free(now)?;
            self.slots[self.current].records.clear();
        }
        let added = self.unsaved.len().min(MAX_ADDED);
        let slot = &mut self.slots[self.current];
        slot.records.retain(|saved| now < saved.until);
        slot.records.extend(self.unsaved.drain(..added));
        slot.until = slot.records.iter().map(|saved| saved.until).max();
        Some(Write {
            is_new: !slot.is_stored,
            records: StoredRecords::new(&slot.records, era, now),
            slot: self.current,
            added,
        })
    }

    /// Notes the outcome of a write.
    pub fn note(&mut self, write: &Write, outcome: Outcome) {
        let slot = &mut self.slots[write.slot];
        match outcome {
            Outcome::Done => slot.is_stored = true,
            Outcome::Exists | Outcome::NotDone => {
                let kept = slot.records.len().saturating_sub(write.added);
                let added = slot.records.split_off(kept);
                slot.is_stored |= outcome == Outcome::Exists;
                if slot.records.is_empty() {
                    slot.until = None;
                }
                self.put_back(added);
            }
            // The slot stays taken, since the write may come after the next one.
            Outcome::Unknown => {
                slot.is_stored = false;
                let records = std::mem::take(&mut slot.records);
                self.put_back(records);
            }
        }
    }

    /// Writes all records again, since the store may have lost them.
    fn save_again(&mut self) {
        for at in 0..self.slots.len() {
            let slot = &mut self.slots[at];
            slot.is_stored = false;
            let records = std::mem::take(&mut slot.records);
            self.put_back(records);
        }
    }

    fn put_back(&mut self, records: Vec<Saved>) {
        for saved in records.into_iter().rev() {
            if self.unsaved.len() < MAX_UNSAVED {
                self.unsaved.push_front(saved);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.slots[self.current].records.len() >= FULL
    }

    fn next_free(&self, now: Instant) -> Option<usize> {
        let order = (1..=SLOTS).map(|step| (self.current + step) % SLOTS);
        order
            .into_iter()
            .find(|slot| self.slots[*slot].is_free(now))
    }
}

/// Records of all daemons, as read from the store.
#[derive(Debug, Default)]
pub struct ReadRecords {
    streams: IndexMap<u64, (Vec<RecordedOrigin>, Instant)>,
}

impl ReadRecords {
    /// Reads all objects, those of another era of the store excepted: a record that contradicts one of them may
    /// be lost.
    #[must_use]
    pub fn new<'a>(
        objects: impl IntoIterator<Item = &'a StoredRecords>,
        era: Era,
        now: Instant,
    ) -> Self {
        let mut read = Self::default();
        for object in objects.into_iter().filter(|object| object.era == era) {
            let until = now + object.ttl();
            for (id, origin) in object.records() {
                read.insert(id, origin, until);
            }
        }
        read
    }

    fn insert(&mut self, id: u64, origin: RecordedOrigin, until: Instant) {
        if self.streams.len() >= MAX_READ && !self.streams.contains_key(&id) {
            return;
        }
        let (origins, last) = self.streams.entry(id).or_insert((Vec::new(), until));
        *last = until.max(*last);
        if !origins.contains(&origin) {
            origins.push(origin);
        }
    }

    /// Returns all that records say of a stream; nothing without a record.
    #[must_use]
    pub fn find(&self, id: StreamId, now: Instant) -> &[RecordedOrigin] {
        match self.streams.get(&id.0) {
            Some((origins, until)) if now < *until => origins,
            _ => &[],
        }
    }

    /// Number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns `true` if there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
