//! The life cycle of one claim at its entry, by typestate.

use std::marker::PhantomData;

use crate::clock::Clock;
use crate::error_kind::ErrorKind;
use crate::peers::Peers;
use crate::request_key::claims::{Claims, Error, Result};
use crate::request_key::key_id::KeyId;
use crate::request_key::message::{KeyReply, KeyRequest};
use crate::request_key::ranking::Ranking;
use crate::request_key::record::{Holder, Outcome, Record, Stage};
use crate::request_key::store_claim;
use crate::store::Store;

/// State of a claim before its mark: nothing may be sent to a target.
pub struct Claimed;

/// State of a claim after its mark: the request may be sent to a target, once.
pub struct Marked;

/// A claim held by this daemon. It has to be ended or released; one that is merely dropped is
/// answered as in progress until its time to live has passed or this daemon leaves.
#[must_use = "a claim has to be ended or released"]
pub struct Claim<Z, C, P, R, S> {
    claims: Claims<C, P, R, S>,
    id: KeyId,
    record: Record,
    state: PhantomData<Z>,
}

impl<C, P, R, S> Claim<Claimed, C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    pub(super) fn new(claims: Claims<C, P, R, S>, id: KeyId, record: Record) -> Self {
        Self {
            claims,
            id,
            record,
            state: PhantomData,
        }
    }

    /// Marks the claim as dispatching, before anything is sent to a target. A non-idempotent
    /// request is claimed in the store besides, which holds across the death of all record
    /// holders and across data centres.
    ///
    /// # Errors
    ///
    /// Nothing may be sent. The claim is released, unless another one has taken its place.
    pub async fn mark_dispatching(mut self) -> Result<Claim<Marked, C, P, R, S>> {
        if !self.record.idempotent && !self.claims.inner.budget.try_take() {
            self.release().await;
            return Err(Error::RateLimited);
        }
        let req = KeyRequest::Mark {
            holder: self.record.holder.clone(),
            id: self.id,
        };
        match self.claims.ask(&self.id, req).await {
            KeyReply::Marked => {}
            KeyReply::Superseded => return Err(Error::AlreadyRun { failed: None }),
            _ => {
                self.release().await;
                return Err(Error::Unsettled);
            }
        }
        self.record.stage = Stage::Dispatching;
        self.claims
            .inner
            .keeper
            .witness(self.id, self.record.clone());
        let marked = Claim {
            claims: self.claims,
            id: self.id,
            record: self.record,
            state: PhantomData,
        };
        if marked.record.idempotent {
            return Ok(marked);
        }
        marked.claim_in_store().await
    }
}

impl<C, P, R, S> Claim<Marked, C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    /// Ends the claim once the request has ended.
    pub async fn end(mut self, outcome: Outcome) {
        self.record.stage = Stage::Ended(outcome);
        self.claims
            .inner
            .keeper
            .witness(self.id, self.record.clone());
        let req = KeyRequest::End {
            holder: self.record.holder,
            id: self.id,
            outcome,
        };
        self.claims.send(self.id, req).await;
    }

    async fn claim_in_store(self) -> Result<Self> {
        let inner = &self.claims.inner;
        let holder = &self.record.holder;
        let released = self.record.released;
        let created =
            store_claim::create(&inner.store, &inner.budget, &self.id, holder, released).await;
        match created {
            Ok(()) => Ok(self),
            Err(store_claim::Error::Taken) => {
                self.end(Outcome::Failed(ErrorKind::AlreadyRun)).await;
                Err(Error::AlreadyRun { failed: None })
            }
            Err(store_claim::Error::Throttled) => {
                self.release().await;
                Err(Error::RateLimited)
            }
            Err(store_claim::Error::Unavailable) => {
                self.release().await;
                Err(Error::StoreUnavailable)
            }
        }
    }
}

impl<Z, C, P, R, S> Claim<Z, C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    /// Who holds the claim, with its number.
    #[must_use]
    pub fn holder(&self) -> &Holder {
        &self.record.holder
    }

    /// The key.
    #[must_use]
    pub fn id(&self) -> KeyId {
        self.id
    }

    /// Frees the key: nothing was sent to a target and nothing will be.
    pub async fn release(mut self) {
        let holder = self.record.holder.clone();
        self.record.release(&holder.entry, holder.attempt);
        self.claims.inner.keeper.witness(self.id, self.record);
        let req = KeyRequest::Release {
            attempt: holder.attempt,
            entry: holder.entry,
            id: self.id,
        };
        self.claims.send(self.id, req).await;
    }
}
