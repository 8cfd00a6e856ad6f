//! The life cycle of one claim at its entry, by typestate.

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

/// Longest time for a claim in the store: a write without an answer, and reading it back.
const STORE_TIMEOUT: Duration = Duration::from_secs(4);

/// State of a claim before its mark: nothing may be sent to a target.
pub struct Claimed;

/// State of a claim after its mark: the request may be sent to a target, once.
pub struct Marked;

/// A claim held by this daemon. One that is dropped before its mark is released; one that is
/// dropped after it ends as cancelled, which may have run.
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

    /// Marks the claim as dispatching, before anything is sent to a target. A non-idempotent
    /// request is claimed in the store besides, which holds across the death of all record
    /// holders and across data centres.
    ///
    /// # Errors
    ///
    /// Nothing may be sent. The claim is released, unless another one has taken its place.
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

    /// Marks the claim as handed on to a daemon of another data centre, which claims the key
    /// itself. A claim of a non-idempotent request in the store would stand against that daemon's
    /// own: it would refuse the request as run, though it had not. Without it the store still lets
    /// one dispatch through, as no daemon sends to a target before its claim is there.
    ///
    /// # Errors
    ///
    /// Nothing may be handed on. The claim is released, unless another one has taken its place.
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
    /// Ends the claim once the request has ended.
    pub async fn end(mut self, outcome: Outcome) {
        self.guard.set_stage(Stage::Ended(outcome));
        self.guard.report().await;
    }

    async fn claim_in_store(mut self) -> Result<Self> {
        let inner = &self.guard.claims.inner;
        let (id, record) = (&self.guard.id, &self.guard.record);
        let mut create = store_claim::Create::new(id, &record.holder, record.stored);
        // A store that answers too late would hold the caller through every retry of each call.
        // A write that is given up here may still take effect, like one whose answer is lost.
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
    /// Who holds the claim, with its number.
    #[must_use]
    pub fn holder(&self) -> &Holder {
        &self.guard.record.holder
    }

    /// The key.
    #[must_use]
    pub fn id(&self) -> KeyId {
        self.guard.id
    }

    /// Frees the key: nothing was sent to a target and nothing will be.
    pub async fn release(mut self) {
        self.guard.free();
        self.guard.report().await;
    }
}
