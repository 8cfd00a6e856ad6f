//! Memory of all answers that this daemon holds for callers, and the limit of it.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of the answers in progress or being read.
#[derive(Debug)]
pub struct AnswerMemory {
    bytes: Cell<usize>,
    limit: usize,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl AnswerMemory {
    /// No answers yet, and a limit in bytes for all of them.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            bytes: Cell::default(),
            limit,
        }
    }

    /// Bytes of all answers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns `true` if all answers together are over the limit, so that no more is held than what
    /// callers have yet to read.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.bytes.get() > self.limit
    }
}

/// Part of the memory that one answer takes, given back when dropped.
#[derive(Debug, Default)]
pub struct Held {
    bytes: Cell<usize>,
    memory: Rc<AnswerMemory>,
}

impl Held {
    /// Takes nothing of `memory` yet.
    #[must_use]
    pub fn new(memory: Rc<AnswerMemory>) -> Self {
        Self {
            bytes: Cell::default(),
            memory,
        }
    }

    /// Bytes that it takes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Takes more.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        let memory = &self.memory;
        memory.bytes.set(memory.bytes.get() + bytes);
    }

    /// Gives a part back, at most what it takes.
    pub fn remove(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - bytes);
        let memory = &self.memory;
        memory.bytes.set(memory.bytes.get() - bytes);
    }

    /// Gives all back.
    pub fn release(&self) {
        self.remove(usize::MAX);
    }

    /// The memory of all answers.
    #[must_use]
    pub fn memory(&self) -> &Rc<AnswerMemory> {
        &self.memory
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release();
    }
}
