//! The record of one key and its checked transitions.

use serde::{Deserialize, Serialize};

use crate::error_kind::ErrorKind;
use crate::request_key::key_id::BodyDigest;
use crate::request_key::ranking::MemberRef;

/// Names one grant of a key and orders it among the others.
///
/// Two keepers that don't know of each other, one thawed and one its successor, can give the
/// same number to different entries. The release of the one would then count as that of the
/// other, which runs, and the request would run again. `grant` tells them apart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimNumber {
    // The derived order compares the fields from top to bottom, so theirs is not alphabetical.
    /// Grows with each grant that the keeper knows of, from 1.
    pub number: u32,
    /// Drawn by the keeper, unique over all grants.
    pub grant: u64,
}

/// Who holds a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Counts the claims of this entry, so that a retry is known from a second request.
    pub attempt: u64,
    /// Number given by the keeper.
    pub claim: ClaimNumber,
    /// The entry daemon.
    pub entry: MemberRef,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It failed after it was dispatched.
    Failed(ErrorKind),
    /// The entry holds the whole answer.
    Held {
        /// Until this wall time, in milliseconds since 1970.
        until_ms: u64,
    },
}

/// Where a claim stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Held by an entry that has sent nothing to a target yet.
    Claimed,
    /// The entry may have sent the request to a target.
    Dispatching,
    /// The request has ended.
    Ended(Outcome),
    /// The holder said that it sent nothing and never will; the key may be claimed again.
    Free,
}

/// What keeper and copy know of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Digest of the body first seen under the key.
    pub body: BodyDigest,
    /// The latest claim.
    pub holder: Holder,
    /// False if the request is also claimed in the store.
    pub idempotent: bool,
    /// The latest claim whose holder said that it was not run.
    pub released: Option<ClaimNumber>,
    /// Where the latest claim stands.
    pub stage: Stage,
    /// The latest released claim that may be in the store.
    pub stored: Option<ClaimNumber>,
}

impl Stage {
    /// Whether a target may have been given the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Dispatching | Self::Ended(_))
    }

    fn order(self) -> u8 {
        match self {
            Self::Claimed => 0,
            Self::Dispatching => 1,
            Self::Ended(_) | Self::Free => 2,
        }
    }
}

impl Record {
    /// Marks the claim as dispatching; false if `holder` doesn't hold it or it has ended.
    /// Marking twice is the retry of a lost reply: one claim has one task that dispatches.
    pub fn mark(&mut self, holder: &Holder) -> bool {
        if self.holder != *holder {
            return false;
        }
        if self.stage == Stage::Claimed {
            self.stage = Stage::Dispatching;
        }
        self.stage == Stage::Dispatching
    }

    /// Ends a marked claim; false if `holder` doesn't hold it or it was never marked.
    pub fn end(&mut self, holder: &Holder, outcome: Outcome) -> bool {
        if self.holder != *holder {
            return false;
        }
        if self.stage == Stage::Dispatching {
            self.stage = Stage::Ended(outcome);
        }
        self.stage == Stage::Ended(outcome)
    }

    /// Whether the store's object, if there is one, is this record's to delete. A claim that
    /// found another one in the store never had an object of its own.
    #[must_use]
    pub fn owns_object(&self) -> bool {
        let lost = Stage::Ended(Outcome::Failed(ErrorKind::AlreadyRun));
        !self.idempotent && self.stage != lost
    }

    /// Frees the key after a refusal as not run; false if somebody else holds it or it ended.
    /// `may_be_stored` if the claim's object may be in the store, where the next claim then has
    /// to know it as one that was not run.
    pub fn release(&mut self, entry: &MemberRef, attempt: u64, may_be_stored: bool) -> bool {
        if self.holder.entry != *entry || self.holder.attempt != attempt {
            return false;
        }
        if matches!(self.stage, Stage::Ended(_)) {
            return false;
        }
        self.released = Some(self.holder.claim);
        self.stage = Stage::Free;
        if may_be_stored {
            self.stored = self.released;
        }
        true
    }

    /// Whether this record may take the place of `old`.
    ///
    /// A stale holder can come back with an old record after members changed. If a later claim
    /// won over an earlier one that was marked, the request would run twice. So a record that
    /// may have run yields only to one that knows of its release.
    #[must_use]
    pub fn supersedes(&self, old: &Self) -> bool {
        if self.holder == old.holder {
            return self.stage.order() >= old.stage.order();
        }
        match (old.stage.may_have_run(), self.stage.may_have_run()) {
            (true, _) => self.released == Some(old.holder.claim),
            (false, true) => old.released != Some(self.holder.claim),
            (false, false) => self.holder.claim > old.holder.claim,
        }
    }
}
