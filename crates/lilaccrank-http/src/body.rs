//! The body type of everything that is served or sent over hyper.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use thiserror::Error;

/// Any error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// A body whose source does not matter.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;
/// The sending end of a streamed body.
pub type BodySender = Sender<Bytes, BoxError>;
/// Result of reading a body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Frames that may wait between the writer and the connection.
const CHANNEL_FRAMES: usize = 16;

/// Longest wait for a last piece to be taken by the connection.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks whether it was taken.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Why a body could not be read whole.
#[derive(Debug, Error)]
pub enum Error {
    /// The other end stopped before the end.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// It is longer than allowed.
    #[error("the body is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// A body sent frame by frame; dropping the sender ends it as whole, see [`send_and_abort`].
#[must_use]
pub fn channel() -> (BodySender, Body) {
    let (tx, body) = Channel::new(CHANNEL_FRAMES);
    (tx, body.boxed_unsync())
}

/// Sends a last piece and breaks the body visibly.
///
/// hyper closes a connection at a body's error without writing what it has buffered, and the
/// reader would miss the last piece. The connection's task takes the piece, finds nothing after
/// it and writes it in one go, so it is enough to wait until the piece was taken. A reader that
/// takes nothing for the time of the wait still sees the break.
pub async fn send_and_abort(mut tx: BodySender, last: Bytes, reason: &str) {
    if tx.send_data(last).await.is_ok() {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while tx.capacity() < tx.max_capacity() && Instant::now() < deadline {
            monoio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }
    tx.abort(reason.into());
}

/// A body of no bytes.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A whole body.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// If the body breaks off or is longer.
pub async fn read(mut body: Incoming, limit: usize) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(Error::TooLarge { limit });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
