//! Digests that stand for a request key and for a body.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes kept of each SHA-256: 128 bits leave no chance to a forged second preimage, and a
/// record stays small.
const DIGEST_SIZE: usize = 16;

/// The scope of a request key: customer and key, as a digest of fixed size.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyId([u8; DIGEST_SIZE]);

/// Digest of a request body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct BodyDigest([u8; DIGEST_SIZE]);

impl KeyId {
    /// The id of `key` as used by `customer`.
    #[must_use]
    pub fn new(customer: &str, key: &str) -> Self {
        let mut hasher = Sha256::new();
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        hasher.update(customer.len().to_le_bytes());
        hasher.update(customer);
        hasher.update(key);
        Self(truncated(hasher))
    }

    /// Hash that the members are ranked for.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first
            .iter()
            .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
    }

    /// Name of the object that claims a non-idempotent request in the store.
    #[must_use]
    pub fn object_name(&self) -> String {
        format!("request-key/{}", hex::encode(self.0))
    }
}

impl BodyDigest {
    /// Digest of `body`.
    #[must_use]
    pub fn new(body: &[u8]) -> Self {
        Self(truncated(Sha256::new_with_prefix(body)))
    }

    /// Digest of a request that has more parts than its body, such as a path.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // The length keeps ("ab", "c") and ("a", "bc") apart.
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
