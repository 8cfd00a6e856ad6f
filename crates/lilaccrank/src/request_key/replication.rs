//! Replicates records to the backup. A change is acknowledged once owner and backup have it.

use crate::clock::Clock;
use crate::peers::Peers;
use crate::request_key::key_id::KeyId;
use crate::request_key::message::{KeyReply, KeyRequest, MovedRecord};
use crate::request_key::owner::KeyOwner;
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::record::Record;
use crate::request_key::replicas;

impl<C: Clock, P: Peers<KeyRequest, KeyReply>, R: Ranking> KeyOwner<C, P, R> {
    /// Sends `record` to the backup. Returns [`KeyReply::Done`] only if the backup has it, the
    /// record hasn't changed meanwhile and this daemon still is the owner.
    ///
    /// Without the backup's copy, the death of this daemon would make the key unknown again. If
    /// the backup doesn't answer, changes are refused until the membership declares it dead and
    /// ranks the next member second.
    pub(super) async fn replicate(&self, id: &KeyId, record: &Record) -> KeyReply {
        let ranked = self.inner.ranking.ranked(id.hash());
        if let Some(backup) = ranked.get(1) {
            let moved = match self.inner.table.borrow().get(id) {
                Some(slot) => slot.moved(*id, self.inner.clock.now()),
                None => return KeyReply::Unsettled,
            };
            let req = KeyRequest::Copy {
                owner: self.inner.ranking.me(),
                moved,
            };
            match self.inner.peers.call(&backup.vm, req).await {
                Ok(KeyReply::Done) => {}
                Ok(KeyReply::Full) => return KeyReply::Full,
                Ok(KeyReply::Conflict { known }) => {
                    self.accept_push(vec![known]);
                    return KeyReply::Unsettled;
                }
                Ok(_) | Err(_) => return KeyReply::Unsettled,
            }
        }
        if self.record(id).as_ref() != Some(record) || !self.is_owner_of(id) {
            return KeyReply::Unsettled;
        }
        if let Some(slot) = self.inner.table.borrow_mut().get_mut(id) {
            slot.replicated_to = Some(replicas::replicas_digest(&ranked));
        }
        KeyReply::Done
    }

    /// Stores the owner's record as its backup.
    ///
    /// During a membership change two daemons can both consider themselves the owner. The backup
    /// accepts records only from the owner in its own view, and none that conflict with its own
    /// record, so at most one of the two gets an acknowledgement.
    pub(super) fn accept_copy(&self, owner: &MemberRef, moved: MovedRecord) -> KeyReply {
        let ranked = self.inner.ranking.ranked(moved.id.hash());
        if ranked.first() != Some(owner) {
            return KeyReply::NotOwner;
        }
        let now = self.inner.clock.now();
        let id = moved.id;
        let mut table = self.inner.table.borrow_mut();
        let known = table.get(&id);
        if let Some(slot) = known.filter(|slot| !moved.record.supersedes(&slot.record)) {
            let known = slot.moved(id, now);
            return KeyReply::Conflict { known };
        }
        if !table.absorb(moved, now) {
            return KeyReply::Full;
        }
        if let Some(slot) = table.get_mut(&id) {
            slot.replicated_to = Some(replicas::replicas_digest(&ranked));
        }
        KeyReply::Done
    }

    /// Merges records from another replica. Returns [`KeyReply::Full`] if one didn't fit.
    pub(super) fn accept_push(&self, moved: Vec<MovedRecord>) -> KeyReply {
        let now = self.inner.clock.now();
        let mut table = self.inner.table.borrow_mut();
        let stored = moved.into_iter().all(|moved| table.absorb(moved, now));
        if stored {
            KeyReply::Done
        } else {
            KeyReply::Full
        }
    }
}
