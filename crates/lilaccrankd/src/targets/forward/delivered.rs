//! How much of an answer a caller has got.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use lilaccrank::error_kind::ErrorKind;

use super::BEGINNING;
use super::event_reader;
use super::failure::{self, SendFailure};

/// The part of the answer that was delivered to the caller.
#[derive(Debug, Default)]
pub struct Delivered {
    /// When the first event or token of the last send came, once that has ended.
    pub began_at: Option<Instant>,
    /// Set if the last answer was delimited by the end of its connection, which a crash causes as
    /// well.
    pub ended_with_connection: bool,
    received: Rc<Received>,
}

/// What the caller has, from all runs.
#[derive(Debug, Default)]
struct Received {
    events: Cell<u32>,
    last_event: RefCell<Option<String>>,
}

impl Delivered {
    /// The same part of the answer, for a further run, which adds to it.
    #[must_use]
    pub fn for_run(&self) -> Self {
        Self {
            received: Rc::clone(&self.received),
            ..Self::default()
        }
    }

    /// Number of events delivered.
    #[must_use]
    pub fn events(&self) -> u32 {
        self.received.events.get()
    }

    /// Id of the last event delivered.
    #[must_use]
    pub fn last_event(&self) -> Option<String> {
        self.received.last_event.borrow().clone()
    }

    /// Returns `true` if the target has gone on with the answer of the last send after its beginning.
    #[must_use]
    pub fn has_gone_on(&self) -> bool {
        self.began_at.is_some_and(|at| at.elapsed() >= BEGINNING)
    }

    /// Returns `true` if an event comes after all that were delivered. A target that resumes after
    /// an event may repeat it.
    pub(super) fn is_next(&self, id: Option<&str>) -> bool {
        let last = self.received.last_event.borrow();
        let (Some(last), Some(id)) = (last.as_deref(), id) else {
            return true;
        };
        match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(id)) => last < id,
            _ => last != id,
        }
    }

    pub(super) fn record(&mut self, id: Option<String>) {
        self.received.events.set(self.events() + 1);
        if id.is_some() {
            self.received.last_event.replace(id);
        }
    }

    pub(super) fn broken(&self, message: &str) -> SendFailure {
        failure::broken(message, self.events() > 0)
    }

    pub(super) fn lost(&self, message: &str) -> SendFailure {
        failure::lost(message, self.events() > 0)
    }

    /// Failure of a send whose next event did not come.
    pub(super) fn failed(&self, e: &event_reader::Error) -> SendFailure {
        let message = e.to_string();
        match e {
            event_reader::Error::Lost(_) => self.lost(&message),
            event_reader::Error::Silent(_) if self.events() == 0 => {
                let mut silent = self.broken(&message);
                silent.refusal.kind = ErrorKind::TargetSilent;
                silent
            }
            _ => self.broken(&message),
        }
    }
}
