//! Why a daemon did not do what an operator asked.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::configuration::manifest::Identity;
use crate::configuration::publish::{self, Conflict};
use crate::ids::{Generation, PublicationId};
use crate::rules::difference::Difference;
use crate::rules::problem::Problem;

/// The closed list of failures of the operators' surface, beside the
/// [refusals](crate::error_kind::ErrorKind) that callers get too.
#[derive(Clone, Debug, Deserialize, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Failure {
    /// Another publication came first; nothing changed.
    #[error("{}", conflict(.in_force.as_ref(), .author.as_deref()))]
    Conflict {
        /// Who published what is in force.
        author: Option<String>,
        /// What changed from the base to what is in force, if both can be read.
        difference: Option<Box<Difference>>,
        /// What is in force.
        in_force: Option<Identity>,
    },
    /// The store came back older while the publication was written, and was healed since: the
    /// publication is void.
    #[error("the publication is void: the store came back older, and {by} is in force")]
    Displaced {
        /// What is in force.
        by: Identity,
    },
    /// A part of the document is too large; nothing changed.
    #[error("the document is too large: {message}")]
    DocumentTooLarge {
        /// Which part.
        message: String,
    },
    /// The id was used before for another document; nothing changed.
    #[error("publication {id} has already published something else")]
    IdReused {
        /// The id.
        id: PublicationId,
    },
    /// The document has errors; nothing changed.
    #[error("the document has errors")]
    Invalid {
        /// All problems, warnings too.
        problems: Vec<Problem>,
    },
    /// The generation is not kept any more, or never was.
    #[error("generation {generation} is not kept")]
    NoGeneration {
        /// The generation.
        generation: Generation,
    },
    /// The store can't be read; nothing changed.
    #[error("the platform's store can't be read: {message}; nothing was changed")]
    StoreUnavailable {
        /// What it said.
        message: String,
    },
    /// It is not known whether the publication took effect, or stays in force.
    #[error("publication {id} may have taken effect; publish again with the same id to learn it")]
    Unresolved {
        /// The id.
        id: PublicationId,
    },
    /// Daemons hold different configurations of one generation, or the newest can't be taken
    /// over; nothing changed.
    #[error("{message}; nothing was published, try again in some seconds")]
    Unsettled {
        /// What is not settled.
        message: String,
    },
}

/// The envelope in which failures and refusals travel.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope<T> {
    /// The failure.
    pub error: T,
}

impl Failure {
    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Conflict { .. } | Self::Displaced { .. } | Self::IdReused { .. } => 409,
            Self::DocumentTooLarge { .. } => 413,
            Self::Invalid { .. } => 422,
            Self::NoGeneration { .. } => 404,
            Self::StoreUnavailable { .. } | Self::Unresolved { .. } | Self::Unsettled { .. } => 503,
        }
    }
}

impl From<publish::Error> for Failure {
    fn from(e: publish::Error) -> Self {
        match e {
            publish::Error::Conflict(conflict) => (*conflict).into(),
            publish::Error::IdReused(id) => Self::IdReused { id },
            publish::Error::Invalid(problems) => Self::Invalid { problems },
            publish::Error::Read(e) => Self::StoreUnavailable {
                message: e.to_string(),
            },
            publish::Error::TooLarge(e) => Self::DocumentTooLarge {
                message: e.to_string(),
            },
            publish::Error::Unresolved(id) => Self::Unresolved { id },
        }
    }
}

impl From<Conflict> for Failure {
    fn from(conflict: Conflict) -> Self {
        let winner = conflict.winner;
        Self::Conflict {
            author: winner.as_ref().map(|winner| winner.author.clone()),
            difference: conflict.difference.map(Box::new),
            in_force: winner.map(|winner| winner.identity),
        }
    }
}

fn conflict(in_force: Option<&Identity>, author: Option<&str>) -> String {
    match (in_force, author) {
        (Some(in_force), Some(author)) => {
            format!("the base is not in force any more: {author} published {in_force}")
        }
        _ => "the base is not in force: the store holds no configuration".to_owned(),
    }
}
