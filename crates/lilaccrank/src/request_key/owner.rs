//! Holds the records of keys and answers the messages about them.
//!
//! The same code serves the owner of a key, its backup and members that held its record before
//! a membership change.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use crate::clock::Clock;
use crate::peers::Peers;
use crate::request_key::grant::ClaimMessage;
use crate::request_key::key_id::KeyId;
use crate::request_key::message::{KeyReply, KeyRequest, MovedRecord};
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::record::{Holder, Outcome, Record, Stage};
use crate::request_key::table::Table;

/// Limits and timeouts of a [`KeyOwner`].
#[derive(Clone, Debug)]
pub struct Limits {
    /// How long an unmarked claim is kept. Its holder can't mark it afterwards.
    pub claimed_ttl: Duration,
    /// How long the record of an ended idempotent request is kept.
    pub ended_ttl: Duration,
    /// How long a daemon that sees no other live member waits before it grants claims.
    pub isolation_wait: Duration,
    /// Longest interval between two ticks that doesn't count as a pause of the process. Must be
    /// shorter than the failure detector's timeout, after which the others treat a member as dead.
    pub pause_limit: Duration,
    /// Maximum number of records, own and replicated. New claims may use half of it.
    pub record_limit: usize,
    /// How long the record of an ended non-idempotent request is kept.
    pub retention: Duration,
    /// Wait between two attempts to get the records of a member after a membership change.
    pub retry_interval: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claimed_ttl: Duration::from_secs(600),
            ended_ttl: Duration::from_secs(600),
            isolation_wait: Duration::from_secs(5),
            pause_limit: Duration::from_secs(1),
            record_limit: 200_000,
            retention: Duration::from_secs(24 * 3_600),
            retry_interval: Duration::from_millis(50),
        }
    }
}

/// Holds the records of the keys for which this daemon ranks first (owner) or second (backup).
/// Clones share the records.
pub struct KeyOwner<C, P, R> {
    pub(super) inner: Rc<Inner<C, P, R>>,
}

pub(super) struct Inner<C, P, R> {
    pub(super) clock: C,
    pub(super) grant_count: Cell<u64>,
    pub(super) limits: Limits,
    pub(super) pause_count: Cell<u64>,
    pub(super) peers: P,
    pub(super) ranking: R,
    pub(super) settled_view: RefCell<Option<Vec<MemberRef>>>,
    pub(super) table: RefCell<Table>,
    last_tick: Cell<Instant>,
}

