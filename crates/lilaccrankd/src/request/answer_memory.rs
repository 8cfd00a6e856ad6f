//! Memory of all answers that this daemon holds for callers, which bounds what many large ones take together.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of the answers in progress or being read, and their number.
#[derive(Debug)]
pub struct AnswerMemory {
    answers: Cell<usize>,
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
            answers: Cell::default(),
            bytes: Cell::default(),
            limit,
        }
    }

    /// Bytes of all answers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns `true` if an answer of this size has to be given up: all are over the limit together, and it
    /// is not smaller than most.
    #[must_use]
    pub fn is_short_for(&self, size: usize) -> bool {
        let mean = self.bytes.get() / self.answers.get().max(1);
        self.bytes.get() > self.limit && size >= mean
    }
}

/// Part of the memory that one answer takes, given back when dropped.
#[derive(Debug, Default)]
pub(super) struct Held {
    bytes: Cell<usize>,
    memory: Rc<AnswerMemory>,
}

impl Held {
    pub(super) fn new(memory: Rc<AnswerMemory>) -> Self {
        Self {
            bytes: Cell::default(),
            memory,
        }
    }

    pub(super) fn add(&self, bytes: usize) {
        let before = self.bytes.replace(self.bytes.get() + bytes);
        let memory = &self.memory;
        memory.bytes.set(memory.bytes.get() + bytes);
        if before == 0 && bytes > 0 {
            memory.answers.set(memory.answers.get() + 1);
        }
    }

    pub(super) fn release(&self) {
        let bytes = self.bytes.take();
        let memory = &self.memory;
        memory.bytes.set(memory.bytes.get() - bytes);
        if bytes > 0 {
            memory.answers.set(memory.answers.get() - 1);
        }
    }

    pub(super) fn memory(&self) -> &AnswerMemory {
        &self.memory
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release();
    }
}
