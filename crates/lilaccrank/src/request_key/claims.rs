//! The side that claims: the entry daemon of a request.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;

use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::error_kind::{ErrorKind, Ran};
use crate::ids::{CustomerId, RequestKey};
use crate::peers::Peers;
use crate::request_key::budget::Budget;
use crate::request_key::claim::{Claim, Claimed};
use crate::request_key::guard::{ClaimGuard, PendingClaim};
use crate::request_key::key_id::{BodyDigest, KeyId};
use crate::request_key::message::{KeyReply, KeyRequest};
use crate::request_key::owner::KeyOwner;
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::record::{Holder, Record, Stage};
use crate::store::{self, Expect, Store};

/// Result of a claim or of its mark.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Longest wait between two tries to reach the keeper.
const RETRY_LIMIT: Duration = Duration::from_millis(200);
/// First wait between two tries to reach the keeper.
const RETRY_FIRST: Duration = Duration::from_millis(10);
/// Messages kept for a keeper that could not be reached; past it the oldest is dropped, and its
/// record is answered as in progress until this daemon leaves.
const UNSENT_LIMIT: usize = 10_000;
/// Objects deleted from the store by one sweep.
const SWEEP_LIMIT: usize = 64;

/// Why a key could not be claimed or marked. Nothing was sent to a target by this daemon.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The key was dispatched before, or is now by another daemon.
    #[error("a request with this key was run before")]
    AlreadyRun {
        /// How it failed, if that is known.
        failed: Option<ErrorKind>,
    },
    /// The keeper has no room for another key.
    #[error("no room for another request key")]
    Full,
    /// The key was used for another body.
    #[error("the request key was used for another body")]
    KeyReused,
    /// The budget of calls to the store is used up.
    #[error("too many non-idempotent requests")]
    RateLimited,
    /// The store can't be asked.
    #[error("the store can't be asked")]
    StoreUnavailable,
    /// The keeper could not be asked, or does not know all records yet.
    #[error("the keeper of the request key can't tell yet")]
    Unsettled,
}

impl Error {
    /// What the caller is told.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::AlreadyRun { .. } => ErrorKind::AlreadyRun,
            Self::Full => ErrorKind::Overloaded,
            Self::KeyReused => ErrorKind::KeyReused,
            Self::RateLimited => ErrorKind::RateLimited,
            Self::StoreUnavailable => ErrorKind::StoreUnavailable,
            Self::Unsettled => ErrorKind::NotReady,
        }
    }

    /// Whether a target may have been given the request.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.kind().answer().ran
    }
}

/// A request that wants its key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Digest of the body.
    pub body: BodyDigest,
    /// Scope of the key.
    pub customer: CustomerId,
    /// False if the request must not run more than once.
    pub idempotent: bool,
    /// The caller's key.
    pub key: RequestKey,
}

/// What a request may do with its key.
#[must_use]
pub enum Access<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    /// This daemon holds the claim.
    Granted(Claim<Claimed, C, P, R, S>),
    /// Take the whole answer from this entry.
    Held {
        /// The entry.
        entry: MemberRef,
    },
    /// Attach to the running answer at this entry.
    Running {
        /// The entry.
        entry: MemberRef,
    },
}

/// Claims keys for the requests of one entry daemon; clones share its state.
pub struct Claims<C, P, R, S> {
    pub(super) inner: Rc<Inner<C, P, R, S>>,
}

pub(super) struct Inner<C, P, R, S> {
    attempts: Cell<u64>,
    pub(super) budget: Budget<C>,
    pub(super) owner: KeyOwner<C, P, R>,
    pub(super) store: S,
    unsent: RefCell<VecDeque<(KeyId, KeyRequest)>>,
    retry_timeout: Duration,
}

