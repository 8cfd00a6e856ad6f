//! Who ended a run before its answer was complete, for logs.

use derive_more::Display;
use lilaccrank::error_kind::ErrorKind;

use crate::callers::refusal::Refusal;

/// Who ended a run before its answer was complete.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EndedBy {
    /// All callers left.
    #[display("caller")]
    Caller,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// This daemon, before the request was sent.
    #[display("daemon")]
    Daemon,
    /// This daemon lost its path to the target, or the peer that relayed.
    #[display("path")]
    Path,
    /// The list of targets says that the target has started again.
    #[display("restart")]
    Restart,
    /// This daemon shuts down.
    #[display("shutdown")]
    Shutdown,
    /// The target failed, broke off, went silent or turned the request away.
    #[display("target")]
    Target,
}

impl EndedBy {
    /// Returns who ended a run with this refusal, as far as the refusal tells.
    #[must_use]
    pub fn of(refusal: &Refusal) -> Self {
        match refusal.kind {
            ErrorKind::Cancelled => Self::Caller,
            ErrorKind::DeadlinePassed => Self::Deadline,
            ErrorKind::Leaving => Self::Shutdown,
            ErrorKind::NoTarget | ErrorKind::Internal => Self::Daemon,
            _ => Self::Target,
        }
    }
}
