//! Counts what passes through an adapter, so that the cost of control can be told from outside.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};

/// Room for one counted read of hyper's.
const READ_BUFFER_SIZE: usize = 8 << 10;

/// Bytes and messages in one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Bytes of the transport's payload, heads of HTTP included, TCP, UDP and IP not.
    pub bytes: u64,
    /// Messages; a batch counts each of its messages.
    pub messages: u64,
}

/// Counts both directions; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: Rc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    received: Cell<Totals>,
    sent: Cell<Totals>,
}

impl Tally {
    /// What came in.
    #[must_use]
    pub fn received(&self) -> Totals {
        self.counts.received.get()
    }

    /// What went out.
    #[must_use]
    pub fn sent(&self) -> Totals {
        self.counts.sent.get()
    }

    /// Counts bytes in.
    pub fn count_received_bytes(&self, bytes: usize) {
        add(&self.counts.received, bytes, 0);
    }

    /// Counts messages in.
    pub fn count_received_messages(&self, messages: usize) {
        add(&self.counts.received, 0, messages);
    }

    /// Counts bytes out.
    pub fn count_sent_bytes(&self, bytes: usize) {
        add(&self.counts.sent, bytes, 0);
    }

    /// Counts messages out.
    pub fn count_sent_messages(&self, messages: usize) {
        add(&self.counts.sent, 0, messages);
    }
}

fn add(count: &Cell<Totals>, bytes: usize, messages: usize) {
    let before = count.get();
    count.set(Totals {
        bytes: before.bytes + bytes as u64,
        messages: before.messages + messages as u64,
    });
}

/// A transport whose bytes are counted.
pub(crate) struct Counted<T> {
    io: T,
    tally: Tally,
}

impl<T> Counted<T> {
    pub(crate) fn new(io: T, tally: Tally) -> Self {
        Self { io, tally }
    }
}

impl<T: AsyncReadRent> AsyncReadRent for Counted<T> {
    async fn read<B: IoBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        let (read, buf) = self.io.read(buf).await;
        self.tally
            .count_received_bytes(*read.as_ref().unwrap_or(&0));
        (read, buf)
    }

    async fn readv<B: IoVecBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        let (read, buf) = self.io.readv(buf).await;
        self.tally
            .count_received_bytes(*read.as_ref().unwrap_or(&0));
        (read, buf)
    }
}

impl<T: AsyncWriteRent> AsyncWriteRent for Counted<T> {
    async fn write<B: IoBuf>(&mut self, buf: B) -> BufResult<usize, B> {
        let (written, buf) = self.io.write(buf).await;
        self.tally.count_sent_bytes(*written.as_ref().unwrap_or(&0));
        (written, buf)
    }

    async fn writev<B: IoVecBuf>(&mut self, buf: B) -> BufResult<usize, B> {
        let (written, buf) = self.io.writev(buf).await;
        self.tally.count_sent_bytes(*written.as_ref().unwrap_or(&0));
        (written, buf)
    }

    async fn flush(&mut self) -> std::io::Result<()> {
        self.io.flush().await
    }

    async fn shutdown(&mut self) -> std::io::Result<()> {
        self.io.shutdown().await
    }
}

impl<T: Read + Unpin> Read for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        // The cursor lends itself only by value, so the bytes pass through a buffer of our own.
        let mut buffer = [0; READ_BUFFER_SIZE];
        let capacity = buf.remaining().min(READ_BUFFER_SIZE);
        let mut read_buf = hyper::rt::ReadBuf::new(&mut buffer[..capacity]);
        let polled = Pin::new(&mut self.io).poll_read(cx, read_buf.unfilled());
        if let Poll::Ready(Ok(())) = polled {
            self.tally.count_received_bytes(read_buf.filled().len());
            buf.put_slice(read_buf.filled());
        }
        polled
    }
}

impl<T: Write + Unpin> Write for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            self.tally.count_sent_bytes(written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
