//! Decides claims on the owner of a key.

use xxhash_rust::xxh3;

use crate::clock::Clock;
use crate::peers::Peers;
use crate::request_key::key_id::{BodyDigest, KeyId};
use crate::request_key::message::{KeyReply, KeyRequest};
use crate::request_key::owner::KeyOwner;
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::record::{ClaimNumber, Holder, Outcome, Record, Stage};

/// Fields of a [`KeyRequest::Claim`].
pub(super) struct ClaimMessage {
    pub(super) attempt: u64,
    pub(super) body: BodyDigest,
    pub(super) entry: MemberRef,
    pub(super) id: KeyId,
    pub(super) idempotent: bool,
}

/// Decision about a claim, given the known record of its key.
enum Decision {
    /// No claim stands in the way; a new one is created.
    Free,
    /// This claim was granted before and its reply was lost.
    Granted,
    /// No grant; the entry gets this reply.
    Reply(KeyReply),
}

impl<C: Clock, P: Peers<KeyRequest, KeyReply>, R: Ranking> KeyOwner<C, P, R> {
    pub(super) async fn claim(&self, msg: ClaimMessage) -> KeyReply {
        let id = msg.id;
        if !self.is_owner_of(&id) {
            return KeyReply::NotOwner;
        }
        let known = self.record(&id);
        let decision = known
            .as_ref()
            .map_or(Decision::Free, |record| self.decide(record, &msg));
        if let Decision::Reply(reply) = decision {
            return reply;
        }
        // After a membership change another member may hold a mark that is unknown here. Granting
        // now could run the request twice.
        if !self.is_settled() {
            return KeyReply::Unsettled;
        }
        let record = match (decision, known) {
            (Decision::Granted, Some(record)) => record,
            (_, known) => {
                let mut table = self.inner.table.borrow_mut();
                let record = self.next_claim(&msg, known.as_ref());
                let has_room = known.is_some() || table.has_room_for_claim();
                if !has_room || !table.put(id, record.clone(), self.inner.clock.now()) {
                    return KeyReply::Full;
                }
                record
            }
        };
        match self.replicate(&id, &record).await {
            KeyReply::Done => KeyReply::Claimed {
                claim: record.holder.claim,
                idempotent: record.idempotent,
                released: record.released,
                stored: record.stored,
            },
            KeyReply::Full => {
                self.change(&id, |known| known.release(&msg.entry, msg.attempt, false));
                KeyReply::Full
            }
            reply => reply,
        }
    }

    fn decide(&self, record: &Record, msg: &ClaimMessage) -> Decision {
        if record.body != msg.body {
            return Decision::Reply(KeyReply::KeyReused);
        }
        let holder = &record.holder;
        let entry = holder.entry.clone();
        let live = self.inner.ranking.is_live(&entry);
        let same = entry == msg.entry && holder.attempt == msg.attempt;
        let reply = match record.stage {
            Stage::Claimed if same => return Decision::Granted,
            Stage::Claimed if !live => return Decision::Free,
            // The claim was delayed on the network and arrives after its own release.
            Stage::Free if same => KeyReply::Superseded,
            Stage::Free => return Decision::Free,
            Stage::Claimed | Stage::Dispatching if live => KeyReply::Running { entry },
            Stage::Ended(Outcome::Held { until_ms }) if live && self.wall_ms() < until_ms => {
                KeyReply::Held { entry }
            }
            Stage::Ended(Outcome::Failed(kind)) => KeyReply::AlreadyRun { failed: Some(kind) },
            Stage::Claimed | Stage::Dispatching | Stage::Ended(_) => {
                KeyReply::AlreadyRun { failed: None }
            }
        };
        Decision::Reply(reply)
    }

    fn next_claim(&self, msg: &ClaimMessage, known: Option<&Record>) -> Record {
        let claim = ClaimNumber {
            number: known.map_or(0, |record| record.holder.claim.number) + 1,
            grant: self.next_grant_id(),
        };
        Record {
            body: msg.body,
            holder: Holder {
                attempt: msg.attempt,
                claim,
                entry: msg.entry.clone(),
            },
            idempotent: msg.idempotent && known.is_none_or(|record| record.idempotent),
            released: known.and_then(|record| record.released),
            stage: Stage::Claimed,
            stored: known.and_then(|record| record.stored),
        }
    }

    fn next_grant_id(&self) -> u64 {
        let count = self.inner.grant_count.get() + 1;
        self.inner.grant_count.set(count);
        let me = self.inner.ranking.me();
        xxh3::xxh3_64_with_seed(me.to_string().as_bytes(), count)
    }
}
