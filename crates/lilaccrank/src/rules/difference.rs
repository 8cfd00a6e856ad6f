//! What changed between two documents, by the ids of their parts.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::document::Document;

/// The changes from one document to another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Changes of customers.
    pub customers: Vec<Change>,
    /// Changes of operators.
    pub operators: Vec<Change>,
    /// Changes of pools and their targets.
    pub pools: Vec<Change>,
    /// Changes of rules.
    pub rules: Vec<Change>,
    /// Changes of tiers.
    pub tiers: Vec<Change>,
}

/// One change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Position after the change, `None` if removed.
    pub after: Option<usize>,
    /// Position before the change, `None` if added.
    pub before: Option<usize>,
    /// What changed.
    pub id: String,
    /// How it changed.
    pub kind: ChangeKind,
}

/// How a part changed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is new.
    #[display("added")]
    Added,
    /// Its content differs.
    #[display("changed")]
    Changed,
    /// Its place among the parts that remain differs.
    #[display("moved")]
    Moved,
    /// It is gone.
    #[display("removed")]
    Removed,
}

impl Difference {
    /// Compares two documents.
    #[must_use]
    pub fn new(before: &Document, after: &Document) -> Self {
        Self {
            customers: unordered(&before.customers, &after.customers, |c| &c.id),
            operators: unordered(&before.operators, &after.operators, |o| &o.id),
            pools: unordered(&before.pools, &after.pools, |pool| &pool.id),
            rules: ordered(&before.rules, &after.rules, |rule| &rule.id),
            tiers: ordered(&before.tiers, &after.tiers, |tier| tier),
        }
    }

    /// Whether the documents are the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn unordered<T: PartialEq>(before: &[T], after: &[T], id: fn(&T) -> &String) -> Vec<Change> {
    let mut changes = ordered(before, after, id);
    changes.retain(|change| change.kind != ChangeKind::Moved);
    changes
}

/// Removals in the old order, then everything else in the new order.
fn ordered<T: PartialEq>(before: &[T], after: &[T], id: fn(&T) -> &String) -> Vec<Change> {
    let old = positions(before, id);
    let new = positions(after, id);
    let gone = old.iter().filter(|(id, _)| !new.contains_key(*id));
    let mut changes: Vec<Change> = gone
        .map(|(id, at)| change(ChangeKind::Removed, id, Some(*at), None))
        .collect();
    let kept: Vec<usize> = new.keys().filter_map(|id| old.get(id)).copied().collect();
    let mut stays = vec![false; before.len()];
    for at in longest_increasing(&kept) {
        stays[at] = true;
    }
    for (id, to) in new {
        let Some(&from) = old.get(id) else {
            changes.push(change(ChangeKind::Added, id, None, Some(to)));
            continue;
        };
        if !stays[from] {
            changes.push(change(ChangeKind::Moved, id, Some(from), Some(to)));
        }
        if before[from] != after[to] {
            changes.push(change(ChangeKind::Changed, id, Some(from), Some(to)));
        }
    }
    changes
}

fn positions<T>(list: &[T], id: fn(&T) -> &String) -> IndexMap<&String, usize> {
    let positions = list.iter().enumerate();
    positions.map(|(at, part)| (id(part), at)).collect()
}

fn change(kind: ChangeKind, id: &str, before: Option<usize>, after: Option<usize>) -> Change {
    Change {
        after,
        before,
        id: id.to_owned(),
        kind,
    }
}

/// The most parts that kept their order: all others are the fewest that can have moved.
fn longest_increasing(values: &[usize]) -> Vec<usize> {
    // For each length, the place of the smallest value that ends such a sequence.
    let mut ends: Vec<usize> = Vec::new();
    let mut previous = vec![None; values.len()];
    for (place, value) in values.iter().enumerate() {
        let length = ends.partition_point(|end| values[*end] < *value);
        previous[place] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(place);
        } else {
            ends[length] = place;
        }
    }
    let last = ends.last().copied();
    let places = std::iter::successors(last, |place| previous[*place]);
    places.map(|place| values[place]).collect()
}
