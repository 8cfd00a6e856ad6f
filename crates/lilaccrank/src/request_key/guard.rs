//! Drop guards that report the end of a claim to the owner of its key.

use crate::clock::Clock;
use crate::error_kind::ErrorKind;
use crate::peers::Peers;
use crate::request_key::claims::Claims;
use crate::request_key::key_id::KeyId;
use crate::request_key::message::{KeyReply, KeyRequest};
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::record::{Outcome, Record, Stage};
use crate::store::Store;

/// A granted claim whose end has to be reported to the owner.
///
/// The task of a request is dropped when its caller disconnects. A claim that stayed behind
/// would direct each repeat to this daemon, which no longer runs the request. The drop
/// therefore queues a message to the owner, which the next sweep sends.
pub(super) struct ClaimGuard<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    pub(super) claims: Claims<C, P, R, S>,
    disarmed: bool,
    pub(super) id: KeyId,
    pub(super) may_be_stored: bool,
    pub(super) record: Record,
}

impl<C, P, R, S> ClaimGuard<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    pub(super) fn new(claims: Claims<C, P, R, S>, id: KeyId, record: Record) -> Self {
        let guard = Self {
            claims,
            disarmed: false,
            id,
            may_be_stored: false,
            record,
        };
        guard.save_local();
        guard
    }

    /// Asks the owner to mark the claim.
    pub(super) async fn request_mark(&self) -> KeyReply {
        let req = KeyRequest::Mark {
            holder: self.record.holder.clone(),
            id: self.id,
        };
        self.claims.call_owner(&self.id, req).await
    }

    /// Skips the report on drop, as another claim holds the key now.
    pub(super) fn disarm(&mut self) {
        self.disarmed = true;
    }

    /// Sets the local record to released. [`report`](Self::report) tells the owner.
    pub(super) fn free(&mut self) {
        let holder = self.record.holder.clone();
        self.record
            .release(&holder.entry, holder.attempt, self.may_be_stored);
        self.save_local();
    }

    /// Sets the stage of the local record. [`report`](Self::report) tells the owner.
    pub(super) fn set_stage(&mut self, stage: Stage) {
        self.record.stage = stage;
        self.save_local();
    }

    /// Reports the end or the release of the claim to the owner.
    pub(super) async fn report(mut self) {
        self.claims
            .send_or_enqueue(self.id, self.last_message())
            .await;
        self.disarmed = true;
    }

    fn last_message(&self) -> KeyRequest {
        let holder = self.record.holder.clone();
        match self.record.stage {
            Stage::Ended(outcome) => KeyRequest::End {
                holder,
                id: self.id,
                outcome,
            },
            _ => KeyRequest::Release {
                attempt: holder.attempt,
                entry: holder.entry,
                id: self.id,
                may_be_stored: self.may_be_stored,
            },
        }
    }

    fn save_local(&self) {
        let owner = &self.claims.inner.owner;
        owner.save_local(self.id, self.record.clone());
    }
}

impl<C, P, R, S> Drop for ClaimGuard<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        match self.record.stage {
            Stage::Claimed => self.free(),
            Stage::Dispatching => {
                let cancelled = Outcome::Failed(ErrorKind::Cancelled);
                self.set_stage(Stage::Ended(cancelled));
            }
            Stage::Ended(_) | Stage::Free => {}
        }
        self.claims.enqueue(self.id, self.last_message());
    }
}

/// A claim that waits for the owner's reply. If it is dropped without a definite reply, its
/// release is queued, as the claim may have been granted and the reply lost.
pub(super) struct PendingClaim<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    pub(super) answered: bool,
    pub(super) attempt: u64,
    pub(super) claims: Claims<C, P, R, S>,
    pub(super) entry: MemberRef,
    pub(super) id: KeyId,
}

impl<C, P, R, S> Drop for PendingClaim<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let release = KeyRequest::Release {
            attempt: self.attempt,
            entry: self.entry.clone(),
            id: self.id,
            may_be_stored: false,
        };
        self.claims.enqueue(self.id, release);
    }
}
