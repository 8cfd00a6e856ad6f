//! Messages of the admin API between operators and daemons, in JSON.

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

/// A published configuration with its document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationView {
    /// Operator who published it.
    pub author: String,
    /// Content of the configuration.
    pub document: Document,
    /// Identity of the configuration.
    pub identity: Identity,
}

/// Request to publish a document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Configuration that the document was derived from.
    pub base: Identity,
    /// The document as untyped JSON, so that errors can be reported with their positions.
    pub document: Value,
    /// Identifies this attempt; one id is never published twice.
    pub id: PublicationId,
}

/// Reply to a publication that was accepted and that no live daemon of the data centre can
/// displace any more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
    /// Identity that the publication got.
    pub identity: Identity,
    /// Live members that did not report which configuration they hold.
    #[serde(rename = "unheard")]
    pub unresponsive: Vec<VmId>,
}

/// Request to lift a quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LiftRequest {
    /// Digest of the content or the part, in hexadecimal.
    pub digest: String,
}

/// Quarantines that hold. All of their requests are refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantines {
    /// Those that this daemon knows.
    pub entries: Vec<QuarantineEntry>,
}

/// One quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// Digest of the content or the part, in hexadecimal.
    pub digest: String,
    /// Milliseconds until it lapses.
    pub left_ms: u64,
}

/// The current configuration and those that it was derived from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Generations, the newest first.
    pub entries: Vec<HistoryEntry>,
}

/// One generation of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Operator who published it; `None` if its manifest is no longer stored.
    pub author: Option<String>,
    /// Identity of the generation.
    pub identity: Identity,
}

/// Request to explain which rule applies to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// Load and time to assume; the current ones if absent.
    #[serde(default)]
    pub environment: Option<Environment>,
    /// Properties of the request.
    pub facts: Facts,
}

/// Timeline events of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimelineReply {
    /// Number of events that newer ones have displaced since the daemon started.
    pub dropped: u64,
    /// Requested events, the oldest first.
    pub events: Vec<Event>,
    /// VM of the daemon.
    pub vm: VmId,
}

/// Reply of a daemon that started to shut down.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaveReply {
    /// Number of requests that it will finish first.
    pub in_progress: usize,
    /// VM of the daemon.
    pub vm: VmId,
}
