//! Matching: a document compiled once, asked for each request.

use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::candidates::Candidates;
use super::condition::{self, Environment, Subject};
use crate::document::{Document, Limit, Rule, Terms, Then, WeightedPool, When};
use crate::error_kind::ErrorKind;
use crate::ids::{CustomerId, DataCentre, PoolId, RuleId, Tier};
use crate::request::Facts;

/// Result of compiling a document.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a document can't be compiled; [`check`](super::check) says more about it.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A rule has neither or both of `pool` and `refuse`.
    #[error("rule {rule} must have either a pool or a refusal")]
    Ambiguous {
        /// The rule.
        rule: RuleId,
    },
    /// A customer may use no tier.
    #[error("customer {customer} has no tier")]
    NoTier {
        /// The customer.
        customer: CustomerId,
    },
    /// A pool is not in the document.
    #[error("rule {rule} sends to pool {pool}, which does not exist")]
    UnknownPool {
        /// The pool.
        pool: PoolId,
        /// The rule.
        rule: RuleId,
    },
    /// A tier is not in the document.
    #[error("{holder} names tier {tier}, which does not exist")]
    UnknownTier {
        /// The rule or customer that names it.
        holder: String,
        /// The tier.
        tier: String,
    },
}

/// What the rules decide about a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It is refused and was not run.
    Refuse(Refusal),
    /// It is sent to a pool.
    Send(Route),
}

/// A refusal by the rules.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// What the caller is told.
    pub kind: ErrorKind,
    /// Why, for people.
    pub reason: String,
    /// The rule that refused, `None` if none came to a decision.
    pub rule: Option<RuleId>,
}

/// Where a request goes, and on what terms.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Limits it must pass.
    pub limit: Option<Limit>,
    /// The pool it goes to.
    pub pool: PoolId,
    /// The rule that decided.
    pub rule: RuleId,
    /// Data centres to try when this one refuses, in order.
    pub spill: Vec<DataCentre>,
    /// On what terms it is sent.
    #[serde(default)]
    pub terms: Terms,
    /// Tier it gets.
    pub tier: Tier,
    /// Longest wait in the queue.
    pub wait_at_most: Option<Duration>,
}

/// Compiled rules, in order.
pub type Block = Vec<Rc<Compiled>>;

/// A compiled document.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    candidates: Candidates,
    customers: IndexMap<CustomerId, Vec<Tier>>,
    rules: Block,
    tiers: IndexSet<String>,
}

/// A compiled rule.
#[derive(Clone, Debug)]
pub struct Compiled {
    action: Action,
    id: RuleId,
    remainder: When,
}

#[derive(Clone, Debug)]
enum Action {
    Refuse { reason: String },
    Send(Template),
}

/// A route without the request's own tier.
#[derive(Clone, Debug)]
struct Template {
    limit: Option<Limit>,
    /// Where it goes, never empty.
    pools: Vec<WeightedPool>,
    spill: Vec<DataCentre>,
    terms: Terms,
    tier: Option<Tier>,
    wait_at_most: Option<Duration>,
}

impl RuleSet {
    /// Resolves names and indexes the rules by customer and model.
    ///
    /// # Errors
    /// The document refers to what it does not contain, or a rule has no single outcome.
    pub fn compile(document: &Document) -> Result<Self> {
        let mut compiler = Compiler::new(document)?;
        let rules = compiler.compile(&document.rules)?;
        compiler.add(&rules);
        Ok(compiler.finish())
    }

    /// The decision of the first rule that matches.
    #[must_use]
    pub fn decide(&self, facts: &Facts, environment: &Environment) -> Decision {
        let tier = match self.tier(facts) {
            Ok(tier) => tier,
            Err(refusal) => return Decision::Refuse(refusal),
        };
        let subject = Subject {
            environment,
            facts,
            tier: &self.tiers[usize::from(tier)],
        };
        self.candidates
            .get(Some(&facts.customer), facts.model.as_deref())
            .map(|position| &self.rules[position])
            .find(|rule| condition::first_failure(&rule.remainder, subject).is_none())
            .map_or_else(no_rule, |rule| rule.decide(tier, environment.draw))
    }

    /// Name of a tier.
    #[must_use]
    pub fn tier_name(&self, tier: Tier) -> Option<&str> {
        self.tiers.get_index(usize::from(tier)).map(String::as_str)
    }

    /// The tier wished for or, without a wish, the last one of the customer.
    ///
    /// # Errors
    /// The customer is unknown, or may not use the tier it wishes for.
    pub fn tier(&self, facts: &Facts) -> Result<Tier, Refusal> {
        if facts.is_anonymous() {
            return Ok(Tier::try_from(self.tiers.len().saturating_sub(1)).unwrap_or(Tier::MAX));
        }
        let Some(allowed) = self.customers.get(&facts.customer) else {
            let reason = format!("customer {} is not in the configuration", facts.customer);
            return Err(refusal(ErrorKind::Unauthorized, reason));
        };
        match facts.requested_tier {
            Some(wish) if allowed.contains(&wish) => Ok(wish),
            Some(wish) => {
                let name = self.tier_name(wish).unwrap_or("unknown");
                let reason = format!("customer {} may not use tier {name}", facts.customer);
                Err(refusal(ErrorKind::Forbidden, reason))
            }
            None => Ok(allowed[allowed.len() - 1]),
        }
    }
}

/// Compiles a document, its rules some at a time.
pub struct Compiler<'a> {
    customers: IndexMap<CustomerId, Vec<Tier>>,
    document: &'a Document,
    pools: IndexSet<&'a str>,
    rules: Block,
    tiers: IndexSet<String>,
}

