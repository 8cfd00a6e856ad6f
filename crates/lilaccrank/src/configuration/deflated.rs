//! Contents of sections as daemons send them to each other: deflated, each on its own.
//!
//! A section is deflated once and kept so, as a daemon sends the same change to many others.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use indexmap::IndexMap;

use super::sections::{Contents, Digest};
use crate::steps::{self, AtOnce, Pace};
use crate::store::VALUE_LIMIT;

/// Most bytes that one answer may inflate to: a few bytes can stand for megabytes.
pub const TOTAL_LIMIT: usize = 32 << 20;

/// Deflated contents of sections.
pub type Deflated = IndexMap<Digest, Bytes>;

/// Deflates the content of a section; `None` if that fails.
#[must_use]
pub fn deflate(content: &str) -> Option<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content.as_bytes()).ok()?;
    Some(encoder.finish().ok()?.into())
}

/// Returns the contents of those sections of `deflated` that `is_wanted` names and that can be read, up to
/// [`TOTAL_LIMIT`] in all.
#[must_use]
pub fn inflate(deflated: &Deflated, is_wanted: impl Fn(&Digest) -> bool) -> Contents {
    steps::at_once(inflate_in_steps(deflated, is_wanted, &AtOnce))
}

/// Like [`inflate`], with pauses.
pub async fn inflate_in_steps(
    deflated: &Deflated,
    is_wanted: impl Fn(&Digest) -> bool,
    pace: &impl Pace,
) -> Contents {
    let mut contents = Contents::new();
    let mut left = TOTAL_LIMIT;
    for (digest, bytes) in deflated.iter().filter(|(digest, _)| is_wanted(digest)) {
        let limit = left.min(VALUE_LIMIT);
        if let Some(content) = inflate_one(bytes, limit) {
            let size = content.len();
            left -= size;
            contents.insert(digest.clone(), content.into());
            pace.handled(size).await;
        }
    }
    contents
}

fn inflate_one(bytes: &[u8], limit: usize) -> Option<String> {
    let mut content = String::new();
    let mut decoder = ZlibDecoder::new(bytes).take(limit as u64 + 1);
    decoder.read_to_string(&mut content).ok()?;
    (content.len() <= limit).then_some(content)
}
