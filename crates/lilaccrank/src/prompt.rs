//! Estimates prompt lengths and digests prompt prefixes without the tokenizer of the model.

use xxhash_rust::xxh3;

/// Estimated bytes of text per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens per prefix block, the unit in which engines cache.
pub const BLOCK_TOKENS: usize = 64;
/// Maximum number of blocks of a prompt that are digested; the rest of the prompt is ignored.
pub const MAX_PREFIX_BLOCKS: usize = 256;

/// Estimates the length of a text in tokens.
#[must_use]
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns a digest for each complete block. Each covers the text from its start to the end of
/// the block, so equal digests mean equal prefixes.
#[must_use]
pub fn prefix_digests(text: &str) -> Vec<u64> {
    block_prefix_digests(text.as_bytes(), BLOCK_TOKENS * BYTES_PER_TOKEN)
}

/// Like [`prefix_digests`], for any bytes and a block size in bytes.
#[must_use]
pub fn block_prefix_digests(prompt: &[u8], block: usize) -> Vec<u64> {
    let blocks = prompt.chunks_exact(block.max(1)).take(MAX_PREFIX_BLOCKS);
    let chain = blocks.scan(0, |seed, block| {
        *seed = xxh3::xxh3_64_with_seed(block, *seed);
        Some(*seed)
    });
    chain.collect()
}
