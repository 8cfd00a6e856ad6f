//! Deflates bodies between daemons where that pays.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use http::header::{CONTENT_ENCODING, HeaderMap, HeaderValue};

/// Result of unpacking.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Smaller bodies gain less than a tenth.
const MIN_SIZE: usize = 1 << 10;
/// Larger bodies are whole configurations for a daemon that has just started. Deflating them
/// would hold up the requests of the daemon that answers for a tenth of a second.
const MAX_SIZE: usize = 256 << 10;

/// A body as it goes over the wire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedBody {
    /// The bytes.
    pub buf: Vec<u8>,
    /// Whether they are deflated.
    pub deflated: bool,
}

/// Deflates `buf` if it is neither too small nor too large.
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

/// Undoes [`compress`].
///
/// # Errors
///
/// If the bytes are damaged, or more comes out than is ever packed.
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

/// Says in the head that the body is deflated.
pub(crate) fn set_deflated(headers: &mut HeaderMap) {
    headers.insert(CONTENT_ENCODING, HeaderValue::from_static("deflate"));
}

/// Whether the head says that the body is deflated.
pub(crate) fn is_deflated(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_ENCODING)
}
