//! Messages between entry daemons, owners and backups.

use serde::{Deserialize, Serialize};

use crate::error_kind::ErrorKind;
use crate::request_key::key_id::{BodyDigest, KeyId};
use crate::request_key::ranking::MemberRef;
use crate::request_key::record::{ClaimNumber, Holder, Outcome, Record};

/// A record in a message to another member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MovedRecord {
    /// Milliseconds since the record last changed.
    pub age_ms: u64,
    /// The key.
    pub id: KeyId,
    /// The record of the key.
    pub record: Record,
}

/// Request to the owner of a key, or between replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRequest {
    /// Entry to owner: claims the key.
    Claim {
        /// Counter of the entry's claims.
        attempt: u64,
        /// Digest of the body.
        body: BodyDigest,
        /// The entry daemon.
        entry: MemberRef,
        /// The key.
        id: KeyId,
        /// If `false`, the request must not run more than once.
        idempotent: bool,
    },
    /// Owner to backup: stores the record unless it conflicts with a known one.
    Copy {
        /// The owner.
        #[serde(rename = "keeper")]
        owner: MemberRef,
        /// The record.
        moved: MovedRecord,
    },
    /// Entry to owner: the dispatched request has ended.
    End {
        /// Holder and number of the claim.
        holder: Holder,
        /// The key.
        id: KeyId,
        /// How the request ended.
        outcome: Outcome,
    },
    /// New replica to any member: asks for the records that it should hold.
    Handover {
        /// The page starts after this key.
        after: Option<KeyId>,
        /// Live members in the view of the new replica.
        live: Vec<MemberRef>,
        /// The new replica.
        #[serde(rename = "owner")]
        replica: MemberRef,
    },
    /// Entry to owner: marks the claim, right before the request is dispatched.
    Mark {
        /// Holder and number of the claim.
        holder: Holder,
        /// The key.
        id: KeyId,
    },
    /// Previous to new replica: records that it should hold.
    Push {
        /// The records.
        moved: Vec<MovedRecord>,
    },
    /// Entry to owner: releases the claim, whose request was not dispatched and won't be.
    Release {
        /// Counter of the entry's claims.
        attempt: u64,
        /// The entry daemon.
        entry: MemberRef,
        /// The key.
        id: KeyId,
        /// Set if the claim's object may exist in the store.
        may_be_stored: bool,
    },
}

/// Reply to a [`KeyRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyReply {
    /// The request was dispatched before and its answer isn't available.
    AlreadyRun {
        /// How the request failed, if known.
        failed: Option<ErrorKind>,
    },
    /// The claim is granted.
    Claimed {
        /// Number of the claim.
        claim: ClaimNumber,
        /// If `false`, a request with this key was non-idempotent.
        idempotent: bool,
        /// The latest claim that was released without a dispatch.
        released: Option<ClaimNumber>,
        /// The latest released claim whose object may exist in the store.
        stored: Option<ClaimNumber>,
    },
    /// The backup has a record that conflicts with the owner's.
    Conflict {
        /// The backup's record.
        known: MovedRecord,
    },
    /// The request was carried out.
    Done,
    /// The record table is full.
    Full,
    /// A page of records.
    Handover {
        /// The records.
        moved: Vec<MovedRecord>,
        /// The next page starts after this key; `None` if this is the last page.
        next: Option<KeyId>,
    },
    /// The request has ended and the entry caches its complete answer.
    Held {
        /// The entry daemon.
        entry: MemberRef,
    },
    /// The key was used before with a different body.
    KeyReused,
    /// The claim is marked as dispatching.
    Marked,
    /// Another member owns the key.
    #[serde(rename = "not_keeper")]
    NotOwner,
    /// The request is in progress at an entry.
    Running {
        /// The entry daemon.
        entry: MemberRef,
    },
    /// The claim doesn't hold the key, or no longer does.
    Superseded,
    /// The owner can't decide yet: after a membership change it hasn't fetched all records, or it
    /// couldn't replicate the change to the backup. The entry may retry.
    Unsettled,
}
