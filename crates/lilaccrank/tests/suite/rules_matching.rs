//! Matching, against a naive matcher that tries every rule from the top.

use indexmap::IndexMap;
use lilaccrank::document::{Customer, Document, Hours, Load, Pool, Range, Rule, Then, When};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::request::Facts;
use lilaccrank::rules::condition::Environment;
use lilaccrank::rules::matching::{Decision, RuleSet};
use quickcheck::{Arbitrary, Gen};

use crate::seeded;

pub const NAMES: [&str; 3] = ["a", "b", "c"];
pub const PATHS: [&str; 3] = ["/v1", "/v1/chat", "/jobs"];

fn name(g: &mut Gen) -> String {
    (*g.choose(&NAMES).unwrap()).to_owned()
}

fn names(g: &mut Gen) -> Vec<String> {
    let size = *g.choose(&[1, 1, 2, 5]).unwrap();
    (0..size).map(|_| name(g)).collect()
}

/// `Some` for about one in `odds`, so that rules of few conditions are common.
fn seldom<T>(g: &mut Gen, odds: u8, make: impl FnOnce(&mut Gen) -> T) -> Option<T> {
    (u8::arbitrary(g) % odds == 0).then(|| make(g))
}

pub fn when(g: &mut Gen) -> When {
    When {
        customer: seldom(g, 3, names),
        data_centre: seldom(g, 4, names),
        header: seldom(g, 5, |g| IndexMap::from([("x-site".to_owned(), name(g))])),
        hours: seldom(g, 5, |g| {
            let from = u8::arbitrary(g) % 24;
            let to = (from + 1 + u8::arbitrary(g) % 22) % 24 + 1;
            Hours { from, to }
        }),
        idempotent: seldom(g, 5, bool::arbitrary),
        load: seldom(g, 5, |g| Load {
            pool: name(g),
            waiting_at_least: usize::arbitrary(g) % 4,
        }),
        model: seldom(g, 3, names),
        path: seldom(g, 4, |g| (*g.choose(&PATHS).unwrap()).to_owned()),
        prompt_tokens: seldom(g, 5, |g| {
            let min = u32::arbitrary(g) % 4;
            Range {
                max: seldom(g, 2, |g| min + u32::arbitrary(g) % 4),
                min: seldom(g, 2, |_| min),
            }
        }),
        tier: seldom(g, 4, names),
    }
}

/// A document and a request.
#[derive(Clone, Debug)]
pub struct Case {
    pub document: Document,
    pub environment: Environment,
    pub facts: Facts,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 12;
        let rules = (0..count).map(|n| rule(g, n)).collect();
        Self {
            document: document(rules),
            environment: Environment {
                hour: u8::arbitrary(g) % 24,
                waiting: IndexMap::from([(name(g), usize::arbitrary(g) % 6)]),
                ..Environment::default()
            },
            facts: Facts {
                customer: name(g),
                data_centre: name(g),
                headers: IndexMap::from([("x-site".to_owned(), name(g))]),
                idempotent: bool::arbitrary(g),
                model: seldom(g, 2, name),
                path: format!("{}/x", g.choose(&PATHS).unwrap()),
                prompt_tokens: u32::arbitrary(g) % 8,
                requested_tier: seldom(g, 2, |g| u8::arbitrary(g) % 3),
                ..Facts::default()
            },
        }
    }
}

fn rule(g: &mut Gen, n: usize) -> Rule {
    let refuse = seldom(g, 4, |_| "closed".to_owned());
    Rule {
        id: format!("rule-{n}"),
        then: Then {
            pool: refuse.is_none().then(|| name(g)),
            refuse,
            tier: seldom(g, 3, name),
            ..Then::default()
        },
        when: when(g),
    }
}

