//! Lengths and prefixes of prompts, estimated without the model's tokenizer.

use xxhash_rust::xxh3;

/// Bytes of text taken as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block of a prefix, the unit in which engines cache.
pub const BLOCK_TOKENS: usize = 64;
/// Most blocks of a prompt that are digested; longer prefixes count as far as this.
pub const MAX_BLOCKS: usize = 256;

/// Estimated length of a text in tokens.
#[must_use]
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Digest of each whole block's prefix: equal digests mean equal text up to the block's end.
#[must_use]
pub fn prefix_digests(text: &str) -> Vec<u64> {
    block_prefix_digests(text.as_bytes(), BLOCK_TOKENS * BYTES_PER_TOKEN)
}

/// The same for any bytes and any block size in bytes.
#[must_use]
pub fn block_prefix_digests(prompt: &[u8], block: usize) -> Vec<u64> {
    let blocks = prompt.chunks_exact(block.max(1)).take(MAX_BLOCKS);
    let chain = blocks.scan(0, |seed, block| {
        *seed = xxh3::xxh3_64_with_seed(block, *seed);
        Some(*seed)
    });
    chain.collect()
}
