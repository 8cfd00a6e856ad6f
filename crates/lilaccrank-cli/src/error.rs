//! The one closed list of what can go wrong, with exit codes.

use std::io;
use std::path::PathBuf;

use lilaccrank::error_kind::Executed;
use lilaccrank::operators::Failure;
use lilaccrank::rules::problem::Problem;
use serde::Serialize;
use thiserror::Error;

use crate::changes;
use crate::survey::{Lacking, Unreachable};

/// Result of a subcommand.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a subcommand did not end well.
#[derive(Debug, Error)]
pub enum Error {
    /// The answer broke off or never came; the daemon may have done what was asked.
    #[error("{address} broke off: {why}; it may have been done")]
    Broken {
        /// The daemon.
        address: String,
        /// What happened.
        why: String,
    },
    /// The document has errors.
    #[error("{name} has {}", changes::count(.problems))]
    Document {
        /// The file, or what else it is.
        name: String,
        /// All problems, warnings too.
        problems: Vec<Problem>,
    },
    /// The editor failed.
    #[error("the editor `{editor}` failed: {why}; set EDITOR")]
    Editor {
        /// The command.
        editor: String,
        /// What happened.
        why: String,
    },
    /// A daemon did not do it.
    #[error(transparent)]
    Failure(Box<Failure>),
    /// A file can't be read.
    #[error("can't read {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The system refused.
    #[error("{0}")]
    Local(#[from] io::Error),
    /// No key is given.
    #[error("give --key KEY or set LILACCRANK_KEY")]
    NoKey,
    /// Nothing has this name.
    #[error("there is no {what} `{name}`; {hint}")]
    NoSuch {
        /// How to see what there is.
        hint: &'static str,
        /// The name.
        name: String,
        /// A rule, a target, and so on.
        what: &'static str,
    },
    /// The publication is in force, but not everywhere yet.
    #[error("not in force within the wait on: {}", names(.lacking))]
    NotEverywhere {
        /// Who lacks it.
        lacking: Vec<Lacking>,
    },
    /// A daemon that leaves has not ended yet.
    #[error("{vm} has not ended within the wait; it still finishes requests")]
    NotEnded {
        /// The daemon.
        vm: String,
    },
    /// The outcome of a publication is unknown.
    #[error("{cause}; run the same command with --id {id} to learn the outcome")]
    Outcome {
        /// What happened.
        cause: Box<Error>,
        /// The publication.
        id: String,
    },
    /// Some daemons did not tell.
    #[error("can't reach {}", unreachable(.0))]
    Partial(Vec<Unreachable>),
    /// A daemon refused.
    #[error("{address} refused ({kind}): {message}")]
    Refused {
        /// The daemon.
        address: String,
        /// Kind of refusal.
        kind: String,
        /// What can be done about it.
        message: String,
        /// Whether a target may have run it.
        ran: Executed,
    },
    /// No daemon took the call.
    #[error("can't reach {address}: {why}")]
    Unreachable {
        /// The last one tried.
        address: String,
        /// What happened.
        why: String,
    },
    /// The arguments don't fit together.
    #[error("{0}")]
    Usage(String),
}

/// An error in JSON.
#[derive(Serialize)]
pub struct Report {
    /// The error.
    pub error: Details,
}

/// What is told of an error.
#[derive(Serialize)]
pub struct Details {
    /// How it ended the command.
    pub exit_code: u8,
    /// What a daemon said about a publication.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failure: Option<Failure>,
    /// Live daemons that lack a publication.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub lacking: Vec<Lacking>,
    /// For people.
    pub message: String,
    /// Problems of a document.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// Daemons that did not tell.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<Unreachable>,
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Document { .. } => 1,
            Self::NoKey | Self::Usage(_) => 2,
            Self::Partial(_) | Self::Unreachable { .. } => 3,
            Self::NoSuch { .. }
            | Self::Refused {
                ran: Executed::No, ..
            } => 4,
            Self::Broken { .. }
            | Self::Outcome { .. }
            | Self::Refused {
                ran: Executed::Maybe,
                ..
            } => 6,
            Self::NotEnded { .. } | Self::NotEverywhere { .. } => 7,
            Self::Editor { .. } | Self::File { .. } | Self::Local(_) => 8,
            Self::Failure(failure) => failure_code(failure),
        }
    }

    /// All that is known, in JSON.
    pub fn report(&self) -> Report {
        let mut details = Details {
            exit_code: self.exit_code(),
            failure: None,
            lacking: Vec::new(),
            message: self.to_string(),
            problems: Vec::new(),
            unreachable: Vec::new(),
        };
        match self {
            Self::Document { problems, .. } => details.problems.clone_from(problems),
            Self::Failure(failure) => details.failure = Some(failure.as_ref().clone()),
            Self::NotEverywhere { lacking } => details.lacking.clone_from(lacking),
            Self::Partial(unreachable) => details.unreachable.clone_from(unreachable),
            _ => {}
        }
        Report { error: details }
    }

    /// More lines for people.
    pub fn lines(&self) -> Vec<String> {
        match self {
            Self::Document { problems, .. } => problems.iter().map(ToString::to_string).collect(),
            Self::Failure(failure) => failure_lines(failure),
            Self::NotEverywhere { lacking } => lacking.iter().map(ToString::to_string).collect(),
            Self::Partial(list) => list.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        Self::Failure(Box::new(failure))
    }
}

fn failure_code(failure: &Failure) -> u8 {
    match failure {
        Failure::DocumentTooLarge { .. } | Failure::Invalid { .. } => 1,
        Failure::NoGeneration { .. }
        | Failure::StoreUnavailable { .. }
        | Failure::Unsettled { .. } => 4,
        Failure::Conflict { .. } | Failure::Displaced { .. } | Failure::IdReused { .. } => 5,
        Failure::Unresolved { .. } => 6,
    }
}

fn failure_lines(failure: &Failure) -> Vec<String> {
    match failure {
        Failure::Conflict {
            difference: Some(difference),
            ..
        } => {
            let mut lines = vec!["changed from your base to what is in force:".to_owned()];
            lines.extend(changes::lines(difference));
            lines
        }
        Failure::Invalid { problems } => problems.iter().map(ToString::to_string).collect(),
        _ => Vec::new(),
    }
}

fn names(lacking: &[Lacking]) -> String {
    let names: Vec<_> = lacking.iter().map(|lacking| lacking.vm.as_str()).collect();
    names.join(", ")
}

fn unreachable(list: &[Unreachable]) -> String {
    let names: Vec<_> = list.iter().map(Unreachable::name).collect();
    names.join(", ")
}
