//! The bounded table of records.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::request_key::key_id::KeyId;
use crate::request_key::message::MovedRecord;
use crate::request_key::record::Record;
use crate::request_key::replicas::{KeyReplicas, MembersDigest};

/// A record as held here.
pub(super) struct Slot {
    /// The owners in the view in which they were last looked up.
    pub replicas: Cell<Option<KeyReplicas>>,
    /// The record.
    pub record: Record,
    /// The owners that have acknowledged this very state of the record.
    pub replicated_to: Option<MembersDigest>,
    /// When the record last changed.
    pub changed_at: Instant,
}

/// Records by key. Ordered, unlike the other maps of the library, because a handover reads it
/// in pages while it changes.
pub(super) struct Table {
    limit: usize,
    slots: BTreeMap<KeyId, Slot>,
}

impl Table {
    /// An empty table with room for `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            slots: BTreeMap::new(),
        }
    }

    /// Whether a new claim finds room. Half of the table is for the records of others: a claim
    /// that was granted elsewhere must not be lost on its way here.
    pub fn has_room_for_claim(&self) -> bool {
        self.slots.len() < self.limit / 2
    }

    /// The slot of `id`.
    pub fn get(&self, id: &KeyId) -> Option<&Slot> {
        self.slots.get(id)
    }

    /// The slot of `id`, to change.
    pub fn get_mut(&mut self, id: &KeyId) -> Option<&mut Slot> {
        self.slots.get_mut(id)
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Puts `record` in the place of whatever is known; false if there is no room.
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

    /// Takes in what another holder knows, unless what is known here is newer; false if there
    /// is no room.
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

    /// Slots after `after`, by ascending key.
    pub fn after(&self, after: Option<KeyId>) -> impl Iterator<Item = (&KeyId, &Slot)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.slots.range((start, Bound::Unbounded))
    }

    /// Keeps the slots that `keep` approves.
    pub fn retain(&mut self, mut keep: impl FnMut(&KeyId, &Slot) -> bool) {
        self.slots.retain(|id, slot| keep(id, slot));
    }
}

impl Slot {
    /// The record with its age, for another holder.
    pub fn moved(&self, id: KeyId, now: Instant) -> MovedRecord {
        let age = now.saturating_duration_since(self.changed_at);
        MovedRecord {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            id,
            record: self.record.clone(),
        }
    }
}
