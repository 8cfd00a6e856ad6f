//! End-to-end headers, which a proxy passes on.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Returns the headers of a message without its hop-by-hop headers, including those that
/// `Connection` names.
#[must_use]
pub fn headers(all: &HeaderMap) -> HeaderMap {
    let mut kept = all.clone();
    let values = all.get_all(CONNECTION).iter();
    let named = values.filter_map(|value| value.to_str().ok());
    for name in named.flat_map(|value| value.split(',')) {
        kept.remove(name.trim());
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}
