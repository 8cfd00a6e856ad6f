//! Buffer of one answer, which the task that reads the target writes and callers read.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event_listener::Event;
use hyper::HeaderMap;
use hyper::StatusCode;
use indexmap::IndexMap;
use lilaccrank_http::client_connection::ClientConnection;

use crate::callers::refusal::Refusal;
use crate::request::answer_memory::{AnswerMemory, Held};

/// Number of a reader at one buffer.
type ReaderId = u64;

/// Status and headers of an answer, as the caller gets them.
#[derive(Clone, Debug)]
pub struct Head {
    /// Headers without those of the target's connection.
    pub headers: HeaderMap,
    /// HTTP status.
    pub status: StatusCode,
}

/// How an answer ended.
#[derive(Clone, Debug)]
pub enum End {
    /// The answer broke off or never began, for this reason.
    Failed(Refusal),
    /// The answer is complete.
    Complete,
}

/// Times at which the chunks of an answer arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkTiming {
    /// Arrival of the first chunk.
    pub first_chunk: Option<Instant>,
    last_chunk: Option<Instant>,
    /// Longest time between two chunks.
    pub longest_pause: Duration,
    /// Number of chunks so far. In a stream each event is one chunk.
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

/// Buffer of one answer. It keeps all chunks, so that a caller that repeats its request can read
/// the answer from the start. The writer bounds its size.
#[derive(Default)]
pub struct AnswerBuffer {
    changed: Event,
    chunks: RefCell<Vec<Bytes>>,
    end: RefCell<Option<End>>,
    head: RefCell<Option<Head>>,
    held: Held,
    timing: Cell<ChunkTiming>,
    /// Connections of the readers.
    readers: RefCell<IndexMap<ReaderId, ClientConnection>>,
    next_reader: Cell<ReaderId>,
    size: Cell<usize>,
    /// When the last reader went away.
    unread_since: Cell<Option<Instant>>,
}

impl AnswerBuffer {
    /// Creates an empty buffer, which counts in `memory` while it is written or read.
    #[must_use]
    pub fn new(memory: &Rc<AnswerMemory>) -> Self {
        Self {
            held: Held::new(Rc::clone(memory)),
            ..Self::default()
        }
    }

    /// Sets the head. Later calls have no effect.
    pub fn set_head(&self, head: Head) {
        self.head.borrow_mut().get_or_insert(head);
        self.changed.notify(usize::MAX);
    }

    /// Appends a chunk.
    pub fn push(&self, chunk: Bytes) {
        self.size.set(self.size.get() + chunk.len());
        self.held.add(chunk.len());
        self.chunks.borrow_mut().push(chunk);
        let mut timing = self.timing.get();
        timing.record(Instant::now());
        self.timing.set(timing);
        self.changed.notify(usize::MAX);
    }

    /// Ends the answer. Later calls have no effect.
    pub fn finish(&self, end: End) {
        self.end.borrow_mut().get_or_insert(end);
        self.release_unused();
        self.changed.notify(usize::MAX);
    }

    /// Times at which the chunks arrived.
    #[must_use]
    pub fn timing(&self) -> ChunkTiming {
        self.timing.get()
    }

    /// How the answer ended; `None` while it is in progress.
    #[must_use]
    pub fn end(&self) -> Option<End> {
        self.end.borrow().clone()
    }

    /// Size of all chunks in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size.get()
    }

    /// Why the answer is too large to go on, if it is: by its own limit, or by that of all answers.
    #[must_use]
    pub fn excess(&self, limit: usize) -> Option<&'static str> {
        let size = self.size();
        if size > limit {
            Some("the answer is over the limit")
        } else if self.held.memory().is_short_for(size) {
            Some("all answers are over the limit together, and this one is large")
        } else {
            None
        }
    }

    /// What is complete and has no reader is bounded by the cache of answers.
    fn release_unused(&self) {
        if self.end.borrow().is_some() && self.readers.borrow().is_empty() {
            self.held.release();
        }
    }

    /// Returns `true` if the head is set. From then on, a failure can only be signalled by aborting
    /// the body.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.head.borrow().is_some()
    }

    /// Completes once the answer has no reader.
    pub async fn wait_for_no_reader(&self) {
        while !self.readers.borrow().is_empty() {
            let listener = self.changed.listen();
            if !self.readers.borrow().is_empty() {
                listener.await;
            }
        }
    }

    /// Completes once the answer has a reader.
    pub async fn wait_for_reader(&self) {
        while self.readers.borrow().is_empty() {
            let listener = self.changed.listen();
            if self.readers.borrow().is_empty() {
                listener.await;
            }
        }
    }

    /// Returns `true` if a reader's connection is open.
    #[must_use]
    pub fn has_open_reader(&self) -> bool {
        let readers = self.readers.borrow();
        readers.values().any(|client| !client.is_closed())
    }

    /// Time since which the connections of all readers are known to be closed; `None` while one is
    /// open.
    #[must_use]
    pub fn abandoned_for(&self) -> Option<Duration> {
        let readers = self.readers.borrow();
        if readers.is_empty() {
            return self.unread_since.get().map(|since| since.elapsed());
        }
        let closed = readers.values().map(ClientConnection::closed_for);
        closed.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Adds a reader, which starts at the first chunk.
    #[must_use]
    pub fn reader(self: &Rc<Self>, client: ClientConnection) -> Reader {
        let id = self.next_reader.get();
        self.next_reader.set(id + 1);
        self.readers.borrow_mut().insert(id, client);
        self.changed.notify(usize::MAX);
        Reader {
            id,
            next: 0,
            buffer: Rc::clone(self),
        }
    }
}

/// Reads an answer at the speed of its caller. It counts as a reader until it is dropped.
pub struct Reader {
    id: ReaderId,
    next: usize,
    buffer: Rc<AnswerBuffer>,
}

impl Reader {
    /// Waits for the head.
    ///
    /// # Errors
    ///
    /// The refusal, if the answer failed before its head.
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

    /// Waits for the next chunk; `None` after the last one of a complete answer.
    ///
    /// # Errors
    ///
    /// The refusal, if the answer broke off.
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
        self.buffer.readers.borrow_mut().swap_remove(&self.id);
        self.buffer.unread_since.set(Some(Instant::now()));
        self.buffer.release_unused();
        self.buffer.changed.notify(usize::MAX);
    }
}
