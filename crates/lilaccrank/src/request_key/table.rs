//! Bounded table of records.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::request_key::key_id::KeyId;
use crate::request_key::message::MovedRecord;
use crate::request_key::record::Record;
use crate::request_key::replicas::{KeyReplicas, MembersDigest};

/// An entry of the table: a record and its replication state.
pub(super) struct Slot {
    /// Cached replicas, valid for the view in which they were looked up.
    pub replicas: Cell<Option<KeyReplicas>>,
    /// The record.
    pub record: Record,
    /// Identifies the replicas that have this version of the record; `None` if not yet replicated.
    pub replicated_to: Option<MembersDigest>,
    /// Time of the last change of the record.
    pub changed_at: Instant,
}

/// Records by key. Ordered, unlike the other maps of the library, as a handover reads it in
/// pages while it changes.
pub(super) struct Table {
    limit: usize,
    slots: BTreeMap<KeyId, Slot>,
}

impl Table {
    /// Creates an empty table for at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            slots: BTreeMap::new(),
        }
    }

    /// Returns `true` if a new claim may be added. Half of the table is reserved for records from
    /// other members: a claim that was granted there must not be lost in its transfer.
    pub fn has_room_for_claim(&self) -> bool {
        self.slots.len() < self.limit / 2
    }

    /// Returns the slot of `id`.
    pub fn get(&self, id: &KeyId) -> Option<&Slot> {
        self.slots.get(id)
    }

    /// Returns the slot of `id` for changes.
    pub fn get_mut(&mut self, id: &KeyId) -> Option<&mut Slot> {
        self.slots.get_mut(id)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Inserts `record`, or replaces the record of its key. Returns `false` if the table is full.
    pub fn put(&mut self, id: KeyId, record: Record, changed_at: Instant) -> bool {
        if self.slots.len() >= self.limit && !self.slots.contains_key(&id) {
            return false;
        }
        let slot = Slot {
            replicas: Cell::new(None),
            record,
            replicated_to: None,
            changed_at,
        };
        self.slots.insert(id, slot);
        true
    }

    /// Merges a record from another member, unless it doesn't supersede the known one. Returns
    /// `false` if the table is full.
    pub fn absorb(&mut self, moved: MovedRecord, now: Instant) -> bool {
        let known = self.slots.get(&moved.id).map(|slot| &slot.record);
        if known.is_some_and(|known| *known == moved.record || !moved.record.supersedes(known)) {
            return true;
        }
        let age = Duration::from_millis(moved.age_ms);
        let changed_at = now.checked_sub(age).unwrap_or(now);
        self.put(moved.id, moved.record, changed_at)
    }

    /// Removes the slot of `id`.
    pub fn remove(&mut self, id: &KeyId) {
        self.slots.remove(id);
    }

    /// Returns the slots after key `after`, in ascending order of their keys.
    pub fn after(&self, after: Option<KeyId>) -> impl Iterator<Item = (&KeyId, &Slot)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.slots.range((start, Bound::Unbounded))
    }

    /// Removes the slots for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&KeyId, &Slot) -> bool) {
        self.slots.retain(|id, slot| keep(id, slot));
    }
}

impl Slot {
    /// Returns the record with its age, to be sent to another member.
    pub fn moved(&self, id: KeyId, now: Instant) -> MovedRecord {
        let age = now.saturating_duration_since(self.changed_at);
        MovedRecord {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            id,
            record: self.record.clone(),
        }
    }
}
