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
const TRIES: usize = 3;

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

/// Creates the object of `id` for `holder`, or finds that it did so before.
///
/// `released` is the latest claim whose holder said that it did not run. An object with that
/// claim stems from a write whose answer was lost, and is replaced; any other stays. So an
/// object that this function leaves behind after an error blocks nobody but is never mistaken
/// for a free key.
pub async fn create<C: Clock, S: Store>(
    store: &S,
    budget: &Budget<C>,
    id: &KeyId,
    holder: &Holder,
    released: Option<ClaimNumber>,
) -> Result<()> {
    let name = id.object_name();
    let value = Bytes::from(serde_json::to_vec(holder).map_err(|_| Error::Unavailable)?);
    let mut expect = Expect::Absent;
    for _ in 0..TRIES {
        match store.put(&name, value.clone(), expect).await {
            Ok(_) => return Ok(()),
            Err(store::Error::Conflict { .. } | store::Error::Unknown) => {}
            Err(store::Error::Throttled { .. }) => return Err(Error::Throttled),
            Err(_) => return Err(Error::Unavailable),
        }
        budget.take_in_debt();
        let found = store.get(&name).await.map_err(|_| Error::Unavailable)?;
        expect = match found {
            None => Expect::Absent,
            Some(found) => match judge(&found, holder, released)? {
                Found::Mine => return Ok(()),
                Found::Released(version) => Expect::Version(version),
            },
        };
        budget.take_in_debt();
    }
    Err(Error::Unavailable)
}

enum Found {
    Mine,
    Released(Version),
}

fn judge(found: &Versioned, holder: &Holder, released: Option<ClaimNumber>) -> Result<Found> {
    let Ok(known) = serde_json::from_slice::<Holder>(&found.value) else {
        return Err(Error::Taken);
    };
    if known == *holder {
        return Ok(Found::Mine);
    }
    if released == Some(known.claim) {
        return Ok(Found::Released(found.version));
    }
    Err(Error::Taken)
}
