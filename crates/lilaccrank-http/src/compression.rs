//! Compresses bodies sent between daemons when the size makes it worthwhile.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use http::header::{CONTENT_ENCODING, HeaderMap, HeaderValue};

/// Result of decompressing.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Minimum body size to compress, in bytes; smaller bodies shrink by less than 10%.
const MIN_SIZE: usize = 1 << 10;
/// Maximum body size to compress, in bytes. Larger bodies are full configurations for a daemon that
/// has just started; compressing one would block the sender's requests for 100 ms.
const MAX_SIZE: usize = 256 << 10;

/// A body as sent over the wire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedBody {
    /// Bytes of the body, compressed if `deflated` is set.
    pub buf: Vec<u8>,
    /// `true` if `buf` is zlib-compressed.
    pub deflated: bool,
}

/// Compresses `buf` if its size is within the limits and the result is smaller.
#[must_use]
pub fn compress(buf: Vec<u8>) -> EncodedBody {
    if !(MIN_SIZE..=MAX_SIZE).contains(&buf.len()) {
        return EncodedBody {
            buf,
            deflated: false,
        };
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let encoded = encoder.write_all(&buf).and_then(|()| encoder.finish());
    match encoded {
        Ok(encoded) if encoded.len() < buf.len() => EncodedBody {
            buf: encoded,
            deflated: true,
        },
        _ => EncodedBody {
            buf,
            deflated: false,
        },
    }
}

/// Returns the original bytes of a body encoded by [`compress`].
///
/// # Errors
///
/// Returns an error if the bytes are corrupt or decompress to more than [`compress`] accepts.
pub fn decompress(encoded: EncodedBody) -> Result<Vec<u8>> {
    if !encoded.deflated {
        return Ok(encoded.buf);
    }
    let mut buf = Vec::new();
    let mut decoder = ZlibDecoder::new(&encoded.buf[..]).take(MAX_SIZE as u64 + 1);
    decoder.read_to_end(&mut buf)?;
    if buf.len() > MAX_SIZE {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(buf)
}

/// Sets `Content-Encoding: deflate`.
pub(crate) fn set_deflated(headers: &mut HeaderMap) {
    headers.insert(CONTENT_ENCODING, HeaderValue::from_static("deflate"));
}

/// Returns `true` if a `Content-Encoding` header is present.
pub(crate) fn is_deflated(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_ENCODING)
}
