//! Why each rule did or did not match a request.

use serde::{Deserialize, Serialize};

use super::condition::{self, Condition, Environment, Subject};
use super::matching::{Decision, Refusal, RuleSet};
use crate::document::{Document, When};
use crate::ids::RuleId;
use crate::request::Facts;

/// What the rules say about a request, rule by rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The decision in force.
    pub decision: Decision,
    /// Every rule in order; empty if the request is refused before the rules are asked.
    pub rules: Vec<RuleVerdict>,
}

/// What one rule says about a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RuleVerdict {
    /// The rule.
    pub rule: RuleId,
    /// Why it does or does not match.
    pub verdict: Verdict,
}

/// Why a rule does or does not match.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It matches and is the first that does.
    Decides {
        /// Its conditions, all of which hold.
        conditions: Vec<Condition>,
    },
    /// A condition does not hold.
    Fails {
        /// The first condition that fails.
        condition: Condition,
        /// What the request has.
        found: String,
        /// What the rule asks for.
        wanted: String,
    },
    /// It would match, but an earlier rule decides.
    TooLate {
        /// Its conditions, all of which hold.
        conditions: Vec<Condition>,
    },
}

/// Explains the decision on a request.
#[must_use]
pub fn explain(
    document: &Document,
    rules: &RuleSet,
    facts: &Facts,
    environment: &Environment,
) -> Explanation {
    let decision = rules.decide(facts, environment);
    let tier = match rules.tier(facts) {
        Ok(tier) => rules.tier_name(tier).unwrap_or_default(),
        Err(Refusal { .. }) => {
            return Explanation {
                decision,
                rules: Vec::new(),
            };
        }
    };
    let subject = Subject {
        environment,
        facts,
        tier,
    };
    let mut decided = false;
    let verdicts = document.rules.iter().map(|rule| RuleVerdict {
        rule: rule.id.clone(),
        verdict: verdict(&rule.when, subject, &mut decided),
    });
    let rules = verdicts.collect();
    Explanation { decision, rules }
}

fn verdict(when: &When, subject: Subject<'_>, decided: &mut bool) -> Verdict {
    if let Some(condition) = condition::first_failure(when, subject) {
        return Verdict::Fails {
            condition,
            found: found(condition, when, subject),
            wanted: wanted(condition, when),
        };
    }
    let given = |condition: &Condition| wanted(*condition, when) != ABSENT;
    let conditions = Condition::ALL.into_iter().filter(given).collect();
    if std::mem::replace(decided, true) {
        Verdict::TooLate { conditions }
    } else {
        Verdict::Decides { conditions }
    }
}

const ABSENT: &str = "null";

/// The condition as the document has it, in JSON.
fn wanted(condition: Condition, when: &When) -> String {
    let when = serde_json::to_value(when).unwrap_or_default();
    when[condition.to_string()].to_string()
}

fn found(condition: Condition, when: &When, subject: Subject<'_>) -> String {
    let facts = subject.facts;
    match condition {
        Condition::Customer => facts.customer.clone(),
        Condition::DataCentre => facts.data_centre.clone(),
        Condition::Header => {
            let names = when.header.iter().flatten().map(|(name, _)| name);
            let found = names.map(|name| match facts.headers.get(name) {
                Some(value) => format!("{name}: {value}"),
                None => format!("no {name}"),
            });
            found.collect::<Vec<_>>().join(", ")
        }
        Condition::Hours => subject.environment.hour.to_string(),
        Condition::Idempotent => facts.idempotent.to_string(),
        Condition::Load => {
            let load = when.load.as_ref();
            let waiting = load.and_then(|load| subject.environment.waiting.get(&load.pool));
            waiting.copied().unwrap_or(0).to_string()
        }
        Condition::Model => facts.model.clone().unwrap_or_else(|| "no model".to_owned()),
        Condition::Path => facts.path.clone(),
        Condition::PromptTokens => facts.prompt_tokens.to_string(),
        Condition::Tier => subject.tier.to_owned(),
    }
}
