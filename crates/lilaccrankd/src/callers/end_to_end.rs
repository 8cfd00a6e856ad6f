//! Headers that pass from one end to the other, through this daemon.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers of one connection, not of the message.
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

/// The headers of a message without those of its connection, which `Connection` may name too.
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
