//! What happened, to what, and how to ask for it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, TargetId};
use crate::timeline::stamp::Stamp;

/// What happened.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A configuration came into force here.
    Adopted,
    /// The dispatcher was asked for a slot.
    Asked,
    /// A repeat joined the running answer.
    Attached,
    /// The caller went away and its work was cancelled.
    Cancelled,
    /// A request key was claimed.
    Claimed,
    /// The request was sent to a target.
    Dispatched,
    /// A target or daemon finished its last work.
    Drained,
    /// The answer or its failure was passed on in full.
    Ended,
    /// The dispatcher gave a slot.
    Granted,
    /// A member joined.
    Joined,
    /// A member left.
    Left,
    /// A request key was marked as dispatching.
    Marked,
    /// An order was given to a target.
    Ordered,
    /// A configuration was published.
    Published,
    /// The request was refused.
    Refused,
    /// The request was shed for work of a higher tier.
    Shed,
    /// A member or target gave no sign of life.
    Suspected,
    /// A duty passed to this daemon.
    TakenOver,
}

/// What an event is about.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Subject {
    /// For people: a reason, a number, a name.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// The request concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The target concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
}

/// One entry of a time line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// What happened.
    pub kind: EventKind,
    /// When, and on which daemon.
    pub stamp: Stamp,
    /// What it is about.
    pub subject: Subject,
}

/// Which events are wanted; all conditions that are given must hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Query {
    /// At or after this wall time, in milliseconds since 1970.
    pub from_ms: Option<u64>,
    /// About this request.
    pub request: Option<RequestId>,
    /// About this target.
    pub target: Option<TargetId>,
    /// Before this wall time, in milliseconds since 1970.
    pub until_ms: Option<u64>,
}

impl Query {
    /// Whether `event` is wanted.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let wall_ms = event.stamp.wall_ms;
        let subject = &event.subject;
        self.from_ms.is_none_or(|from| wall_ms >= from)
            && self.until_ms.is_none_or(|until| wall_ms < until)
            && (self.request.is_none() || self.request == subject.request)
            && (self.target.is_none() || self.target == subject.target)
    }
}