impl<'a> Compiler<'a> {
    /// Resolves the names of all but the rules.
    ///
    /// # Errors
    /// A customer refers to what the document does not contain.
    pub fn new(document: &'a Document) -> Result<Self> {
        let tiers: IndexSet<String> = document.tiers.iter().cloned().collect();
        let mut customers = IndexMap::with_capacity(document.customers.len());
        for customer in &document.customers {
            let allowed = customer
                .tiers
                .iter()
                .map(|tier| resolve(&tiers, tier, &customer.id))
                .collect::<Result<Vec<_>>>()?;
            if allowed.is_empty() {
                let customer = customer.id.clone();
                return Err(Error::NoTier { customer });
            }
            customers.insert(customer.id.clone(), allowed);
        }
        Ok(Self {
            customers,
            document,
            pools: document.pools.iter().map(|pool| pool.id.as_str()).collect(),
            rules: Block::with_capacity(document.rules.len()),
            tiers,
        })
    }

    /// Compiles rules of the document.
    ///
    /// # Errors
    /// A rule refers to what the document does not contain, or has no single outcome.
    pub fn compile(&self, rules: &[Rule]) -> Result<Block> {
        let compile = |rule| Compiled::new(rule, &self.tiers, &self.pools).map(Rc::new);
        rules.iter().map(compile).collect()
    }

    /// Adds compiled rules behind those added before. They may be of another document with the same names,
    /// see [`have_same_names`](super::check::have_same_names).
    pub fn add(&mut self, rules: &Block) {
        self.rules.extend_from_slice(rules);
    }

    /// Indexes the rules by customer and model, once all of the document were added.
    #[must_use]
    pub fn finish(self) -> RuleSet {
        RuleSet {
            candidates: Candidates::new(&self.document.rules),
            customers: self.customers,
            rules: self.rules,
            tiers: self.tiers,
        }
    }
}

impl Compiled {
    fn new(rule: &Rule, tiers: &IndexSet<String>, pools: &IndexSet<&str>) -> Result<Self> {
        for tier in rule.when.tier.iter().flatten() {
            resolve(tiers, tier, &rule.id)?;
        }
        let then = &rule.then;
        let destinations = destinations(then);
        let action = match (&then.refuse, destinations.is_empty()) {
            (Some(reason), true) => Action::Refuse {
                reason: reason.clone(),
            },
            (None, false) => Action::Send(Template {
                limit: then.limit,
                pools: existing(rule, destinations, pools)?,
                spill: then.spill.clone(),
                terms: then.terms,
                tier: then
                    .tier
                    .as_ref()
                    .map(|tier| resolve(tiers, tier, &rule.id))
                    .transpose()?,
                wait_at_most: then.wait_at_most(),
            }),
            (None, true) | (Some(_), false) => {
                let rule = rule.id.clone();
                return Err(Error::Ambiguous { rule });
            }
        };
        Ok(Self {
            action,
            id: rule.id.clone(),
            remainder: Candidates::remainder(&rule.when),
        })
    }

    fn decide(&self, wished: Tier, draw: u32) -> Decision {
        match &self.action {
            Action::Refuse { reason } => Decision::Refuse(Refusal {
                kind: ErrorKind::RefusedByRule,
                reason: reason.clone(),
                rule: Some(self.id.clone()),
            }),
            Action::Send(template) => Decision::Send(Route {
                limit: template.limit,
                pool: drawn(&template.pools, draw),
                rule: self.id.clone(),
                spill: template.spill.clone(),
                terms: template.terms,
                tier: template.tier.unwrap_or(wished),
                wait_at_most: template.wait_at_most,
            }),
        }
    }
}

/// Where a rule sends: its pool, or those of its split.
fn destinations(then: &Then) -> Vec<WeightedPool> {
    let pool = then.pool.iter().map(|pool| WeightedPool {
        pool: pool.clone(),
        weight: 1,
    });
    pool.chain(then.split.iter().cloned()).collect()
}

fn existing(
    rule: &Rule,
    shares: Vec<WeightedPool>,
    pools: &IndexSet<&str>,
) -> Result<Vec<WeightedPool>> {
    let unknown = shares
        .iter()
        .find(|share| !pools.contains(share.pool.as_str()));
    match unknown {
        Some(share) => Err(Error::UnknownPool {
            pool: share.pool.clone(),
            rule: rule.id.clone(),
        }),
        None => Ok(shares),
    }
}

/// The pool that `draw` falls on, each as often as its weight says.
fn drawn(pools: &[WeightedPool], draw: u32) -> PoolId {
    let sum: u64 = pools.iter().map(|share| u64::from(share.weight)).sum();
    let mut left = match u32::try_from(sum) {
        Ok(sum) => u64::from(draw % sum.max(1)),
        Err(_) => ((u128::from(draw) * u128::from(sum)) >> u32::BITS) as u64,
    };
    for share in pools {
        let weight = u64::from(share.weight);
        if left < weight {
            return share.pool.clone();
        }
        left -= weight;
    }
    pools.first().map(|s| s.pool.clone()).unwrap_or_default()
}

fn no_rule() -> Decision {
    let reason = "no rule matches the request".to_owned();
    Decision::Refuse(refusal(ErrorKind::NoRule, reason))
}

fn refusal(kind: ErrorKind, reason: String) -> Refusal {
    Refusal {
        kind,
        reason,
        rule: None,
    }
}

fn resolve(tiers: &IndexSet<String>, tier: &str, holder: &str) -> Result<Tier> {
    tiers
        .get_index_of(tier)
        .and_then(|position| Tier::try_from(position).ok())
        .ok_or_else(|| Error::UnknownTier {
            holder: holder.to_owned(),
            tier: tier.to_owned(),
        })
}
