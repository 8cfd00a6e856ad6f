//! The conditions of a rule, tested one by one against a request.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::document::When;
use crate::ids::PoolId;
use crate::request::Facts;

/// What the rules look at beside the request itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Environment {
    /// A number by which requests are spread over the pools of a split.
    #[serde(default)]
    pub draw: u32,
    /// Hour of the day in UTC, 0 to 23.
    pub hour: u8,
    /// Requests that wait in each pool's queue in this data centre.
    pub waiting: IndexMap<PoolId, usize>,
}

/// One kind of condition, named as in the document.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The customer.
    #[display("customer")]
    Customer,
    /// Data centre of the entry daemon.
    #[display("data_centre")]
    DataCentre,
    /// A request header.
    #[display("header")]
    Header,
    /// Hour of the day.
    #[display("hours")]
    Hours,
    /// Whether the request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Requests waiting in a pool.
    #[display("load")]
    Load,
    /// The model.
    #[display("model")]
    Model,
    /// Prefix of the path.
    #[display("path")]
    Path,
    /// Prompt length.
    #[display("prompt_tokens")]
    PromptTokens,
    /// The tier wished for.
    #[display("tier")]
    Tier,
}

/// A request as conditions see it.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Load and time.
    pub environment: &'a Environment,
    /// The request.
    pub facts: &'a Facts,
    /// Name of the tier wished for or, without a wish, of the customer's last tier.
    pub tier: &'a str,
}

impl Condition {
    /// Every condition, the cheapest to test first.
    pub const ALL: [Self; 10] = [
        Self::Idempotent,
        Self::PromptTokens,
        Self::Hours,
        Self::Tier,
        Self::Model,
        Self::Path,
        Self::DataCentre,
        Self::Load,
        Self::Header,
        Self::Customer,
    ];

    /// Whether this condition of `when` holds; an absent one does.
    #[must_use]
    pub fn holds(self, when: &When, subject: Subject<'_>) -> bool {
        let facts = subject.facts;
        match self {
            Self::Customer => one_of(when.customer.as_deref(), Some(&facts.customer)),
            Self::DataCentre => one_of(when.data_centre.as_deref(), Some(&facts.data_centre)),
            Self::Header => when.header.iter().flatten().all(|(name, value)| {
                let found = facts.headers.get(name);
                found == Some(value)
            }),
            Self::Hours => when
                .hours
                .is_none_or(|hours| hours.contains(subject.environment.hour)),
            Self::Idempotent => when.idempotent.is_none_or(|want| want == facts.idempotent),
            Self::Load => when.load.as_ref().is_none_or(|load| {
                let waiting = subject.environment.waiting.get(&load.pool);
                waiting.copied().unwrap_or(0) >= load.waiting_at_least
            }),
            Self::Model => one_of(when.model.as_deref(), facts.model.as_deref()),
            Self::Path => when
                .path
                .as_ref()
                .is_none_or(|prefix| facts.path.starts_with(prefix)),
            Self::PromptTokens => when
                .prompt_tokens
                .is_none_or(|range| range.contains(facts.prompt_tokens)),
            Self::Tier => one_of(when.tier.as_deref(), Some(subject.tier)),
        }
    }
}

/// The first condition of `when` that does not hold.
#[must_use]
pub fn first_failure(when: &When, subject: Subject<'_>) -> Option<Condition> {
    Condition::ALL
        .into_iter()
        .find(|condition| !condition.holds(when, subject))
}

fn one_of(wanted: Option<&[String]>, found: Option<&str>) -> bool {
    wanted.is_none_or(|wanted| {
        found.is_some_and(|found| wanted.iter().any(|candidate| candidate == found))
    })
}
