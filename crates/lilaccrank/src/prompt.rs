//! Lengths and prefixes of prompts, estimated without the model's tokenizer.

use xxhash_rust::xxh3;

/// Bytes of text taken as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block of a prefix, the unit in which engines cache.
pub const BLOCK_TOKENS: usize = 64;
/// Most blocks of a prompt that are digested; longer prefixes count as far as this.
pub const BLOCK_LIMIT: usize = 256;

/// Estimated length of a text in tokens.
#[must_use]
pub fn tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Digest of each whole block's prefix: equal digests mean equal text up to the block's end.
#[must_use]
pub fn prefix_digests(text: &str) -> Vec<u64> {
    let mut digest = 0;
    text.as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN)
        .take(BLOCK_LIMIT)
        .map(|block| {
            digest = xxh3::xxh3_64_with_seed(block, digest);
            digest
        })
        .collect()
}
