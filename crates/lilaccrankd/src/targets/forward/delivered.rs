//! How much of an answer a caller has got.

use std::time::Instant;

use lilaccrank::error_kind::ErrorKind;

use super::BEGINNING;
use super::failure::{self, SendFailure};

/// The part of the answer that was delivered to the caller.
#[derive(Debug, Default)]
pub struct Delivered {
    /// When the first event or token of the last send came, once that has ended.
    pub began_at: Option<Instant>,
    /// Set if the last answer was delimited by the end of its connection, which a crash causes as
    /// well.
    pub ended_with_connection: bool,
    /// Number of events delivered.
    pub events: u32,
    /// Id of the last event delivered.
    pub last_event: Option<String>,
}

impl Delivered {
    /// Returns `true` if the target has gone on with the answer of the last send after its beginning.
    #[must_use]
    pub fn has_gone_on(&self) -> bool {
        self.began_at.is_some_and(|at| at.elapsed() >= BEGINNING)
    }

    /// Returns `true` if an event comes after all that were delivered. A target that resumes after
    /// an event may repeat it.
    pub(super) fn is_next(&self, id: Option<&str>) -> bool {
        let (Some(last), Some(id)) = (self.last_event.as_deref(), id) else {
            return true;
        };
        match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(id)) => last < id,
            _ => last != id,
        }
    }

    pub(super) fn record(&mut self, id: Option<String>) {
        self.events += 1;
        if id.is_some() {
            self.last_event = id;
        }
    }

    pub(super) fn broken(&self, message: &str) -> SendFailure {
        failure::broken(message, self.events > 0)
    }

    pub(super) fn lost(&self, message: &str) -> SendFailure {
        failure::lost(message, self.events > 0)
    }

    pub(super) fn silent(&self) -> SendFailure {
        let mut silent = self.broken("the target went silent in its stream");
        if self.events == 0 {
            silent.refusal.kind = ErrorKind::TargetSilent;
        }
        silent
    }
}
