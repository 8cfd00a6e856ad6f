//! Messages between entries, keepers and copies.

use serde::{Deserialize, Serialize};

use crate::error_kind::ErrorKind;
use crate::request_key::key_id::{BodyDigest, KeyId};
use crate::request_key::ranking::MemberRef;
use crate::request_key::record::{ClaimNumber, Holder, Outcome, Record};

/// A record on its way to another holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MovedRecord {
    /// Milliseconds since the record last changed.
    pub age_ms: u64,
    /// The key.
    pub id: KeyId,
    /// What is known of it.
    pub record: Record,
}

/// A call to the keeper of a key, or between holders of records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRequest {
    /// Entry to keeper: claim the key.
    Claim {
        /// Attempt of the entry.
        attempt: u64,
        /// Digest of the body.
        body: BodyDigest,
        /// The entry.
        entry: MemberRef,
        /// The key.
        id: KeyId,
        /// Whether the request may run more than once.
        idempotent: bool,
    },
    /// Keeper to copy: keep this unless something known contradicts it.
    Copy {
        /// The keeper.
        #[serde(rename = "keeper")]
        owner: MemberRef,
        /// The record.
        moved: MovedRecord,
    },
    /// Entry to keeper: the dispatched request has ended.
    End {
        /// Holder of the claim.
        holder: Holder,
        /// The key.
        id: KeyId,
        /// How it ended.
        outcome: Outcome,
    },
    /// New owner to any member: which records do you have for me?
    Handover {
        /// Continue after this key.
        after: Option<KeyId>,
        /// Members that the new owner thinks live.
        live: Vec<MemberRef>,
        /// The new owner.
        #[serde(rename = "owner")]
        replica: MemberRef,
    },
    /// Entry to keeper: I am about to dispatch.
    Mark {
        /// Holder of the claim.
        holder: Holder,
        /// The key.
        id: KeyId,
    },
    /// Holder to new owner: these are yours now.
    Push {
        /// The records.
        moved: Vec<MovedRecord>,
    },
    /// Entry to keeper: I have not dispatched and never will.
    Release {
        /// Attempt of the entry.
        attempt: u64,
        /// The entry.
        entry: MemberRef,
        /// The key.
        id: KeyId,
        /// Whether the claim may be in the store.
        may_be_stored: bool,
    },
}

/// Reply to a [`KeyRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyReply {
    /// The request was dispatched before; its answer can't be had.
    AlreadyRun {
        /// How it failed, if that is known.
        failed: Option<ErrorKind>,
    },
    /// The claim is granted.
    Claimed {
        /// Its number.
        claim: ClaimNumber,
        /// False if any request under the key was non-idempotent.
        idempotent: bool,
        /// The latest claim known not to have run.
        released: Option<ClaimNumber>,
        /// The latest released claim that may be in the store.
        stored: Option<ClaimNumber>,
    },
    /// The copy knows a record that contradicts the keeper's.
    Conflict {
        /// The record known.
        known: MovedRecord,
    },
    /// Carried out.
    Done,
    /// No room for another record.
    Full,
    /// A page of records.
    Handover {
        /// The records.
        moved: Vec<MovedRecord>,
        /// Ask again after this key; `None` at the end.
        next: Option<KeyId>,
    },
    /// The entry holds the whole answer.
    Held {
        /// The entry.
        entry: MemberRef,
    },
    /// The key was used for another body.
    KeyReused,
    /// The claim is marked as dispatching.
    Marked,
    /// The key is kept elsewhere.
    #[serde(rename = "not_keeper")]
    NotOwner,
    /// An entry has the request in progress.
    Running {
        /// The entry.
        entry: MemberRef,
    },
    /// The claim is not, or no longer, the key's.
    Superseded,
    /// The members changed and it is not known yet what the others hold.
    Unsettled,
}
