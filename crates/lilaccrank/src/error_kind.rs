//! The one closed list of reasons for which a request ends without its answer.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a refused request was run by a target.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// Some of it may have been run.
    #[display("maybe")]
    Maybe,
    /// No target was given it, now or later.
    #[display("no")]
    No,
}

/// Why a request ends without its answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// An earlier request with this key has ended and its answer is no longer held.
    #[display("already_run")]
    AlreadyRun,
    /// The request could not be read.
    #[display("bad_request")]
    BadRequest,
    /// The target stopped in the middle of its answer.
    #[display("broken_answer")]
    BrokenAnswer,
    /// The caller went away.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed while the request ran.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The deadline can't be met; nothing was started.
    #[display("deadline_unmeetable")]
    DeadlineUnmeetable,
    /// The customer may not use this tier, or the key is not an operator's.
    #[display("forbidden")]
    Forbidden,
    /// A fault of the daemon itself.
    #[display("internal")]
    Internal,
    /// The request key was used before for another body.
    #[display("key_reused")]
    KeyReused,
    /// The daemon is shutting down.
    #[display("leaving")]
    Leaving,
    /// No rule matches the request.
    #[display("no_rule")]
    NoRule,
    /// No live target serves the pool.
    #[display("no_target")]
    NoTarget,
    /// No such path.
    #[display("not_found")]
    NotFound,
    /// The daemon has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// Work of this tier is being shed.
    #[display("overloaded")]
    Overloaded,
    /// Too many targets crashed while they ran the same request.
    #[display("quarantined")]
    Quarantined,
    /// A limit of rate or concurrency is reached.
    #[display("rate_limited")]
    RateLimited,
    /// A rule refuses the request.
    #[display("refused_by_rule")]
    RefusedByRule,
    /// The platform's store can't be asked, and without it this request could run twice.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The target answered with an error.
    #[display("target_failed")]
    TargetFailed,
    /// No target would run it, though they were asked.
    #[display("target_refused")]
    TargetRefused,
    /// The target went silent.
    #[display("target_silent")]
    TargetSilent,
    /// The body is larger than the limit.
    #[display("too_large")]
    TooLarge,
    /// The bearer key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// No pool serves this model.
    #[display("unknown_model")]
    UnknownModel,
}

/// What a caller is told for a kind of error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// Whether a target may have run the request, unless the place of failure knows better.
    pub executed: Executed,
    /// Whether the same request can succeed later, so that a `Retry-After` makes sense.
    pub retryable: bool,
    /// HTTP status.
    pub status: u16,
}

impl ErrorKind {
    /// Every kind, in the order of the list.
    pub const ALL: [Self; 25] = [
        Self::AlreadyRun,
        Self::BadRequest,
        Self::BrokenAnswer,
        Self::Cancelled,
        Self::DeadlinePassed,
        Self::DeadlineUnmeetable,
        Self::Forbidden,
        Self::Internal,
        Self::KeyReused,
        Self::Leaving,
        Self::NoRule,
        Self::NoTarget,
        Self::NotFound,
        Self::NotReady,
        Self::Overloaded,
        Self::Quarantined,
        Self::RateLimited,
        Self::RefusedByRule,
        Self::StoreUnavailable,
        Self::TargetFailed,
        Self::TargetRefused,
        Self::TargetSilent,
        Self::TooLarge,
        Self::Unauthorized,
        Self::UnknownModel,
    ];

    /// Whether the reason says nothing about the target.
    #[must_use]
    pub fn is_unrelated_to_target(self) -> bool {
        matches!(self, Self::Cancelled | Self::DeadlinePassed | Self::Leaving)
    }

    /// The table from kind to answer.
    #[must_use]
    pub fn response(self) -> ErrorResponse {
        let (status, executed, retryable) = match self {
            Self::AlreadyRun => (409, Executed::Maybe, false),
            Self::BadRequest => (400, Executed::No, false),
            Self::BrokenAnswer => (502, Executed::Maybe, false),
            Self::Cancelled => (499, Executed::Maybe, false),
            Self::DeadlinePassed => (504, Executed::Maybe, false),
            Self::DeadlineUnmeetable => (503, Executed::No, true),
            Self::Forbidden => (403, Executed::No, false),
            Self::Internal => (500, Executed::Maybe, false),
            Self::KeyReused => (422, Executed::No, false),
            Self::Leaving => (503, Executed::No, true),
            Self::NoRule => (403, Executed::No, false),
            Self::NoTarget => (503, Executed::No, true),
            Self::NotFound => (404, Executed::No, false),
            Self::NotReady => (503, Executed::No, true),
            Self::Overloaded => (503, Executed::No, true),
            Self::Quarantined => (503, Executed::No, true),
            Self::RateLimited => (429, Executed::No, true),
            Self::RefusedByRule => (403, Executed::No, false),
            Self::StoreUnavailable => (503, Executed::No, true),
            Self::TargetFailed => (502, Executed::Maybe, false),
            Self::TargetRefused => (503, Executed::No, true),
            Self::TargetSilent => (504, Executed::Maybe, false),
            Self::TooLarge => (413, Executed::No, false),
            Self::Unauthorized => (401, Executed::No, false),
            Self::UnknownModel => (404, Executed::No, false),
        };
        ErrorResponse {
            executed,
            retryable,
            status,
        }
    }
}
