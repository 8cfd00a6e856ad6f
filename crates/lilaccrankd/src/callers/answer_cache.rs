//! The answers of keyed requests that this daemon runs or has run lately.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::ids::{CustomerId, RequestKey};

use crate::request::answer_buffer::AnswerBuffer;

/// A key in its customer's scope: no customer can name another's answer.
pub type ScopedKey = (CustomerId, RequestKey);

/// Answers by key, bounded in bytes and in time.
pub struct AnswerCache {
    bytes_limit: usize,
    entries: RefCell<IndexMap<ScopedKey, Entry>>,
    ttl: Duration,
}

struct Entry {
    ended_at: Option<Instant>,
    buffer: Rc<AnswerBuffer>,
}

impl AnswerCache {
    /// Keeps ended answers for `ttl`, of at most `bytes_limit` bytes together.
    #[must_use]
    pub fn new(ttl: Duration, bytes_limit: usize) -> Self {
        Self {
            bytes_limit,
            entries: RefCell::default(),
            ttl,
        }
    }

    /// The answer to this key.
    #[must_use]
    pub fn get(&self, key: &ScopedKey) -> Option<Rc<AnswerBuffer>> {
        self.entries
            .borrow()
            .get(key)
            .map(|entry| Rc::clone(&entry.buffer))
    }

    /// Holds a running answer.
    pub fn insert(&self, key: ScopedKey, buffer: Rc<AnswerBuffer>) {
        let entry = Entry {
            ended_at: None,
            buffer,
        };
        self.entries.borrow_mut().insert(key, entry);
    }

    /// Notes that the answer has ended, from when its time to live counts.
    pub fn mark_ended(&self, key: &ScopedKey, buffer: &Rc<AnswerBuffer>) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(key)
            && Rc::ptr_eq(&entry.buffer, buffer)
        {
            entry.ended_at = Some(Instant::now());
        }
    }

    /// Drops an answer that nobody will ask for.
    ///
    /// A key that is freed late, since its keeper could not be reached, may have been claimed
    /// again meanwhile; the newer answer under it stays.
    pub fn remove(&self, key: &ScopedKey, buffer: &Rc<AnswerBuffer>) {
        let mut entries = self.entries.borrow_mut();
        if entries
            .get(key)
            .is_some_and(|entry| Rc::ptr_eq(&entry.buffer, buffer))
        {
            entries.shift_remove(key);
        }
    }

    /// Drops what is over its time, and the oldest ended answers over the bound of bytes.
    pub fn expire(&self) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, entry| {
            entry
                .ended_at
                .is_none_or(|ended_at| ended_at.elapsed() < self.ttl)
        });
        let mut bytes: usize = entries.values().map(|entry| entry.buffer.size()).sum();
        while bytes > self.bytes_limit {
            let Some(index) = entries.values().position(|entry| entry.ended_at.is_some()) else {
                return;
            };
            if let Some((_, dropped)) = entries.shift_remove_index(index) {
                bytes -= dropped.buffer.size();
            }
        }
    }
}
