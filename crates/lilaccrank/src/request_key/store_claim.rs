//! Claims a non-idempotent request in the store by a conditional create.

use bytes::Bytes;
use thiserror::Error;

use crate::clock::Clock;
use crate::request_key::budget::Budget;
use crate::request_key::key_id::KeyId;
use crate::request_key::record::{ClaimNumber, Holder};
use crate::store::{self, Expect, Store, Version, Versioned};

/// Result of a claim in the store.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum number of attempts to create the object, each a write and a read of its result.
const ATTEMPT_LIMIT: usize = 3;

/// Error of a claim in the store.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The store has another claim, whose request may have run.
    #[error("the store has another claim for this key")]
    Taken,
    /// The store throttles calls.
    #[error("the store throttles calls")]
    Throttled,
    /// The store is unavailable, or no attempt had a definite result.
    #[error("the store is unavailable")]
    Unavailable,
}

/// Creation of the object of one claim.
pub struct Create<'a> {
    holder: &'a Holder,
    may_be_stored: bool,
    name: String,
    stored: Option<ClaimNumber>,
}

impl<'a> Create<'a> {
    /// Prepares the object of `id` for `holder`. `stored` is the latest released claim whose
    /// object may exist in the store; that object may be replaced.
    pub fn new(id: &KeyId, holder: &'a Holder, stored: Option<ClaimNumber>) -> Self {
        Self {
            holder,
            may_be_stored: false,
            name: id.object_name(),
            stored,
        }
    }

    /// Returns `true` if the object may exist after [`run`](Self::run).
    pub fn may_be_stored(&self) -> bool {
        self.may_be_stored
    }

    /// Creates the object, or finds that an earlier attempt created it.
    ///
    /// A write whose reply is lost and that can't be read back may leave an object behind. The
    /// request is still refused correctly as not run: the holder sends nothing and releases the
    /// claim, and the next claim gets it as `stored` and replaces the object. If the record is
    /// lost as well, the object is taken for a request that may have run.
    ///
    /// # Errors
    ///
    /// The request must not be sent. The object may exist, see
    /// [`may_be_stored`](Self::may_be_stored).
    pub async fn run<C: Clock, S: Store>(&mut self, store: &S, budget: &Budget<C>) -> Result<()> {
        self.create(store, budget).await?;
        self.may_be_stored = true;
        Ok(())
    }

    async fn create<C: Clock, S: Store>(&mut self, store: &S, budget: &Budget<C>) -> Result<()> {
        let value = serde_json::to_vec(self.holder).map_err(|_| Error::Unavailable)?;
        let value = Bytes::from(value);
        let mut expect = Expect::Absent;
        for _ in 0..ATTEMPT_LIMIT {
            match store.put(&self.name, value.clone(), expect).await {
                Ok(_) => return Ok(()),
                Err(store::Error::Conflict { .. }) => {}
                Err(store::Error::Unknown) => self.may_be_stored = true,
                Err(store::Error::Throttled { .. }) => return Err(Error::Throttled),
                Err(_) => return Err(Error::Unavailable),
            }
            budget.force_take();
            let found = store.get(&self.name).await;
            expect = match found.map_err(|_| Error::Unavailable)? {
                None => Expect::Absent,
                Some(found) => match classify(&found, self.holder, self.stored)? {
                    Existing::Own => return Ok(()),
                    Existing::Released(version) => Expect::Version(version),
                },
            };
            budget.force_take();
        }
        Err(Error::Unavailable)
    }
}

/// An object that is in the store already and doesn't prevent the claim.
enum Existing {
    Own,
    Released(Version),
}

fn classify(found: &Versioned, holder: &Holder, stored: Option<ClaimNumber>) -> Result<Existing> {
    let Ok(known) = serde_json::from_slice::<Holder>(&found.value) else {
        return Err(Error::Taken);
    };
    if known == *holder {
        return Ok(Existing::Own);
    }
    if stored == Some(known.claim) {
        return Ok(Existing::Released(found.version));
    }
    Err(Error::Taken)
}
