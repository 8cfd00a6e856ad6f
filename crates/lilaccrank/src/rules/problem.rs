//! What is wrong with a document, and where.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How much a problem matters.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// It can be published, though it is probably not what was meant.
    #[display("warning")]
    Warning,
    /// It can't be published.
    #[display("error")]
    Error,
}

/// One problem of a document.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{severity} at {pointer:?}: {message} ({hint})")]
pub struct Problem {
    /// What to do about it.
    pub hint: String,
    /// What is wrong.
    pub message: String,
    /// JSON pointer to the spot; empty for the whole document.
    pub pointer: String,
    /// How much it matters.
    pub severity: Severity,
}

impl Problem {
    /// A problem that prevents publishing.
    pub fn error(
        pointer: impl Into<String>,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self {
            hint: hint.into(),
            message: message.into(),
            pointer: pointer.into(),
            severity: Severity::Error,
        }
    }

    /// A problem that does not prevent publishing.
    pub fn warning(
        pointer: impl Into<String>,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(pointer, message, hint)
        }
    }
}

/// One step of a JSON pointer, with `~` and `/` escaped.
#[must_use]
pub fn escape(step: &str) -> String {
    step.replace('~', "~0").replace('/', "~1")
}
