//! Tells an exchange that makes progress from one that has stalled.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};

use crate::timeout;

/// Time of the last byte of a connection; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    last: Rc<Cell<Instant>>,
}

impl Progress {
    pub(crate) fn new() -> Self {
        Self {
            last: Rc::new(Cell::new(Instant::now())),
        }
    }

    fn record(&self) {
        self.last.set(Instant::now());
    }

    /// Returns what `exchange` does, or `None` if no byte came or left for `stall`, or it took longer than
    /// `total`. The time for which this process was held up does not count.
    pub(crate) async fn bound<F: Future>(
        &self,
        exchange: F,
        stall: Duration,
        total: Duration,
    ) -> Option<F::Output> {
        self.record();
        let until_stalled = self.until_stalled(stall, total);
        pin_mut!(exchange, until_stalled);
        match future::select(exchange, until_stalled).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }

    async fn until_stalled(&self, stall: Duration, total: Duration) {
        let end = Instant::now() + total;
        let due = || end.min(self.last.get() + stall);
        loop {
            let waited_until = due();
            timeout::sleep_until(waited_until, stall).await;
            if due() <= waited_until {
                return;
            }
        }
    }
}

/// A transport that records its progress.
pub(crate) struct Watched<T> {
    io: T,
    progress: Progress,
}

impl<T> Watched<T> {
    pub(crate) fn new(io: T, progress: Progress) -> Self {
        Self { io, progress }
    }
}

impl<T: AsyncReadRent> AsyncReadRent for Watched<T> {
    async fn read<B: IoBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        let read = self.io.read(buf).await;
        self.progress.record();
        read
    }

    async fn readv<B: IoVecBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        let read = self.io.readv(buf).await;
        self.progress.record();
        read
    }
}

impl<T: AsyncWriteRent> AsyncWriteRent for Watched<T> {
    async fn write<B: IoBuf>(&mut self, buf: B) -> BufResult<usize, B> {
        let written = self.io.write(buf).await;
        self.progress.record();
        written
    }

    async fn writev<B: IoVecBuf>(&mut self, buf: B) -> BufResult<usize, B> {
        let written = self.io.writev(buf).await;
        self.progress.record();
        written
    }

    async fn flush(&mut self) -> std::io::Result<()> {
        self.io.flush().await
    }

    async fn shutdown(&mut self) -> std::io::Result<()> {
        self.io.shutdown().await
    }
}