/// Three customers, pools and tiers; customer `c` may not use tier `a`.
pub fn document(rules: Vec<Rule>) -> Document {
    let owned = NAMES.map(str::to_owned);
    let customers = owned.iter().map(|id| Customer {
        id: id.clone(),
        tiers: owned[usize::from(id == "c")..].to_vec(),
        ..Customer::default()
    });
    let pools = owned.iter().map(|id| Pool {
        id: id.clone(),
        ..Pool::default()
    });
    Document {
        customers: customers.collect(),
        operators: vec![],
        pools: pools.collect(),
        rules,
        tiers: owned.to_vec(),
        ..Document::default()
    }
}

fn naive_matches(when: &When, facts: &Facts, environment: &Environment, tier: &str) -> bool {
    let hours_of = |hours: Hours| {
        let mut hour = hours.from;
        let mut listed = vec![hour];
        while (hour + 1) % 24 != hours.to % 24 {
            hour = (hour + 1) % 24;
            listed.push(hour);
        }
        listed
    };
    let waiting = |pool: &String| environment.waiting.get(pool).map_or(0, |count| *count);
    let model = facts.model.clone().unwrap_or_default();
    [
        when.customer.as_ref().map(|c| c.contains(&facts.customer)),
        when.data_centre
            .as_ref()
            .map(|d| d.contains(&facts.data_centre)),
        when.header
            .as_ref()
            .map(|h| h["x-site"] == facts.headers["x-site"]),
        when.hours.map(|h| hours_of(h).contains(&environment.hour)),
        when.idempotent.map(|i| i == facts.idempotent),
        when.load
            .as_ref()
            .map(|l| waiting(&l.pool) >= l.waiting_at_least),
        when.model.as_ref().map(|m| m.contains(&model)),
        when.path
            .as_ref()
            .map(|p| facts.path.get(..p.len()) == Some(p)),
        when.prompt_tokens.map(|r| {
            (r.min.unwrap_or(0)..=r.max.unwrap_or(u32::MAX)).contains(&facts.prompt_tokens)
        }),
        when.tier.as_ref().map(|t| t.iter().any(|t| t == tier)),
    ]
    .into_iter()
    .all(|holds| holds != Some(false))
}

/// Kind of refusal or tier and pool, and the rule that decided.
#[derive(Debug, PartialEq)]
struct Verdict {
    kind: Option<ErrorKind>,
    pool: Option<String>,
    rule: Option<String>,
    tier: Option<String>,
}

fn naive(case: &Case) -> Verdict {
    let nobody = |kind| Verdict {
        kind: Some(kind),
        pool: None,
        rule: None,
        tier: None,
    };
    let wish = case
        .facts
        .requested_tier
        .map(|wish| NAMES[usize::from(wish)]);
    if case.facts.customer == "c" && wish == Some("a") {
        return nobody(ErrorKind::Forbidden);
    }
    let tier = wish.unwrap_or("c");
    for rule in &case.document.rules {
        if !naive_matches(&rule.when, &case.facts, &case.environment, tier) {
            continue;
        }
        let set = rule.then.tier.clone().unwrap_or(tier.to_owned());
        let refused = rule.then.refuse.is_some();
        return Verdict {
            kind: refused.then_some(ErrorKind::RefusedByRule),
            pool: rule.then.pool.clone(),
            rule: Some(rule.id.clone()),
            tier: (!refused).then_some(set),
        };
    }
    nobody(ErrorKind::NoRule)
}

fn compiled(case: &Case) -> Verdict {
    let rules = RuleSet::compile(&case.document).unwrap();
    match rules.decide(&case.facts, &case.environment) {
        Decision::Refuse(refusal) => Verdict {
            kind: Some(refusal.kind),
            pool: None,
            rule: refusal.rule,
            tier: None,
        },
        Decision::Send(route) => Verdict {
            kind: None,
            pool: Some(route.pool),
            rule: Some(route.rule),
            tier: rules.tier_name(route.tier).map(str::to_owned),
        },
    }
}

#[test]
fn compiled_rules_decide_as_the_naive_matcher() {
    fn holds(case: Case) -> bool {
        compiled(&case) == naive(&case)
    }
    let holds: fn(Case) -> bool = holds;
    seeded::check(5000, holds);
}
