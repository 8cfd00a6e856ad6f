//! One answer in the making, and who reads it.

use std::cell::{Cell, RefCell};

use bytes::Bytes;

use crate::answer_text;
use crate::notify::Notify;

use super::log::End;
use super::sse::{self, Usage, Writer};

/// The events of one answer; readers may come, go and start again at any event.
pub(super) struct Stream {
    /// Cut each reader off after so many events, once.
    pub(super) break_after: Cell<Option<usize>>,
    changed: Notify,
    end: Cell<Option<End>>,
    events: RefCell<Vec<Bytes>>,
    max_tokens: u32,
    /// Send garbage in place of events.
    nonsense: bool,
    prompt_digest: u64,
    /// Readers now, and how often one has come: a reader that left and came back within the
    /// time limit must not be cut off by the timer of the first departure.
    pub(super) readers: Cell<Readers>,
    text: RefCell<String>,
    usage: Cell<Usage>,
    writer: Writer,
}

/// Who reads an answer.
#[derive(Clone, Copy, Default, Eq, PartialEq)]
pub(super) struct Readers {
    pub(super) came: u64,
    pub(super) now: u32,
}

/// What a stream is made from.
pub(super) struct Origin {
    pub(super) break_after: Option<usize>,
    pub(super) max_tokens: u32,
    pub(super) nonsense: bool,
    pub(super) prompt_digest: u64,
    pub(super) prompt_tokens: u32,
    pub(super) writer: Writer,
}

impl Stream {
    pub(super) fn new(origin: Origin) -> Self {
        let usage = Usage {
            prompt_tokens: origin.prompt_tokens,
            ..Usage::default()
        };
        Self {
            break_after: Cell::new(origin.break_after),
            changed: Notify::default(),
            end: Cell::default(),
            events: RefCell::default(),
            max_tokens: origin.max_tokens,
            nonsense: origin.nonsense,
            prompt_digest: origin.prompt_digest,
            readers: Cell::default(),
            text: RefCell::default(),
            usage: Cell::new(usage),
            writer: origin.writer,
        }
    }

    pub(super) fn set_cached_tokens(&self, cached_tokens: u32) {
        let usage = self.usage.get();
        self.usage.set(Usage {
            cached_tokens,
            ..usage
        });
    }

    /// Adds the next token.
    pub(super) fn push_token(&self) {
        let mut usage = self.usage.get();
        let index = usage.completion_tokens;
        usage.completion_tokens += 1;
        self.usage.set(usage);
        let mut events = self.events.borrow_mut();
        let token = answer_text::token(self.prompt_digest, events.len());
        self.text.borrow_mut().push_str(&token);
        let last = index + 1 == self.max_tokens;
        let event = self.writer.token(events.len(), &token, last);
        events.push(self.or_nonsense(event));
        drop(events);
        self.changed.notify();
    }

    /// Ends the answer, with its usage if it is whole.
    pub(super) fn finish(&self, end: End) {
        if end == End::Done {
            let mut events = self.events.borrow_mut();
            let event = self.writer.usage(events.len(), self.usage.get());
            events.push(self.or_nonsense(event));
        }
        self.end.set(Some(end));
        self.changed.notify();
    }

    pub(super) fn end(&self) -> Option<End> {
        self.end.get()
    }

    /// Waits for the event at `index`; `None` once the answer has ended before it.
    pub(super) async fn event(&self, index: usize) -> Option<Bytes> {
        loop {
            if let Some(event) = self.events.borrow().get(index) {
                return Some(event.clone());
            }
            if self.end.get().is_some() {
                return None;
            }
            self.changed.changed().await;
        }
    }

    /// Waits for the end of the answer.
    pub(super) async fn ended(&self) -> End {
        loop {
            if let Some(end) = self.end.get() {
                return end;
            }
            self.changed.changed().await;
        }
    }

    /// The whole answer as one document.
    pub(super) fn whole(&self) -> Bytes {
        let whole = self.writer.whole(&self.text.borrow(), self.usage.get());
        self.or_nonsense(whole)
    }

    fn or_nonsense(&self, bytes: Bytes) -> Bytes {
        if self.nonsense {
            Bytes::from_static(sse::NONSENSE)
        } else {
            bytes
        }
    }
}
