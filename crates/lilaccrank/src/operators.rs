//! What operators and daemons say to each other, in JSON over the daemon's admin address.

pub mod failure;
pub mod order;
pub mod path;
pub mod status;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::configuration::manifest::Identity;
use crate::document::Document;
use crate::ids::{PublicationId, VmId};
use crate::request::Facts;
use crate::rules::condition::Environment;
use crate::timeline::Event;

pub use failure::Failure;
pub use order::{OperatorOrder, OperatorOrderKind, OrderOutcome};
pub use status::Status;

/// A configuration with its document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationView {
    /// The operator who published it.
    pub author: String,
    /// The document.
    pub document: Document,
    /// Its name.
    pub identity: Identity,
}

/// Asks to put a document in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// The configuration that the document was made from.
    pub base: Identity,
    /// The document, in JSON of any shape, so that each mistake can be answered with its spot.
    pub document: Value,
    /// Names this attempt; the same id never publishes twice.
    pub id: PublicationId,
}

/// The publication is accepted, and no live daemon of the data centre can displace it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
    /// The name it got.
    pub identity: Identity,
    /// Live members that did not tell what they hold.
    #[serde(rename = "unheard")]
    pub unresponsive: Vec<VmId>,
}

/// The configuration in force and those that it was made from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// The youngest first.
    pub entries: Vec<HistoryEntry>,
}

/// One generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The operator who published it, `None` if its manifest is no longer kept.
    pub author: Option<String>,
    /// Its name.
    pub identity: Identity,
}

/// Asks which rule decides a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// Load and time, if not those of now.
    #[serde(default)]
    pub environment: Option<Environment>,
    /// The request.
    pub facts: Facts,
}

/// Events of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineReply {
    /// Events that were lost to newer ones since the daemon started.
    pub dropped: u64,
    /// The events asked for, the oldest first.
    pub events: Vec<Event>,
    /// The daemon.
    pub vm: VmId,
}

/// The daemon has begun to leave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaveReply {
    /// Requests that it will finish first.
    pub in_progress: usize,
    /// The daemon.
    pub vm: VmId,
}
