//! One causal order over the events of many daemons.

use crate::timeline::event::Event;

/// Merges time lines into one order in which an effect never comes before its cause.
///
/// Daemons observe the stamps of messages, so the order of stamps contains the causal one.
#[must_use]
pub fn merge(timelines: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    events.dedup_by(|a, b| a.stamp == b.stamp && a == b);
    events
}
