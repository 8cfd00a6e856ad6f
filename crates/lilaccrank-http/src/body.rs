//! Defines the body type of requests and responses sent over hyper.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::channel::oneshot;
use futures::future;
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::runtime;
use crate::timeout;

/// Any error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// A boxed body, independent of its source.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;
/// The sending end of a streamed body.
pub type BodySender = Sender<Bytes, BoxError>;
/// Result of reading a body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Capacity, in frames, of the channel between a writer and the connection. Frames are of any size, so more
/// than one would be memory that no writer counts.
const CHANNEL_FRAMES: usize = 1;

/// Maximum time to wait until the connection takes the last chunk.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks that the chunk was taken.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Reasons why a body could not be read completely.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed before the end of the body.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// Nothing came for too long, or the whole body took too long.
    #[error(
        "the body stopped after {received} bytes: nothing for {stall:?}, or not whole in {total:?}"
    )]
    Stalled {
        /// Bytes that came.
        received: usize,
        /// Maximum time without data.
        stall: Duration,
        /// Maximum time for the whole body.
        total: Duration,
    },
    /// There is no memory for the body.
    #[error("there is no memory for the body")]
    NoMemory,
    /// The body exceeds the size limit.
    #[error("the body is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// Creates a body that `write` sends frame by frame.
///
/// Dropping the sender ends the body normally; [`send_and_abort`] ends it with an error. The writer is
/// dropped along with the body, so it never outlives the connection while it waits for something to
/// send.
#[must_use]
pub fn streamed<F>(write: impl FnOnce(BodySender) -> F) -> Body
where
    F: Future<Output = ()> + 'static,
{
    let (tx, channel) = Channel::new(CHANNEL_FRAMES);
    let (open, dropped) = oneshot::channel();
    let writing = Box::pin(write(tx));
    runtime::spawn(async move {
        future::select(writing, dropped).await;
    });
    let body = Streamed {
        channel,
        _open: open,
    };
    body.boxed_unsync()
}

/// A body whose writer ends along with it.
struct Streamed {
    channel: Channel<Bytes, BoxError>,
    _open: oneshot::Sender<()>,
}

impl hyper::body::Body for Streamed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.channel).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.channel.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.channel.size_hint()
    }
}

/// Sends a last chunk, then ends the body with an error that the reader can detect.
///
/// On a body error hyper closes the connection without writing its buffer, so the reader would
/// miss the last chunk. The connection's task writes the chunk in the same poll that takes it from
/// the channel, so waiting until it was taken is enough. If the reader accepts nothing within the
/// timeout, the body is aborted anyway.
pub async fn send_and_abort(mut tx: BodySender, last: Bytes, reason: &str) {
    if tx.send_data(last).await.is_ok() {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while tx.capacity() < tx.max_capacity() && Instant::now() < deadline {
            monoio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }
    tx.abort(reason.into());
}

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that consists of `bytes`.
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
/// Returns an error if the connection fails before the end or the body exceeds `limit`.
pub async fn read(body: Incoming, limit: usize) -> Result<Bytes> {
    read_within(body, limit, |_| true, |_| {}).await
}

/// Like [`read`], if there is memory for the body. `take` is asked for the length that the sender
/// announces, and for each piece beyond it, and tells whether there is memory for so many bytes. `on_data` is
/// called with the length of each piece.
///
/// # Errors
///
/// Also [`Error::NoMemory`]. The rest of the body is read first, without being held: a sender that is
/// cut off while it writes may not read the response.
pub async fn read_within(
    mut body: Incoming,
    limit: usize,
    mut take: impl FnMut(usize) -> bool,
    mut on_data: impl FnMut(usize),
) -> Result<Bytes> {
    let announced = hyper::body::Body::size_hint(&body).exact().unwrap_or(0);
    let mut taken = usize::try_from(announced).map_or(limit, |announced| announced.min(limit));
    let mut has_memory = take(taken);
    let mut buf = BytesMut::with_capacity(if has_memory { taken } else { 0 });
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        on_data(data.len());
        size += data.len();
        if size > limit {
            return Err(Error::TooLarge { limit });
        }
        if has_memory && size > taken {
            has_memory = take(size - taken);
            taken = size;
        }
        match has_memory {
            true => buf.extend_from_slice(&data),
            false => buf = BytesMut::new(),
        }
    }
    match has_memory {
        true => Ok(buf.freeze()),
        false => Err(Error::NoMemory),
    }
}

/// Like [`read`], but gives up when nothing comes for `stall`, or when the body is not whole after `total`.
///
/// # Errors
///
/// Those of [`read`], and [`Error::Stalled`].
pub async fn read_while_it_comes(
    mut body: Incoming,
    limit: usize,
    stall: Duration,
    total: Duration,
) -> Result<Bytes> {
    let until = Instant::now() + total;
    let mut buf = BytesMut::new();
    loop {
        let wait = stall.min(until.saturating_duration_since(Instant::now()));
        let received = buf.len();
        let frame = timeout::timeout(wait, body.frame()).await;
        let frame = frame.map_err(|_| Error::Stalled {
            received,
            stall,
            total,
        })?;
        let Some(frame) = frame else {
            return Ok(buf.freeze());
        };
        append(&mut buf, frame?, limit)?;
    }
}

fn append(buf: &mut BytesMut, frame: Frame<Bytes>, limit: usize) -> Result<()> {
    let Ok(data) = frame.into_data() else {
        return Ok(());
    };
    if buf.len() + data.len() > limit {
        return Err(Error::TooLarge { limit });
    }
    buf.extend_from_slice(&data);
    Ok(())
}
