//! Sends that gave no complete answer.

use bytes::Bytes;
use lilaccrank::attempts::Failure;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::client::ExchangeRecord;

use crate::callers::refusal::Refusal;
use crate::request::answer_buffer::Head;
use crate::request::ended_by::EndedBy;

/// A send that gave no complete answer.
#[derive(Debug)]
pub struct SendFailure {
    /// Answer of the target, for the caller if no other target gives a better one.
    pub answer: Option<(Head, Bytes)>,
    /// Who ended the run.
    pub ended_by: EndedBy,
    /// The exchange whose answer made the send fail; `None` without an answer.
    pub exchange: Option<ExchangeRecord>,
    /// How the send failed.
    pub failure: Failure,
    /// Set if another target answered at the address.
    pub is_misdirected: bool,
    /// Set if this daemon's path to the target failed, which says nothing about the target.
    pub is_path_fault: bool,
    /// Refusal for the caller.
    pub refusal: Refusal,
}

impl SendFailure {
    /// Failure of a send with this refusal. If the refusal says "not run", nothing reached the target.
    #[must_use]
    pub fn new(refusal: Refusal) -> Self {
        let failure = match refusal.ran {
            Executed::No => Failure::Unsent,
            Executed::Maybe => Failure::Failed,
        };
        Self {
            answer: None,
            ended_by: EndedBy::of(&refusal),
            exchange: None,
            failure,
            is_misdirected: false,
            is_path_fault: false,
            refusal,
        }
    }
}

pub(super) fn failed(kind: ErrorKind, message: impl Into<String>) -> SendFailure {
    SendFailure::new(Refusal::new(kind, message).ran(Executed::Maybe))
}

pub(super) fn broken(message: &str, has_begun: bool) -> SendFailure {
    let mut broken = failed(ErrorKind::BrokenAnswer, message);
    if has_begun {
        broken.failure = Failure::BrokenOff;
    }
    broken
}

pub(super) fn lost(message: &str, has_begun: bool) -> SendFailure {
    let mut lost = broken(message, has_begun);
    lost.refusal.connection_lost = true;
    lost
}

/// Failure of a run whose answer another run delivers.
pub(super) fn overtaken() -> SendFailure {
    failed(ErrorKind::Cancelled, "another run delivers the answer")
}
