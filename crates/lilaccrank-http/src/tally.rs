//! Counts the bytes and messages of an adapter, so that control traffic can be measured.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};

/// Size of the intermediate buffer for one hyper read, in bytes.
const READ_BUFFER_SIZE: usize = 8 << 10;

/// Byte and message counts for one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Transport payload bytes, including HTTP heads but not TCP, UDP or IP headers.
    pub bytes: u64,
    /// Number of messages; each message of a batch is counted.
    pub messages: u64,
}

/// Traffic counters for both directions; clones share the counts.
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
    /// Returns the totals of received traffic.
    #[must_use]
    pub fn received(&self) -> Totals {
        self.counts.received.get()
    }

    /// Returns the totals of sent traffic.
    #[must_use]
    pub fn sent(&self) -> Totals {
        self.counts.sent.get()
    }

    /// Adds to the received bytes.
    pub fn count_received_bytes(&self, bytes: usize) {
        add(&self.counts.received, bytes, 0);
    }

    /// Adds to the received messages.
    pub fn count_received_messages(&self, messages: usize) {
        add(&self.counts.received, 0, messages);
    }

    /// Adds to the sent bytes.
    pub fn count_sent_bytes(&self, bytes: usize) {
        add(&self.counts.sent, bytes, 0);
    }

    /// Adds to the sent messages.
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

/// A transport that counts its bytes.
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
        // `poll_read` takes the cursor by value, so the bytes are read into a local buffer first.
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
