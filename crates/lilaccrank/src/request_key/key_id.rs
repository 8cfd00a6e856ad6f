//! Digests of request keys and request bodies.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of the truncated SHA-256 digests in bytes. 128 bits still resist second-preimage
/// attacks, and keep a record small.
const DIGEST_SIZE: usize = 16;

/// Identifies a request key of a customer, as a digest of both.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyId([u8; DIGEST_SIZE]);

/// Digest of a request body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct BodyDigest([u8; DIGEST_SIZE]);

impl KeyId {
    /// Returns the id of `key` of `customer`.
    #[must_use]
    pub fn new(customer: &str, key: &str) -> Self {
        let mut hasher = Sha256::new();
        // Without the length, ("ab", "c") and ("a", "bc") would have the same digest.
        hasher.update(customer.len().to_le_bytes());
        hasher.update(customer);
        hasher.update(key);
        Self(truncated(hasher))
    }

    /// Hash by which the members are ranked for this key.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first
            .iter()
            .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
    }

    /// Name of the store object that claims a non-idempotent request.
    #[must_use]
    pub fn object_name(&self) -> String {
        format!("request-key/{}", hex::encode(self.0))
    }
}

impl BodyDigest {
    /// Returns the digest of `body`.
    #[must_use]
    pub fn new(body: &[u8]) -> Self {
        Self(truncated(Sha256::new_with_prefix(body)))
    }

    /// Returns the digest of a request that is identified by several parts, such as path and body.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // Without the length, ("ab", "c") and ("a", "bc") would have the same digest.
            hasher.update(part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(truncated(hasher))
    }
}

fn truncated(hasher: Sha256) -> [u8; DIGEST_SIZE] {
    let mut digest = [0; DIGEST_SIZE];
    digest.copy_from_slice(&hasher.finalize()[..DIGEST_SIZE]);
    digest
}
