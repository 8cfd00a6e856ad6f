//! Buffer of one answer, which the task that reads the target writes and callers read.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
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

/// Bytes by which a target may be read ahead of the slowest reader. It covers the pauses of a reader that
/// keeps up, and is small enough for as many answers as a daemon takes requests.
pub const READ_AHEAD: usize = 64 << 10;

/// Bytes that a chunk takes besides its own.
const CHUNK_OVERHEAD: usize = 64;

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

/// Buffer of one answer. It holds what readers have yet to read and, for a request that may be repeated,
/// the answer from its start.
#[derive(Default)]
pub struct AnswerBuffer {
    changed: Event,
    chunks: RefCell<VecDeque<Bytes>>,
    end: RefCell<Option<End>>,
    /// Number of chunks that were freed.
    freed: Cell<usize>,
    head: RefCell<Option<Head>>,
    held: Held,
    /// Up to which size the start is kept for repeats; `None` if what has been read is freed.
    kept_for_repeats: Cell<Option<usize>>,
    next_reader: Cell<ReaderId>,
    /// Notified when readers have read, come or gone.
    read: Event,
    readers: RefCell<IndexMap<ReaderId, ReaderState>>,
    size: Cell<usize>,
    timing: Cell<ChunkTiming>,
    /// When the last reader went away.
    unread_since: Cell<Option<Instant>>,
    /// Cost of all chunks, including those that were freed.
    written: Cell<u64>,
}

/// A reader's connection and how far it has read.
struct ReaderState {
    client: ClientConnection,
    /// Number of chunks that it has read, and their cost.
    chunks: usize,
    cost: u64,
}

