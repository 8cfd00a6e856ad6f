//! The side that keeps records: keeper, copy and former holder alike.

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

/// Bounds of one keeper.
#[derive(Clone, Debug)]
pub struct Limits {
    /// How long an unmarked claim is kept; its holder can't mark it any more afterwards.
    pub claimed_ttl: Duration,
    /// How long the record of an ended idempotent request is kept.
    pub ended_ttl: Duration,
    /// How long a daemon that sees no other member waits before it grants claims by itself.
    pub isolation_wait: Duration,
    /// Longest time between two ticks that is no pause of this process. Must stay below the
    /// silence after which the others call a member dead.
    pub pause_limit: Duration,
    /// Records held, for itself and for others; new claims are granted up to half of it.
    pub record_limit: usize,
    /// How long the record of an ended non-idempotent request is kept.
    pub retention: Duration,
    /// Wait between two tries to hear from a member after a change.
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

/// Keeps the records of the keys that this daemon ranks first or second for; clones share them.
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
    /// A keeper without records; it grants nothing until [`run`](Self::run) is under way.
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

    /// Answers one message of an entry or of another keeper.
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

    /// Drops what has outlived its time.
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
                // The store's object goes first, see `due_for_deletion`.
                _ => record.owns_object() && self.is_owner_of(id),
            }
        });
    }

    /// Runs the upkeep for ever: notes pauses of the process, hands records over after changes
    /// of the members, drops old records. `every` must be well below [`Limits::pause_limit`].
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

    /// Notes that the process runs. Without a tick for [`Limits::pause_limit`] it counts as
    /// paused, and claims are answered as unsettled until the others have been heard again.
    ///
    /// A frozen daemon may thaw into the very membership that it knew: it was called dead and
    /// taken back meanwhile, and others granted claims in its place. Nothing but the time that
    /// it missed tells it so.
    pub fn tick(&self) {
        let now = self.inner.clock.now();
        let since_tick = now.saturating_duration_since(self.inner.last_tick.replace(now));
        if since_tick > self.inner.limits.pause_limit {
            self.inner.pause_count.set(self.inner.pause_count.get() + 1);
            self.inner.settled_view.take();
        }
    }

    /// Records held here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.inner.table.borrow().len()
    }

    /// Whether no records are held here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The record held here for `id`, for status and tests.
    #[must_use]
    pub fn record(&self, id: &KeyId) -> Option<Record> {
        let table = self.inner.table.borrow();
        table.get(id).map(|slot| slot.record.clone())
    }

    /// Whether the records of others have been heard since the members last changed or this
    /// process was last paused.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.tick_if_paused();
        let settled_view = self.inner.settled_view.borrow();
        settled_view.as_ref() == Some(&self.inner.ranking.ranked(0))
    }

    /// After a pause, messages may be handled before the upkeep gets its turn.
    pub(super) fn tick_if_paused(&self) {
        let since_tick = self.inner.clock.now() - self.inner.last_tick.get();
        if since_tick > self.inner.limits.pause_limit {
            self.tick();
        }
    }

    /// Keys kept here whose object in the store has outlived its time, at most `limit`.
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

    /// Takes in a record that this daemon knows as the entry of its request.
    ///
    /// If keeper and copy both die while the request runs, no owner would know of it and a
    /// repeat would run it again. The entry is a third holder, which a new keeper asks.
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
        // A frozen entry that thaws after its key was claimed anew fails here, before it has
        // sent anything.
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

    /// Applies a transition; the changed record, or `None` if the transition is not allowed.
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
        let wall = self.inner.clock.wall();
        let since = wall.duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |wall| {
            u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
        })
    }
}
