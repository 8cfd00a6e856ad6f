//! The interface to the platform's object store, with versions, conditional writes and watches.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::store_revision::StoreRevision;

/// Version of an object: the store's revision at its last write.
pub type Version = StoreRevision;
/// Result of a store call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum size of a value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Reason for which a store call failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The condition did not hold; the write had no effect.
    #[error("the object is at version {current:?}, not at the expected one")]
    Conflict {
        /// Current version, `None` if the object does not exist.
        current: Option<Version>,
    },
    /// The store rejected the call to limit its load; the call had no effect.
    #[error("the store takes no more calls now, try again in {retry_after:?}")]
    Throttled {
        /// Time after which the call may be repeated.
        retry_after: Duration,
    },
    /// The value is larger than [`VALUE_LIMIT`].
    #[error("a value of {size} bytes is over the store's limit of {VALUE_LIMIT}")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
    },
    /// The store could not be reached; the call had no effect.
    #[error("the store can't be reached")]
    Unavailable,
    /// The store did not answer; a write may have taken effect.
    #[error("the store did not answer, a write may have taken effect")]
    Unknown,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// No precondition.
    Any,
    /// The object is at this version.
    Version(Version),
}

/// A value and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// Content of the object.
    pub value: Bytes,
    /// Version of the object.
    pub version: Version,
}

/// Client of the platform's object store.
pub trait Store: Clone + 'static {
    /// Reads an object; returns `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>>>;

    /// Writes an object if `expect` holds and returns its new version.
    fn put(&self, key: &str, value: Bytes, expect: Expect)
    -> impl Future<Output = Result<Version>>;

    /// Deletes an object if `expect` holds.
    fn delete(&self, key: &str, expect: Expect) -> impl Future<Output = Result<()>>;

    /// Waits for at most `wait` until the version of the object differs from `seen`, and returns
    /// the current object; `None` if it does not exist.
    fn watch(
        &self,
        key: &str,
        seen: Option<Version>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>>>;
}
