//! Events of a timeline and queries over them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, TargetId};
use crate::timeline::stamp::Stamp;

/// Kind of an event.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// This daemon put a configuration into force.
    Adopted,
    /// The dispatcher was asked for a slot.
    Asked,
    /// A repeated request was attached to the answer in progress.
    Attached,
    /// The caller disconnected and its work was cancelled.
    Cancelled,
    /// A request key was claimed.
    Claimed,
    /// The request was sent to a target.
    Dispatched,
    /// A target or daemon that was draining finished its remaining work.
    Drained,
    /// The answer or its failure was forwarded completely.
    Ended,
    /// The dispatcher granted a slot.
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
    /// The request was shed in favour of work of a higher tier.
    Shed,
    /// A member or target is suspected to be down.
    Suspected,
    /// This daemon took over a duty.
    TakenOver,
}

/// Subject of an event.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Subject {
    /// Details for operators, such as a reason, a number or a name.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// The request concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The target concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
}

/// One entry of a timeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Kind of the event.
    pub kind: EventKind,
    /// Time of the event and the daemon that recorded it.
    pub stamp: Stamp,
    /// Request or target concerned, with details.
    pub subject: Subject,
}

/// Filter for events; an event has to meet all conditions that are set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Query {
    /// Earliest wall time, inclusive, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// Request that the event concerns.
    pub request: Option<RequestId>,
    /// Target that the event concerns.
    pub target: Option<TargetId>,
    /// Latest wall time, exclusive, in milliseconds since the Unix epoch.
    pub until_ms: Option<u64>,
}

impl Query {
    /// Returns `true` if `event` meets all conditions.
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