/// Bytes that a chunk takes.
fn cost(chunk: &Bytes) -> u64 {
    (chunk.len() + CHUNK_OVERHEAD) as u64
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

    /// Keeps the answer from its start, so that a caller that repeats its request can read it, until it
    /// has more than `limit` bytes or the memory of all answers is short.
    pub fn keep_for_repeats(&self, limit: usize) {
        self.kept_for_repeats.set(Some(limit));
    }

    /// Sets the head. Later calls have no effect.
    pub fn set_head(&self, head: Head) {
        self.head.borrow_mut().get_or_insert(head);
        self.changed.notify(usize::MAX);
    }

    /// Appends a chunk.
    pub fn push(&self, chunk: Bytes) {
        self.push_pieces([chunk]);
    }

    /// Appends a chunk that comes in pieces.
    pub fn push_pieces(&self, pieces: impl IntoIterator<Item = Bytes>) {
        for piece in pieces {
            self.size.set(self.size.get() + piece.len());
            self.written.set(self.written.get() + cost(&piece));
            self.held.add(piece.len());
            self.chunks.borrow_mut().push_back(piece);
        }
        let mut timing = self.timing.get();
        timing.record(Instant::now());
        self.timing.set(timing);
        self.give_up_start_if_large();
        self.changed.notify(usize::MAX);
    }

    /// Stops to keep the start for repeats if that takes too much and the answer has readers, which get
    /// the rest of it. Without a reader, the target waits for one.
    fn give_up_start_if_large(&self) {
        let Some(limit) = self.kept_for_repeats.get() else {
            return;
        };
        let is_large = self.size() > limit || self.held.memory().is_short();
        if is_large && !self.readers.borrow().is_empty() {
            self.kept_for_repeats.set(None);
            self.free_read();
        }
    }

    /// Frees what all readers have read, unless it is kept for repeats.
    fn free_read(&self) {
        let readers = self.readers.borrow();
        let read = readers.values().map(|reader| reader.chunks).min();
        let Some(read) = read.filter(|_| self.kept_for_repeats.get().is_none()) else {
            return;
        };
        let mut chunks = self.chunks.borrow_mut();
        while self.freed.get() < read
            && let Some(chunk) = chunks.pop_front()
        {
            self.freed.set(self.freed.get() + 1);
            self.size.set(self.size.get() - chunk.len());
            self.held.remove(chunk.len());
        }
    }

    /// Waits until the readers need more of the answer. The target is not read meanwhile, which slows it
    /// down to the pace of the slowest reader.
    pub async fn wait_until_wanted(&self) {
        while !self.is_wanted() {
            let listener = self.read.listen();
            if !self.is_wanted() {
                listener.await;
            }
        }
    }

    /// Like [`Self::wait_until_wanted`], for `limit` at most. Returns whether more is needed.
    pub async fn is_wanted_within(&self, limit: Duration) -> bool {
        let waited = monoio::time::timeout(limit, self.wait_until_wanted()).await;
        waited.is_ok()
    }

    /// Returns `true` if the readers need more of the answer.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        let is_short = self.held.memory().is_short();
        let readers = self.readers.borrow();
        match readers.values().map(|reader| reader.cost).min() {
            Some(read) => {
                let read_ahead = if is_short { 0 } else { READ_AHEAD };
                self.written.get() - read <= read_ahead as u64
            }
            // A repeat may come for an answer that is kept for it.
            None => {
                let limit = self.kept_for_repeats.get();
                limit.is_none_or(|limit| self.size() <= limit && !is_short)
            }
        }
    }

    /// Memory for a part of the answer that is held back.
    #[must_use]
    pub fn hold_back(&self) -> Held {
        Held::new(Rc::clone(self.held.memory()))
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

    /// Size of the chunks that are held, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size.get()
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
        readers.values().any(|reader| !reader.client.is_closed())
    }

    /// Time since which the connections of all readers are known to be closed; `None` while one is
    /// open.
    #[must_use]
    pub fn abandoned_for(&self) -> Option<Duration> {
        let readers = self.readers.borrow();
        if readers.is_empty() {
            return self.unread_since.get().map(|since| since.elapsed());
        }
        let closed = readers.values().map(|reader| reader.client.closed_for());
        closed.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Adds a reader, which starts at the first chunk. There must be no earlier one that may have read, see
    /// [`Self::repeat_reader`].
    #[must_use]
    pub fn reader(self: &Rc<Self>, client: ClientConnection) -> Reader {
        let id = self.next_reader.get();
        self.next_reader.set(id + 1);
        let state = ReaderState {
            client,
            chunks: 0,
            cost: 0,
        };
        self.readers.borrow_mut().insert(id, state);
        self.changed.notify(usize::MAX);
        self.read.notify(usize::MAX);
        Reader {
            id,
            buffer: Rc::clone(self),
            in_delivery: None,
        }
    }

    /// Adds a reader for a repeat of the request; `None` if the start of the answer is no longer held.
    #[must_use]
    pub fn repeat_reader(self: &Rc<Self>, client: ClientConnection) -> Option<Reader> {
        (self.freed.get() == 0).then(|| self.reader(client))
    }

    /// Returns the chunk of this number, counted from the start of the answer.
    fn chunk(&self, number: usize) -> Option<Bytes> {
        let index = number.checked_sub(self.freed.get())?;
        self.chunks.borrow().get(index).cloned()
    }

    fn record_read(&self, reader: ReaderId, cost: u64) {
        if let Some(state) = self.readers.borrow_mut().get_mut(&reader) {
            state.chunks += 1;
            state.cost += cost;
        }
        self.free_read();
        self.read.notify(usize::MAX);
    }

    fn chunks_read(&self, reader: ReaderId) -> usize {
        let readers = self.readers.borrow();
        readers.get(&reader).map_or(0, |state| state.chunks)
    }
}

/// Reads an answer at the speed of its caller. It counts as a reader until it is dropped.
pub struct Reader {
    id: ReaderId,
    buffer: Rc<AnswerBuffer>,
    /// Cost of the chunk that was returned last. It counts as read once the next one is asked for.
    in_delivery: Option<u64>,
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
        if let Some(cost) = self.in_delivery.take() {
            self.buffer.record_read(self.id, cost);
        }
        let next = self.buffer.chunks_read(self.id);
        loop {
            let listener = self.buffer.changed.listen();
            if let Some(chunk) = self.buffer.chunk(next) {
                self.in_delivery = Some(cost(&chunk));
                return Ok(Some(chunk));
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
        self.buffer.free_read();
        self.buffer.release_unused();
        self.buffer.changed.notify(usize::MAX);
        self.buffer.read.notify(usize::MAX);
    }
}
