//! Lifecycle of a claim at its entry daemon, as a typestate.

use std::marker::PhantomData;
use std::time::Duration;

use crate::clock::{self, Clock};
use crate::error_kind::ErrorKind;
use crate::peers::Peers;
use crate::request_key::claims::{Error, Result};
use crate::request_key::guard::ClaimGuard;
use crate::request_key::key_id::KeyId;
use crate::request_key::message::{KeyReply, KeyRequest};
use crate::request_key::ranking::Ranking;
use crate::request_key::record::{Holder, Outcome, Stage};
use crate::request_key::store_claim;
use crate::store::Store;

/// Timeout for a claim in the store, which may take an unanswered write and a read after it.
const STORE_TIMEOUT: Duration = Duration::from_secs(4);

/// State of a claim before its mark. Nothing may be sent to a target.
pub struct Claimed;

/// State of a claim after its mark. The request may be sent to a target, once.
pub struct Marked;

/// A claim held by this daemon.
///
/// Dropping it before the mark releases the key. Dropping it after the mark ends the claim as
/// cancelled, as the request may have run.
#[must_use = "a claim that is dropped is given up"]
pub struct Claim<Z, C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    guard: ClaimGuard<C, P, R, S>,
    state: PhantomData<Z>,
}

impl<C, P, R, S> Claim<Claimed, C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    pub(super) fn new(guard: ClaimGuard<C, P, R, S>) -> Self {
        Self {
            guard,
            state: PhantomData,
        }
    }

    /// Marks the claim as dispatching, before anything is sent to a target.
    ///
    /// A non-idempotent request is also claimed in the store. That claim survives the loss of all
    /// daemons that hold the record, and is visible to other data centres.
    ///
    /// # Errors
    ///
    /// Nothing may be sent. The claim is released, unless another claim has replaced it.
    pub async fn mark_dispatching(self) -> Result<Claim<Marked, C, P, R, S>> {
        let idempotent = self.guard.record.idempotent;
        if !idempotent && !self.guard.claims.inner.budget.try_take() {
            self.release().await;
            return Err(Error::RateLimited);
        }
        let marked = self.mark().await?;
        if idempotent {
            return Ok(marked);
        }
        marked.claim_in_store().await
    }

    /// Marks the claim before its request is forwarded to a daemon of another data centre, which
    /// claims the key itself.
    ///
    /// A non-idempotent request is not claimed in the store here. That claim would conflict with
    /// the other daemon's own, which would refuse the request as already run. The store still
    /// allows a single dispatch, as every daemon creates its claim there before it sends the
    /// request to a target.
    ///
    /// # Errors
    ///
    /// Nothing may be forwarded. The claim is released, unless another claim has replaced it.
    pub async fn mark_forwarded(self) -> Result<Claim<Marked, C, P, R, S>> {
        self.mark().await
    }

    async fn mark(mut self) -> Result<Claim<Marked, C, P, R, S>> {
        match self.guard.request_mark().await {
            KeyReply::Marked => {}
            KeyReply::Superseded => {
                self.guard.disarm();
                return Err(Error::AlreadyRun { failed: None });
            }
            _ => {
                self.release().await;
                return Err(Error::Unsettled);
            }
        }
        self.guard.set_stage(Stage::Dispatching);
        Ok(Claim {
            guard: self.guard,
            state: PhantomData,
        })
    }
}

impl<C, P, R, S> Claim<Marked, C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    /// Ends the claim and reports `outcome` to the owner of the key.
    pub async fn end(mut self, outcome: Outcome) {
        self.guard.set_stage(Stage::Ended(outcome));
        self.guard.report().await;
    }

    async fn claim_in_store(mut self) -> Result<Self> {
        let inner = &self.guard.claims.inner;
        let (id, record) = (&self.guard.id, &self.guard.record);
        let mut create = store_claim::Create::new(id, &record.holder, record.stored);
        // Without the timeout a slow store would delay the caller for every retry of each call. A
        // write that is abandoned here may still take effect, like one whose reply is lost.
        let clock = &inner.owner.inner.clock;
        let creating = create.run(&inner.store, &inner.budget);
        let created = clock::timeout(clock, STORE_TIMEOUT, creating).await;
        self.guard.may_be_stored = created.is_none() || create.may_be_stored();
        let created = created.unwrap_or(Err(store_claim::Error::Unavailable));
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
    /// Entry, attempt and number of the claim.
    #[must_use]
    pub fn holder(&self) -> &Holder {
        &self.guard.record.holder
    }

    /// The claimed key.
    #[must_use]
    pub fn id(&self) -> KeyId {
        self.guard.id
    }

    /// Releases the key. Nothing may have been sent to a target.
    pub async fn release(mut self) {
        self.guard.free();
        self.guard.report().await;
    }
}
