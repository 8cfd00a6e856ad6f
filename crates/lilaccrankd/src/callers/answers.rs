//! The answers of keyed requests that this daemon runs or has run lately.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::ids::{CustomerId, RequestKey};

use crate::request::run::Run;

/// A key in its customer's scope: no customer can name another's answer.
pub type ScopedKey = (CustomerId, RequestKey);

/// Answers by key, bounded in bytes and in time.
pub struct Answers {
    bytes_limit: usize,
    held: RefCell<IndexMap<ScopedKey, Held>>,
    ttl: Duration,
}

struct Held {
    ended: Option<Instant>,
    run: Rc<Run>,
}

impl Answers {
    /// Keeps ended answers for `ttl`, of at most `bytes_limit` bytes together.
    #[must_use]
    pub fn new(ttl: Duration, bytes_limit: usize) -> Self {
        Self {
            bytes_limit,
            held: RefCell::default(),
            ttl,
        }
    }

    /// The answer to this key.
    #[must_use]
    pub fn get(&self, key: &ScopedKey) -> Option<Rc<Run>> {
        self.held.borrow().get(key).map(|held| Rc::clone(&held.run))
    }

    /// Holds a running answer.
    pub fn insert(&self, key: ScopedKey, run: Rc<Run>) {
        let held = Held { ended: None, run };
        self.held.borrow_mut().insert(key, held);
    }

    /// Notes that the answer has ended, from when its time to live counts.
    pub fn ended(&self, key: &ScopedKey, run: &Rc<Run>) {
        if let Some(held) = self.held.borrow_mut().get_mut(key)
            && Rc::ptr_eq(&held.run, run)
        {
            held.ended = Some(Instant::now());
        }
    }

    /// Drops an answer that nobody will ask for.
    ///
    /// A key that is freed late, since its keeper could not be reached, may have been claimed
    /// again meanwhile; the newer answer under it stays.
    pub fn remove(&self, key: &ScopedKey, run: &Rc<Run>) {
        let mut held = self.held.borrow_mut();
        if held.get(key).is_some_and(|held| Rc::ptr_eq(&held.run, run)) {
            held.shift_remove(key);
        }
    }

    /// Drops what is over its time, and the oldest ended answers over the bound of bytes.
    pub fn expire(&self) {
        let mut held = self.held.borrow_mut();
        held.retain(|_, held| held.ended.is_none_or(|ended| ended.elapsed() < self.ttl));
        let mut bytes: usize = held.values().map(|held| held.run.size()).sum();
        while bytes > self.bytes_limit {
            let Some(at) = held.values().position(|held| held.ended.is_some()) else {
                return;
            };
            if let Some((_, dropped)) = held.shift_remove_index(at) {
                bytes -= dropped.run.size();
            }
        }
    }
}
