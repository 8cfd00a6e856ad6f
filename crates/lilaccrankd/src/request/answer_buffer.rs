//! One running or ended answer: written by the task that reads the target, read by callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event_listener::Event;
use hyper::HeaderMap;
use hyper::StatusCode;

use crate::callers::refusal::Refusal;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Status for the caller.
    pub status: StatusCode,
}

/// How an answer ended.
#[derive(Clone, Debug)]
pub enum End {
    /// It broke off or never began.
    Failed(Refusal),
    /// It is whole.
    Complete,
}

/// When the parts of an answer came.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkTiming {
    /// The first part.
    pub first_chunk: Option<Instant>,
    last_chunk: Option<Instant>,
    /// Longest time between two parts.
    pub longest_pause: Duration,
    /// Parts so far; of a stream, its events.
    pub chunk_count: u32,
}

impl ChunkTiming {
    fn record(&mut self, now: Instant) {
        let since = self
            .last_chunk
            .replace(now)
            .map(|last_chunk| now - last_chunk);
        self.longest_pause = self.longest_pause.max(since.unwrap_or_default());
        self.first_chunk.get_or_insert(now);
        self.chunk_count = self.chunk_count.saturating_add(1);
    }
}

/// One answer. It keeps all its chunks, so that a caller that repeats its request reads it
/// from the start; its size is bounded by the writer.
#[derive(Default)]
pub struct AnswerBuffer {
    changed: Event,
    chunks: RefCell<Vec<Bytes>>,
    end: RefCell<Option<End>>,
    head: RefCell<Option<Head>>,
    timing: Cell<ChunkTiming>,
    readers: Cell<usize>,
    size: Cell<usize>,
}

impl AnswerBuffer {
    /// Sets the head, once.
    pub fn set_head(&self, head: Head) {
        self.head.borrow_mut().get_or_insert(head);
        self.changed.notify(usize::MAX);
    }

    /// Adds a chunk.
    pub fn push(&self, chunk: Bytes) {
        self.size.set(self.size.get() + chunk.len());
        self.chunks.borrow_mut().push(chunk);
        let mut timing = self.timing.get();
        timing.record(Instant::now());
        self.timing.set(timing);
        self.changed.notify(usize::MAX);
    }

    /// Ends the answer; the first end counts.
    pub fn finish(&self, end: End) {
        self.end.borrow_mut().get_or_insert(end);
        self.changed.notify(usize::MAX);
    }

    /// When its parts came.
    #[must_use]
    pub fn timing(&self) -> ChunkTiming {
        self.timing.get()
    }

    /// How it ended, if it has.
    #[must_use]
    pub fn end(&self) -> Option<End> {
        self.end.borrow().clone()
    }

    /// Bytes held.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size.get()
    }

    /// Whether the head is set, so that a failure can only be shown by breaking off.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.head.borrow().is_some()
    }

    /// Completes once nobody reads the answer.
    pub async fn wait_for_no_reader(&self) {
        while self.readers.get() > 0 {
            let listener = self.changed.listen();
            if self.readers.get() > 0 {
                listener.await;
            }
        }
    }

    /// Completes once somebody reads the answer.
    pub async fn wait_for_reader(&self) {
        while self.readers.get() == 0 {
            let listener = self.changed.listen();
            if self.readers.get() == 0 {
                listener.await;
            }
        }
    }

    /// A reader from the start.
    #[must_use]
    pub fn reader(self: &Rc<Self>) -> Reader {
        self.readers.set(self.readers.get() + 1);
        self.changed.notify(usize::MAX);
        Reader {
            next: 0,
            buffer: Rc::clone(self),
        }
    }
}

/// Reads an answer at its caller's pace; counted until it is dropped.
pub struct Reader {
    next: usize,
    buffer: Rc<AnswerBuffer>,
}

impl Reader {
    /// The head, or why there is none.
    ///
    /// # Errors
    ///
    /// If the answer failed before its head.
    pub async fn head(&self) -> Result<Head, Refusal> {
        loop {
            let listener = self.buffer.changed.listen();
            if let Some(head) = self.buffer.head.borrow().clone() {
                return Ok(head);
            }
            if let Some(End::Failed(refusal)) = self.buffer.end() {
                return Err(refusal);
            }
            listener.await;
        }
    }

    /// The next chunk, `None` at a whole end.
    ///
    /// # Errors
    ///
    /// If the answer broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            let listener = self.buffer.changed.listen();
            if let Some(chunk) = self.buffer.chunks.borrow().get(self.next) {
                self.next += 1;
                return Ok(Some(chunk.clone()));
            }
            match self.buffer.end() {
                Some(End::Failed(refusal)) => return Err(refusal),
                Some(End::Complete) => return Ok(None),
                None => listener.await,
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.buffer.readers.set(self.buffer.readers.get() - 1);
        self.buffer.changed.notify(usize::MAX);
    }
}
