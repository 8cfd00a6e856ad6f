//! Cache of the answers to requests with a key, while they run and for some time after.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::ids::{CustomerId, RequestKey};

use crate::request::answer_buffer::AnswerBuffer;

/// A request key together with its customer, so that no customer can name another's answer.
pub type ScopedKey = (CustomerId, RequestKey);

/// Answers by key, bounded in total size and age.
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
    /// Creates a cache that keeps finished answers for `ttl`, up to `bytes_limit` bytes of answers
    /// in total.
    #[must_use]
    pub fn new(ttl: Duration, bytes_limit: usize) -> Self {
        Self {
            bytes_limit,
            entries: RefCell::default(),
            ttl,
        }
    }

    /// Returns the answer for this key.
    #[must_use]
    pub fn get(&self, key: &ScopedKey) -> Option<Rc<AnswerBuffer>> {
        self.entries
            .borrow()
            .get(key)
            .map(|entry| Rc::clone(&entry.buffer))
    }

    /// Adds an answer that is being written.
    pub fn insert(&self, key: ScopedKey, buffer: Rc<AnswerBuffer>) {
        let entry = Entry {
            ended_at: None,
            buffer,
        };
        self.entries.borrow_mut().insert(key, entry);
    }

    /// Marks the answer as finished. Its time to live starts now.
    pub fn mark_ended(&self, key: &ScopedKey, buffer: &Rc<AnswerBuffer>) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(key)
            && Rc::ptr_eq(&entry.buffer, buffer)
        {
            entry.ended_at = Some(Instant::now());
        }
    }

    /// Removes an answer that is no longer needed.
    ///
    /// If a key owner was unreachable and its key was released late, the key may have been claimed
    /// again. The newer answer under this key then stays.
    pub fn remove(&self, key: &ScopedKey, buffer: &Rc<AnswerBuffer>) {
        let mut entries = self.entries.borrow_mut();
        if entries
            .get(key)
            .is_some_and(|entry| Rc::ptr_eq(&entry.buffer, buffer))
        {
            entries.shift_remove(key);
        }
    }

    /// Removes answers that have outlived their time to live, and the oldest finished ones while
    /// the total size exceeds the limit.
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
