//! How the keeper decides about a claim.

use xxhash_rust::xxh3;

use crate::clock::Clock;
use crate::peers::Peers;
use crate::request_key::keeper::Keeper;
use crate::request_key::key_id::{BodyDigest, KeyId};
use crate::request_key::message::{KeyReply, KeyRequest};
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::record::{ClaimNumber, Holder, Outcome, Record, Stage};

/// A claim as asked for.
pub(super) struct Ask {
    pub(super) attempt: u64,
    pub(super) body: BodyDigest,
    pub(super) entry: MemberRef,
    pub(super) id: KeyId,
    pub(super) idempotent: bool,
}

/// What a known record means for a claim.
enum Verdict {
    /// The key may be claimed anew.
    Free,
    /// A grant whose reply was lost.
    Granted,
    /// The claim gets this reply.
    Reply(KeyReply),
}

impl<C: Clock, P: Peers<KeyRequest, KeyReply>, R: Ranking> Keeper<C, P, R> {
    pub(super) async fn claim(&self, ask: Ask) -> KeyReply {
        let id = ask.id;
        if !self.is_keeper_of(&id) {
            return KeyReply::NotKeeper;
        }
        let known = self.record(&id);
        let verdict = known
            .as_ref()
            .map_or(Verdict::Free, |record| self.judge(record, &ask));
        if let Verdict::Reply(reply) = verdict {
            return reply;
        }
        // After a change of members somebody else may know of a mark that is unknown here.
        // Granting now would run the request again.
        if !self.is_settled() {
            return KeyReply::Unsettled;
        }
        let record = match (verdict, known) {
            (Verdict::Granted, Some(record)) => record,
            (_, known) => {
                let mut table = self.inner.table.borrow_mut();
                let record = self.next_claim(&ask, known.as_ref());
                let room = known.is_some() || table.has_room_for_claim();
                if !room || !table.put(id, record.clone(), self.inner.clock.now()) {
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
                self.change(&id, |known| known.release(&ask.entry, ask.attempt, false));
                KeyReply::Full
            }
            reply => reply,
        }
    }

    fn judge(&self, record: &Record, ask: &Ask) -> Verdict {
        if record.body != ask.body {
            return Verdict::Reply(KeyReply::KeyReused);
        }
        let holder = &record.holder;
        let entry = holder.entry.clone();
        let live = self.inner.ranking.is_live(&entry);
        let same = entry == ask.entry && holder.attempt == ask.attempt;
        let reply = match record.stage {
            Stage::Claimed if same => return Verdict::Granted,
            Stage::Claimed if !live => return Verdict::Free,
            // A claim that was delayed on the wire and comes after its own release.
            Stage::Free if same => KeyReply::Superseded,
            Stage::Free => return Verdict::Free,
            Stage::Claimed | Stage::Dispatching if live => KeyReply::Running { entry },
            Stage::Ended(Outcome::Held { until_ms }) if live && self.wall_ms() < until_ms => {
                KeyReply::Held { entry }
            }
            Stage::Ended(Outcome::Failed(kind)) => KeyReply::AlreadyRun { failed: Some(kind) },
            Stage::Claimed | Stage::Dispatching | Stage::Ended(_) => {
                KeyReply::AlreadyRun { failed: None }
            }
        };
        Verdict::Reply(reply)
    }

    fn next_claim(&self, ask: &Ask, known: Option<&Record>) -> Record {
        let claim = ClaimNumber {
            number: known.map_or(0, |record| record.holder.claim.number) + 1,
            grant: self.draw_grant(),
        };
        Record {
            body: ask.body,
            holder: Holder {
                attempt: ask.attempt,
                claim,
                entry: ask.entry.clone(),
            },
            idempotent: ask.idempotent && known.is_none_or(|record| record.idempotent),
            released: known.and_then(|record| record.released),
            stage: Stage::Claimed,
            stored: known.and_then(|record| record.stored),
        }
    }

    fn draw_grant(&self) -> u64 {
        let count = self.inner.grants.get() + 1;
        self.inner.grants.set(count);
        let me = self.inner.ranking.me();
        xxh3::xxh3_64_with_seed(me.to_string().as_bytes(), count)
    }
}
