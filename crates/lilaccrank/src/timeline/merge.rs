//! Merges the timelines of several daemons.

use crate::timeline::event::Event;

/// Merges timelines into causal order, without duplicates.
///
/// Daemons observe the stamps of the messages they receive, so the order of stamps is consistent
/// with causality.
#[must_use]
pub fn merge(timelines: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    events.dedup_by(|a, b| a.stamp == b.stamp && a == b);
    events
}