impl<C, P, R> Clone for KeyOwner<C, P, R> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<C: Clock, P: Peers<KeyRequest, KeyReply>, R: Ranking> KeyOwner<C, P, R> {
    /// Creates an owner without records. It grants no claims until [`run`](Self::run) has collected
    /// the records of the other members.
    #[must_use]
    pub fn new(clock: C, peers: P, ranking: R, limits: Limits) -> Self {
        let table = RefCell::new(Table::new(limits.record_limit));
        let last_tick = Cell::new(clock.now());
        let inner = Inner {
            clock,
            grant_count: Cell::new(0),
            limits,
            pause_count: Cell::new(0),
            peers,
            ranking,
            settled_view: RefCell::new(None),
            table,
            last_tick,
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Handles a message from an entry or from another replica.
    pub async fn handle(&self, req: KeyRequest) -> KeyReply {
        match req {
            KeyRequest::Claim {
                attempt,
                body,
                entry,
                id,
                idempotent,
            } => {
                let msg = ClaimMessage {
                    attempt,
                    body,
                    entry,
                    id,
                    idempotent,
                };
                self.claim(msg).await
            }
            KeyRequest::Copy { owner, moved } => self.accept_copy(&owner, moved),
            KeyRequest::End {
                holder,
                id,
                outcome,
            } => self.end(id, &holder, outcome).await,
            KeyRequest::Handover {
                after,
                live,
                replica,
            } => self.hand_over(after, &live, &replica),
            KeyRequest::Mark { holder, id } => self.mark(id, &holder).await,
            KeyRequest::Push { moved } => self.accept_push(moved),
            KeyRequest::Release {
                attempt,
                entry,
                id,
                may_be_stored,
            } => {
                self.release(id, |record| record.release(&entry, attempt, may_be_stored))
                    .await
            }
        }
    }

    /// Drops expired records.
    pub fn expire(&self) {
        let now = self.inner.clock.now();
        let ranking = &self.inner.ranking;
        self.inner.table.borrow_mut().retain(|id, slot| {
            let age = now.saturating_duration_since(slot.changed_at);
            let record = &slot.record;
            match record.stage {
                Stage::Claimed => age < self.inner.limits.claimed_ttl,
                Stage::Dispatching if ranking.is_live(&record.holder.entry) => true,
                _ if age < self.ttl(record) => true,
                // The record is dropped after its object in the store, see `due_for_deletion`.
                _ => record.owns_object() && self.is_owner_of(id),
            }
        });
    }

    /// Runs the periodic work forever: detects pauses of the process, transfers records after
    /// membership changes and drops expired records. `every` must be well below
    /// [`Limits::pause_limit`].
    pub async fn run(&self, every: Duration) {
        let upkeep = async {
            loop {
                self.inner.clock.sleep(every).await;
                self.tick();
                self.expire();
            }
        };
        let settle = async {
            loop {
                if !self.is_settled() {
                    self.handle_membership_change().await;
                }
                self.inner.clock.sleep(every).await;
            }
        };
        futures::future::join(upkeep, settle).await;
    }

    /// Records that the process is running. After more than [`Limits::pause_limit`] without a tick
    /// the process counts as paused, and claims get [`KeyReply::Unsettled`] until the records of
    /// the other members have been fetched again.
    ///
    /// A suspended daemon may resume with an unchanged view of the membership, although the
    /// others declared it dead, granted claims in its place and took it back. The time that it
    /// missed is the only sign of this.
    pub fn tick(&self) {
        let now = self.inner.clock.now();
        let since_tick = now.saturating_duration_since(self.inner.last_tick.replace(now));
        if since_tick > self.inner.limits.pause_limit {
            self.inner.pause_count.set(self.inner.pause_count.get() + 1);
            self.inner.settled_view.take();
        }
    }

    /// Number of records held by this daemon.
    #[must_use]
    pub fn len(&self) -> usize {
        self.inner.table.borrow().len()
    }

    /// Returns `true` if this daemon holds no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The record that this daemon holds for `id`, if any.
    #[must_use]
    pub fn record(&self, id: &KeyId) -> Option<Record> {
        let table = self.inner.table.borrow();
        table.get(id).map(|slot| slot.record.clone())
    }

    /// Returns `true` if the records of all other members have been fetched since the last
    /// membership change or pause of this process. Only then may claims be granted.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.tick_if_paused();
        let settled_view = self.inner.settled_view.borrow();
        settled_view.as_ref() == Some(&self.inner.ranking.ranked(0))
    }

    /// Detects a pause before a message is handled, as the periodic tick may run only after it.
    pub(super) fn tick_if_paused(&self) {
        let since_tick = self.inner.clock.now() - self.inner.last_tick.get();
        if since_tick > self.inner.limits.pause_limit {
            self.tick();
        }
    }

    /// Up to `limit` keys owned by this daemon whose object in the store has expired.
    pub(super) fn due_for_deletion(&self, limit: usize) -> Vec<KeyId> {
        let now = self.inner.clock.now();
        let table = self.inner.table.borrow();
        let due = table.after(None).filter(|(id, slot)| {
            let record = &slot.record;
            let running = match record.stage {
                Stage::Claimed => true,
                Stage::Dispatching => self.inner.ranking.is_live(&record.holder.entry),
                Stage::Ended(_) | Stage::Free => false,
            };
            let age = now.saturating_duration_since(slot.changed_at);
            record.owns_object() && !running && age >= self.ttl(record) && self.is_owner_of(id)
        });
        due.map(|(id, _)| *id).take(limit).collect()
    }

    pub(super) fn forget(&self, id: &KeyId) {
        self.inner.table.borrow_mut().remove(id);
    }

    /// Stores a record for which this daemon is the entry.
    ///
    /// If owner and backup both died while the request runs, no replica would know of it and a
    /// repeat would run again. The entry keeps a third copy, which a new owner fetches.
    pub(super) fn save_local(&self, id: KeyId, record: Record) {
        let moved = MovedRecord {
            age_ms: 0,
            id,
            record,
        };
        let now = self.inner.clock.now();
        self.inner.table.borrow_mut().absorb(moved, now);
    }

    async fn mark(&self, id: KeyId, holder: &Holder) -> KeyReply {
        if !self.is_owner_of(&id) {
            return KeyReply::NotOwner;
        }
        if !self.is_settled() {
            return KeyReply::Unsettled;
        }
        // An entry that was suspended while its key was claimed again is refused here, before
        // it has sent anything.
        let Some(record) = self.change(&id, |record| record.mark(holder)) else {
            return KeyReply::Superseded;
        };
        match self.replicate(&id, &record).await {
            KeyReply::Done => KeyReply::Marked,
            reply => reply,
        }
    }

    async fn end(&self, id: KeyId, holder: &Holder, outcome: Outcome) -> KeyReply {
        if !self.is_owner_of(&id) {
            return KeyReply::NotOwner;
        }
        match self.change(&id, |record| record.end(holder, outcome)) {
            Some(record) => self.replicate(&id, &record).await,
            None => KeyReply::Superseded,
        }
    }

    async fn release(&self, id: KeyId, release: impl FnOnce(&mut Record) -> bool) -> KeyReply {
        if !self.is_owner_of(&id) {
            return KeyReply::NotOwner;
        }
        match self.change(&id, release) {
            Some(record) => self.replicate(&id, &record).await,
            None => KeyReply::Superseded,
        }
    }

    /// Applies `transition`. Returns the resulting record, or `None` if the key is unknown or the
    /// transition is not allowed.
    pub(super) fn change(
        &self,
        id: &KeyId,
        transition: impl FnOnce(&mut Record) -> bool,
    ) -> Option<Record> {
        let mut table = self.inner.table.borrow_mut();
        let slot = table.get_mut(id)?;
        let before = slot.record.clone();
        if !transition(&mut slot.record) {
            return None;
        }
        if slot.record != before {
            slot.replicated_to = None;
            slot.changed_at = self.inner.clock.now();
        }
        Some(slot.record.clone())
    }

    pub(super) fn is_owner_of(&self, id: &KeyId) -> bool {
        let ranked = self.inner.ranking.ranked(id.hash());
        ranked.first() == Some(&self.inner.ranking.me())
    }

    fn ttl(&self, record: &Record) -> Duration {
        if record.idempotent {
            self.inner.limits.ended_ttl
        } else {
            self.inner.limits.retention
        }
    }

    pub(super) fn wall_ms(&self) -> u64 {
        let wall_time = self.inner.clock.wall_time();
        let since = wall_time.duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |wall_time| {
            u64::try_from(wall_time.as_millis()).unwrap_or(u64::MAX)
        })
    }
}
