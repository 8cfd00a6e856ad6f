//! Deflates bodies between daemons where that pays.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use http::header::{CONTENT_ENCODING, HeaderMap, HeaderValue};

/// Result of unpacking.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Smaller bodies gain less than a tenth.
const WORTH_IT: usize = 1 << 10;
/// Larger bodies are whole configurations for a daemon that has just started. Deflating them
/// would hold up the requests of the daemon that answers for a tenth of a second.
const TOO_MUCH: usize = 256 << 10;

/// A body as it goes over the wire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packed {
    /// The bytes.
    pub buf: Vec<u8>,
    /// Whether they are deflated.
    pub deflated: bool,
}

/// Deflates `buf` if it is neither too small nor too large.
#[must_use]
pub fn pack(buf: Vec<u8>) -> Packed {
    if !(WORTH_IT..=TOO_MUCH).contains(&buf.len()) {
        return Packed {
            buf,
            deflated: false,
        };
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(&buf).and_then(|()| encoder.finish());
    match packed {
        Ok(packed) if packed.len() < buf.len() => Packed {
            buf: packed,
            deflated: true,
        },
        _ => Packed {
            buf,
            deflated: false,
        },
    }
}

/// Undoes [`pack`].
///
/// # Errors
///
/// If the bytes are damaged, or more comes out than is ever packed.
pub fn unpack(packed: Packed) -> Result<Vec<u8>> {
    if !packed.deflated {
        return Ok(packed.buf);
    }
    let mut buf = Vec::new();
    let mut decoder = ZlibDecoder::new(&packed.buf[..]).take(TOO_MUCH as u64 + 1);
    decoder.read_to_end(&mut buf)?;
    if buf.len() > TOO_MUCH {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(buf)
}

/// Says in the head that the body is deflated.
pub(crate) fn mark(headers: &mut HeaderMap) {
    headers.insert(CONTENT_ENCODING, HeaderValue::from_static("deflate"));
}

/// Whether the head says that the body is deflated.
pub(crate) fn is_marked(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_ENCODING)
}