impl<C, P, R, S> Clone for Claims<C, P, R, S> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<C, P, R, S> Claims<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    /// Claims through this daemon's own `keeper`, which stands for it at the others. A keeper
    /// that can't tell is asked again for `wait_at_most`.
    #[must_use]
    pub fn new(
        owner: KeyOwner<C, P, R>,
        store: S,
        budget: Budget<C>,
        retry_timeout: Duration,
    ) -> Self {
        let inner = Inner {
            attempts: Cell::new(0),
            budget,
            owner,
            store,
            unsent: RefCell::new(VecDeque::new()),
            retry_timeout,
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Claims the key of `wanted`, or says where its answer is.
    ///
    /// # Errors
    ///
    /// All kinds but [`Error::RateLimited`] and [`Error::StoreUnavailable`].
    pub async fn claim(&self, request: &ClaimRequest) -> Result<Access<C, P, R, S>> {
        let id = KeyId::new(&request.customer, &request.key);
        let attempt = self.inner.attempts.get() + 1;
        self.inner.attempts.set(attempt);
        let entry = self.me();
        let req = KeyRequest::Claim {
            attempt,
            body: request.body,
            entry: entry.clone(),
            id,
            idempotent: request.idempotent,
        };
        let mut pending = PendingClaim {
            answered: false,
            attempt,
            claims: self.clone(),
            entry: entry.clone(),
            id,
        };
        let reply = self.call_owner(&id, req).await;
        pending.answered = !matches!(reply, KeyReply::NotOwner | KeyReply::Unsettled);
        match reply {
            KeyReply::Claimed {
                claim,
                idempotent,
                released,
                stored,
            } => {
                let record = Record {
                    body: request.body,
                    holder: Holder {
                        attempt,
                        claim,
                        entry,
                    },
                    idempotent,
                    released,
                    stage: Stage::Claimed,
                    stored,
                };
                Ok(Access::Granted(Claim::new(ClaimGuard::new(
                    self.clone(),
                    id,
                    record,
                ))))
            }
            KeyReply::AlreadyRun { failed } => Err(Error::AlreadyRun { failed }),
            KeyReply::Full => Err(Error::Full),
            KeyReply::Held { entry } => Ok(Access::Held { entry }),
            KeyReply::KeyReused => Err(Error::KeyReused),
            KeyReply::Running { entry } => Ok(Access::Running { entry }),
            _ => Err(Error::Unsettled),
        }
    }

    /// Sends what did not reach a keeper, and deletes objects that have outlived their time as
    /// far as the budget of store calls allows.
    pub async fn sweep(&self) {
        for _ in 0..self.unsent() {
            let next = self.inner.unsent.borrow_mut().pop_front();
            let Some((id, req)) = next else { break };
            // A silent keeper costs the time limit of a call. Without a stop here a long queue
            // for it would hold up the messages to all others; so it goes to the end.
            if !self.send_or_enqueue(id, req).await {
                break;
            }
        }
        for id in self.inner.owner.due_for_deletion(SWEEP_LIMIT) {
            if !self.inner.budget.try_take_low_priority() {
                return;
            }
            let name = id.object_name();
            match self.inner.store.delete(&name, Expect::Any).await {
                Ok(()) | Err(store::Error::Conflict { .. }) => self.inner.owner.forget(&id),
                Err(_) => return,
            }
        }
    }

    /// Calls [`sweep`](Self::sweep) for ever, once per `every`.
    pub async fn sweep_every(&self, every: Duration) {
        loop {
            self.inner.owner.inner.clock.sleep(every).await;
            self.sweep().await;
        }
    }

    /// Ends and releases that wait for a keeper that could not be reached, for the metrics.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.inner.unsent.borrow().len()
    }

    pub(super) fn me(&self) -> MemberRef {
        self.inner.owner.inner.ranking.me()
    }

    /// Asks the keeper of `id` until it can tell, for a bounded time.
    pub(super) async fn call_owner(&self, id: &KeyId, req: KeyRequest) -> KeyReply {
        let clock = &self.inner.owner.inner.clock;
        let until = clock.now() + self.inner.retry_timeout;
        let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LIMIT);
        loop {
            let reply = self.call_owner_once(id, req.clone()).await;
            let retry = matches!(reply, KeyReply::NotOwner | KeyReply::Unsettled);
            if !retry || clock.now() >= until {
                return reply;
            }
            clock.sleep(backoff.next_wait()).await;
        }
    }

    /// Tells the keeper once, and later again if it did not take it; whether it did.
    pub(super) async fn send_or_enqueue(&self, id: KeyId, req: KeyRequest) -> bool {
        let reply = self.call_owner_once(&id, req.clone()).await;
        let accepted = !matches!(reply, KeyReply::NotOwner | KeyReply::Unsettled);
        if !accepted {
            self.enqueue(id, req);
        }
        accepted
    }

    pub(super) fn enqueue(&self, id: KeyId, req: KeyRequest) {
        let mut unsent = self.inner.unsent.borrow_mut();
        if unsent.len() == UNSENT_LIMIT {
            unsent.pop_front();
        }
        unsent.push_back((id, req));
    }

    async fn call_owner_once(&self, id: &KeyId, req: KeyRequest) -> KeyReply {
        let inner = &self.inner.owner.inner;
        let ranked = inner.ranking.ranked(id.hash());
        let Some(first) = ranked.first() else {
            return KeyReply::Unsettled;
        };
        if *first == inner.ranking.me() {
            return self.inner.owner.handle(req).await;
        }
        let reply = inner.peers.call(&first.vm, req).await;
        reply.unwrap_or(KeyReply::Unsettled)
    }
}
