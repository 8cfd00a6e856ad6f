//! Claims request keys on behalf of the entry daemon of a request.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;

use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::error_kind::{ErrorKind, Executed};
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

/// Longest wait between two calls to the owner.
const RETRY_LIMIT: Duration = Duration::from_millis(200);
/// First wait between two calls to the owner.
const RETRY_FIRST: Duration = Duration::from_millis(10);
/// Maximum number of messages queued for unreachable owners. Beyond it the oldest is dropped,
/// and its key is reported as in progress until this daemon leaves.
const UNSENT_LIMIT: usize = 10_000;
/// Maximum number of objects that one sweep deletes from the store.
const SWEEP_LIMIT: usize = 64;

/// Error of a claim or of its mark. This daemon has sent nothing to a target.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A request with this key was dispatched before, or is being dispatched by another daemon.
    #[error("a request with this key was run before")]
    AlreadyRun {
        /// How the request failed, if known.
        failed: Option<ErrorKind>,
    },
    /// The record table of the owner or of its backup is full.
    #[error("no room for another request key")]
    Full,
    /// The key was used before with a different body.
    #[error("the request key was used for another body")]
    KeyReused,
    /// The rate limit of calls to the store is exceeded, or the store throttles them.
    #[error("too many non-idempotent requests")]
    RateLimited,
    /// The store is unavailable.
    #[error("the store can't be asked")]
    StoreUnavailable,
    /// The owner or its backup could not be reached, or the owner hasn't fetched all records yet.
    #[error("the keeper of the request key can't tell yet")]
    Unsettled,
}

impl Error {
    /// Kind of the error in the answer to the caller.
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

    /// Says if the request may have been sent to a target.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.kind().response().executed
    }
}

/// Parameters of a claim.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Digest of the request.
    pub body: BodyDigest,
    /// Customer whose key it is; equal keys of different customers are unrelated.
    pub customer: CustomerId,
    /// If `false`, the request must not run more than once.
    pub idempotent: bool,
    /// Key that the caller chose.
    pub key: RequestKey,
}

/// Successful result of a claim.
#[must_use]
pub enum Access<C, P, R, S>
where
    C: Clock,
    P: Peers<KeyRequest, KeyReply>,
    R: Ranking,
    S: Store,
{
    /// This daemon holds the claim and may mark it.
    Granted(Claim<Claimed, C, P, R, S>),
    /// The request has ended and `entry` caches its complete answer.
    Held {
        /// The entry daemon.
        entry: MemberRef,
    },
    /// The request is in progress at `entry`, whose answer the caller can attach to.
    Running {
        /// The entry daemon.
        entry: MemberRef,
    },
}

/// Claims keys for the requests of one entry daemon. Clones share its state.
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
    /// Creates the claims of a daemon, whose own key owner is `owner`. Calls to the owner of a
    /// key are retried for `retry_timeout` while it can't be reached or isn't settled.
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

    /// Claims the key of `request`, or returns the entry that has its answer.
    ///
    /// # Errors
    ///
    /// Any error but [`Error::RateLimited`] and [`Error::StoreUnavailable`].
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

    /// Sends the queued messages, and deletes expired objects from the store as far as its budget
    /// allows.
    pub async fn sweep(&self) {
        for _ in 0..self.unsent() {
            let next = self.inner.unsent.borrow_mut().pop_front();
            let Some((id, req)) = next else { break };
            // A call to an unreachable owner takes its full timeout. The message goes back to the
            // end of the queue and the loop stops, so that a long queue for one owner doesn't delay
            // the messages to all others.
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

    /// Calls [`sweep`](Self::sweep) forever, at intervals of `every`.
    pub async fn sweep_every(&self, every: Duration) {
        loop {
            self.inner.owner.inner.clock.sleep(every).await;
            self.sweep().await;
        }
    }

    /// Number of queued messages (ends and releases) that no owner has accepted yet.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.inner.unsent.borrow().len()
    }

    pub(super) fn me(&self) -> MemberRef {
        self.inner.owner.inner.ranking.me()
    }

    /// Calls the owner of `id`. Retries while it can't be reached or isn't settled, for at most
    /// `retry_timeout`.
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

    /// Sends `req` to the owner of `id` once, and queues it if the owner didn't accept it. Returns
    /// `true` if it did.
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
