//! The complete list of reasons for which a request fails, with the HTTP response of each.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Tells if a target executed a request that failed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// A target may have executed all or part of the request.
    #[display("maybe")]
    Maybe,
    /// No target executed the request or will execute it later.
    #[display("no")]
    No,
}

/// Reason for which a request failed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// An earlier request with this key has ended and its answer is no longer cached.
    #[display("already_run")]
    AlreadyRun,
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The answer of the target was incomplete or invalid.
    #[display("broken_answer")]
    BrokenAnswer,
    /// The caller disconnected.
    #[display("cancelled")]
    Cancelled,
    /// No target may resume the stream: it is unknown which software version began it, or no target
    /// with that version serves.
    #[display("cannot_resume")]
    CannotResume,
    /// The deadline passed while the request ran.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// The deadline can't be met; the request was not sent.
    #[display("deadline_unmeetable")]
    DeadlineUnmeetable,
    /// The customer may not use this tier, or the key does not belong to an operator.
    #[display("forbidden")]
    Forbidden,
    /// Internal error of the daemon.
    #[display("internal")]
    Internal,
    /// The request key was used before with a different body.
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
    /// The path does not exist.
    #[display("not_found")]
    NotFound,
    /// The daemon has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// Requests of this tier are being shed.
    #[display("overloaded")]
    Overloaded,
    /// Too many targets crashed while running this request.
    #[display("quarantined")]
    Quarantined,
    /// A rate or concurrency limit was reached.
    #[display("rate_limited")]
    RateLimited,
    /// A rule refused the request.
    #[display("refused_by_rule")]
    RefusedByRule,
    /// The platform's store is unavailable, and without it this request could run twice.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The target answered with an error.
    #[display("target_failed")]
    TargetFailed,
    /// The targets that were tried refused the request.
    #[display("target_refused")]
    TargetRefused,
    /// The target stopped responding.
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

/// Response that callers get for an [`ErrorKind`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// Default for whether a target executed the request; code that knows more overrides it.
    pub executed: Executed,
    /// The same request can succeed later, so that the response carries `Retry-After`.
    pub retryable: bool,
    /// HTTP status code.
    pub status: u16,
}

impl ErrorKind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 26] = [
        Self::AlreadyRun,
        Self::BadRequest,
        Self::BrokenAnswer,
        Self::Cancelled,
        Self::CannotResume,
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

    /// Returns `true` if the failure says nothing about the health of the target.
    #[must_use]
    pub fn is_unrelated_to_target(self) -> bool {
        matches!(self, Self::Cancelled | Self::DeadlinePassed | Self::Leaving)
    }

    /// Returns the response for this kind.
    #[must_use]
    pub fn response(self) -> ErrorResponse {
        let (status, executed, retryable) = match self {
            Self::AlreadyRun => (409, Executed::Maybe, false),
            Self::BadRequest => (400, Executed::No, false),
            Self::BrokenAnswer => (502, Executed::Maybe, false),
            Self::Cancelled => (499, Executed::Maybe, false),
            Self::CannotResume => (503, Executed::No, false),
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
