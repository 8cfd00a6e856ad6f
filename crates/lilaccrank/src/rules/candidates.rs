//! An index from customer and model to the rules that can match at all.

use indexmap::IndexMap;

use crate::document::{Rule, When};
use crate::ids::{CustomerId, ModelId};

/// Position of a rule in the document.
pub(super) type Position = usize;

/// Positions of rules, each listed under one of its conditions only.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates {
    by_customer: IndexMap<CustomerId, Vec<Position>>,
    by_model: IndexMap<ModelId, Vec<Position>>,
    others: Vec<Position>,
}

impl Candidates {
    pub(super) fn new(rules: &[Rule]) -> Self {
        let mut candidates = Self::default();
        for (position, rule) in rules.iter().enumerate() {
            candidates.add(position, &rule.when);
        }
        candidates
    }

    fn add(&mut self, position: Position, when: &When) {
        match (&when.customer, &when.model) {
            (Some(customers), _) => list_under(&mut self.by_customer, customers, position),
            (None, Some(models)) => list_under(&mut self.by_model, models, position),
            (None, None) => self.others.push(position),
        }
    }

    /// The conditions of `when` that the index has not already tested.
    pub(super) fn remainder(when: &When) -> When {
        let mut remainder = When {
            customer: None,
            ..when.clone()
        };
        if when.customer.is_none() {
            remainder.model = None;
        }
        remainder
    }

    /// Rules that can match this customer and model, in the order of the document.
    pub(super) fn get(
        &self,
        customer: Option<&str>,
        model: Option<&str>,
    ) -> impl Iterator<Item = Position> {
        let mut lists = [
            listed(&self.by_customer, customer),
            listed(&self.by_model, model),
            &self.others,
        ];
        std::iter::from_fn(move || {
            let next = lists
                .iter_mut()
                .filter(|list| !list.is_empty())
                .min_by_key(|list| list[0])?;
            let (first, rest) = next.split_first()?;
            *next = rest;
            Some(*first)
        })
    }
}

fn list_under(index: &mut IndexMap<String, Vec<Position>>, keys: &[String], position: Position) {
    for key in keys {
        let list = index.entry(key.clone()).or_default();
        if list.last() != Some(&position) {
            list.push(position);
        }
    }
}

fn listed<'a>(index: &'a IndexMap<String, Vec<Position>>, key: Option<&str>) -> &'a [Position] {
    key.and_then(|key| index.get(key))
        .map_or(&[], Vec::as_slice)
}
