//! Whether an earlier rule takes every request that a later one could match.
//!
//! Compared condition by condition against one earlier rule at a time: exact for two rules,
//! while several that cover a later one only together are not found.

use indexmap::IndexSet;

use super::candidates::Candidates;
use super::condition::Condition;
use crate::document::{Document, Hours, Range, When};

const HOURS_OF_DAY: u8 = 24;

/// The closed lists: a condition that names all of one of them covers everything.
#[derive(Clone, Debug)]
pub struct Universe<'a> {
    customers: IndexSet<&'a str>,
    tiers: IndexSet<&'a str>,
}

/// A rule that no request reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unreachable {
    /// Position of the earlier rule that covers it.
    pub covered_by: usize,
    /// Position of the rule.
    pub position: usize,
}

impl<'a> Universe<'a> {
    /// The customers and tiers of `document`.
    #[must_use]
    pub fn new(document: &'a Document) -> Self {
        let customers = document.customers.iter();
        Self {
            customers: customers.map(|customer| customer.id.as_str()).collect(),
            tiers: document.tiers.iter().map(String::as_str).collect(),
        }
    }

    /// Whether `earlier` matches every request that `later` matches.
    #[must_use]
    pub fn covers(&self, earlier: &When, later: &When) -> bool {
        Condition::ALL
            .into_iter()
            .all(|condition| self.condition_covers(condition, earlier, later))
    }

    fn condition_covers(&self, condition: Condition, earlier: &When, later: &When) -> bool {
        match condition {
            Condition::Customer => {
                closed_list_covers(&earlier.customer, &later.customer, &self.customers)
            }
            Condition::DataCentre => list_covers(&earlier.data_centre, &later.data_centre),
            Condition::Header => earlier.header.iter().flatten().all(|(name, value)| {
                let wanted = later.header.as_ref().and_then(|header| header.get(name));
                wanted == Some(value)
            }),
            Condition::Hours => earlier.hours.is_none_or(|hours| {
                let wanted = |hour: &u8| later.hours.is_none_or(|later| later.contains(*hour));
                let mut wanted = (0..HOURS_OF_DAY).filter(wanted);
                wanted.all(|hour| Hours::contains(hours, hour))
            }),
            Condition::Idempotent => {
                earlier.idempotent.is_none() || earlier.idempotent == later.idempotent
            }
            Condition::Load => earlier.load.as_ref().is_none_or(|load| {
                load.waiting_at_least == 0
                    || later.load.as_ref().is_some_and(|later| {
                        later.pool == load.pool && later.waiting_at_least >= load.waiting_at_least
                    })
            }),
            Condition::Model => list_covers(&earlier.model, &later.model),
            Condition::Path => earlier.path.as_ref().is_none_or(|prefix| {
                let wanted = later.path.as_deref().unwrap_or_default();
                wanted.starts_with(prefix)
            }),
            Condition::PromptTokens => {
                let later = later.prompt_tokens.unwrap_or_default();
                earlier
                    .prompt_tokens
                    .is_none_or(|earlier| range_covers(earlier, later))
            }
            Condition::Tier => closed_list_covers(&earlier.tier, &later.tier, &self.tiers),
        }
    }
}

/// Every rule that one earlier rule covers, with the first that does.
#[must_use]
pub fn unreachable(document: &Document) -> Vec<Unreachable> {
    let universe = Universe::new(document);
    let candidates = Candidates::new(&document.rules);
    let any_customer = document.customers.first().map(|customer| &customer.id);
    let covered = |position: usize| {
        let later = &document.rules[position].when;
        // A rule that covers this one matches each of its customers and models, so looking
        // under the first of them finds it without comparing all pairs.
        let customer = later
            .customer
            .as_ref()
            .map_or(any_customer, |list| list.first());
        let model = later.model.as_ref().and_then(|list| list.first());
        candidates
            .get(customer.map(String::as_str), model.map(String::as_str))
            .take_while(|earlier| *earlier < position)
            .find(|earlier| universe.covers(&document.rules[*earlier].when, later))
    };
    (0..document.rules.len())
        .filter_map(|position| {
            covered(position).map(|covered_by| Unreachable {
                covered_by,
                position,
            })
        })
        .collect()
}

fn closed_list_covers(
    earlier: &Option<Vec<String>>,
    later: &Option<Vec<String>>,
    all: &IndexSet<&str>,
) -> bool {
    match (earlier, later) {
        (Some(earlier), None) => all.iter().all(|name| earlier.iter().any(|e| e == name)),
        _ => list_covers(earlier, later),
    }
}

fn list_covers(earlier: &Option<Vec<String>>, later: &Option<Vec<String>>) -> bool {
    match (earlier, later) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(earlier), Some(later)) => {
            let earlier: IndexSet<&String> = earlier.iter().collect();
            later.iter().all(|name| earlier.contains(name))
        }
    }
}

fn range_covers(earlier: Range, later: Range) -> bool {
    let below = earlier.min.unwrap_or(0) <= later.min.unwrap_or(0);
    let above = earlier.max.unwrap_or(u32::MAX) >= later.max.unwrap_or(u32::MAX);
    below && above
}
