//! The claim of a non-idempotent request in the store, by conditional create.

use bytes::Bytes;
use thiserror::Error;

use crate::clock::Clock;
use crate::request_key::budget::Budget;
use crate::request_key::key_id::KeyId;
use crate::request_key::record::{ClaimNumber, Holder};
use crate::store::{self, Expect, Store, Version, Versioned};

/// Result of a claim in the store.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Tries to create the object while neither the write nor the reading back tells.
const ATTEMPT_LIMIT: usize = 3;

/// Why the claim was not made.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Another claim is in the store, and it may have run.
    #[error("another claim is in the store")]
    Taken,
    /// The store asks for fewer calls.
    #[error("the store takes no more calls now")]
    Throttled,
    /// The store can't be asked.
    #[error("the store can't be asked")]
    Unavailable,
}

/// The create of one claim's object.
pub struct Create<'a> {
    holder: &'a Holder,
    may_be_stored: bool,
    name: String,
    stored: Option<ClaimNumber>,
}

impl<'a> Create<'a> {
    /// The object of `id` for `holder`. `stored` is the latest claim in the store whose holder
    /// said that it did not run.
    pub fn new(id: &KeyId, holder: &'a Holder, stored: Option<ClaimNumber>) -> Self {
        Self {
            holder,
            may_be_stored: false,
            name: id.object_name(),
            stored,
        }
    }

    /// Whether the object may exist, after [`run`](Self::run).
    pub fn may_be_stored(&self) -> bool {
        self.may_be_stored
    }

    /// Creates the object, or finds that it was created before.
    ///
    /// A write whose answer is lost and that can't be read back may leave an object behind.
    /// The refusal is true all the same, as the holder sends nothing then and says so in its
    /// release; the next claim learns of it as `stored` and replaces the object. If the
    /// records are lost too, the object stands for a request that may have run.
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
