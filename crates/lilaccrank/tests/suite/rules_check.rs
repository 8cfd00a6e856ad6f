//! Problems of a document, each at its spot, and explanations of decisions.

use indexmap::IndexMap;
use itertools::iproduct;
use lilaccrank::document::{Document, Rule, When};
use lilaccrank::request::Facts;
use lilaccrank::rules::check;
use lilaccrank::rules::condition::{self, Condition, Environment, Subject};
use lilaccrank::rules::coverage;
use lilaccrank::rules::explain::{self, Verdict};
use lilaccrank::rules::matching::RuleSet;
use lilaccrank::rules::problem::Severity;
use lilaccrank::rules::reading;
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

use crate::{rules_matching, seeded};

fn sound() -> Value {
    json!({
        "customers": [{"id": "quay", "key_sha256": [], "tiers": ["urgent", "bulk"]}],
        "operators": [{"id": "ana", "key_sha256": []}],
        "pools": [{"id": "large", "models": ["m"], "targets": [
            {"address": "127.0.0.1:80", "data_centre": "north", "id": "t1"}
        ]}],
        "rules": [
            {"id": "urgent", "when": {"tier": ["urgent"]}, "then": {"pool": "large"}},
            {"id": "rest", "then": {"pool": "large"}}
        ],
        "tiers": ["urgent", "bulk"]
    })
}

/// Merges `patch` into the sound document at `pointer` and returns the problems' spots.
fn spots(pointer: &str, patch: Value) -> Vec<(Severity, String)> {
    let mut value = sound();
    match (value.pointer_mut(pointer).unwrap(), patch) {
        (Value::Object(fields), Value::Object(patch)) => fields.extend(patch),
        (spot, patch) => *spot = patch,
    }
    let problems = match reading::read_value(&value) {
        Ok(document) => check::check(&document),
        Err(problems) => problems,
    };
    let spots = problems.into_iter().map(|p| (p.severity, p.pointer));
    spots.collect()
}

/// One mistake in an otherwise sound document, and the spot where it is reported.
macro_rules! problem {
    ($name:ident, $at:literal $patch:tt => $severity:ident $spot:literal) => {
        #[test]
        fn $name() {
            let expected = vec![(Severity::$severity, $spot.to_owned())];
            assert_eq!(spots($at, json!($patch)), expected);
        }
    };
}

problem!(bad_address, "/pools/0/targets/0" {"address": "host:1"} => Error "/pools/0/targets/0/address");
problem!(bad_hours, "/rules/0/when" {"hours": {"from": 3, "to": 25}} => Error "/rules/0/when/hours");
problem!(bad_key, "/customers/0" {"key_sha256": ["xyz"]} => Error "/customers/0/key_sha256/0");
problem!(bad_range, "/rules/0/when" {"prompt_tokens": {"min": 9, "max": 3}} => Error "/rules/0/when/prompt_tokens");
problem!(bad_rate, "/rules/0/then" {"limit": {"rate_per_s": -1.0}} => Error "/rules/0/then/limit/rate_per_s");
problem!(both_outcomes, "/rules/0/then" {"refuse": "no"} => Error "/rules/0/then");
problem!(doubled_id, "/rules/0" {"id": "rest"} => Error "/rules/1/id");
problem!(doubled_tier, "/tiers" ["urgent", "bulk", "bulk"] => Error "/tiers/2");
problem!(empty_limit, "/rules/0/then" {"limit": {}} => Error "/rules/0/then/limit");
problem!(empty_list, "/rules/0/when" {"model": []} => Error "/rules/0/when/model");
problem!(missing_customer, "/rules/0/when" {"customer": ["quai"]} => Error "/rules/0/when/customer/0");
problem!(missing_data_centre, "/rules/1/then" {"spill": ["nort"]} => Error "/rules/1/then/spill/0");
problem!(missing_load_pool, "/rules/0/when" {"load": {"pool": "x", "waiting_at_least": 1}} => Error "/rules/0/when/load/pool");
problem!(missing_pool, "/rules/0/then" {"pool": "larg"} => Error "/rules/0/then/pool");
problem!(missing_tier, "/rules/0/then" {"tier": "urgen"} => Error "/rules/0/then/tier");
problem!(neither_outcome, "/rules/0/then" {"pool": null} => Error "/rules/0/then");
problem!(no_target, "/pools/0" {"targets": []} => Warning "/pools/0/targets");
problem!(unknown_field_in_target, "/pools/0/targets/0" {"slot": 1} => Error "/pools/0/targets/0/slot");
problem!(unknown_field_in_when, "/rules/1" {"when": {"a/b": 1}} => Error "/rules/1/when/a~1b");
problem!(unknown_field_on_top, "" {"rule": []} => Error "/rule");
problem!(unreachable_rule, "/rules/0/when" {"tier": ["bulk", "urgent"]} => Warning "/rules/1");
problem!(upper_case_header, "/rules/0/when" {"header": {"X-Site": "a"}} => Error "/rules/0/when/header/X-Site");
problem!(wrong_type, "/rules/0/then/pool" 7 => Error "/rules/0/then");

#[test]
fn a_sound_document_has_no_problem() {
    assert_eq!(spots("", json!({})), vec![]);
}

#[test]
fn every_bad_part_is_reported_at_once() {
    let rules = json!([{"id": "a"}, {"id": "b", "then": {"pol": "x"}, "when": {"teir": []}}]);
    let found = spots("/rules", rules);
    let pointers: Vec<_> = found.iter().map(|(_, spot)| spot.as_str()).collect();
    assert_eq!(
        pointers,
        ["/rules/0", "/rules/1/when/teir", "/rules/1/then/pol"]
    );
}

#[test]
fn an_explanation_names_the_first_condition_that_failed() {
    let mut value = sound();
    value["rules"][0]["when"]["model"] = json!(["m"]);
    let document = reading::read_value(&value).unwrap();
    let rules = RuleSet::compile(&document).unwrap();
    let facts = Facts {
        customer: "quay".to_owned(),
        model: Some("other".to_owned()),
        requested_tier: Some(0),
        ..Facts::default()
    };
    let explained = explain::explain(&document, &rules, &facts, &Environment::default());
    let fails = Verdict::Fails {
        condition: Condition::Model,
        found: "other".to_owned(),
        wanted: r#"["m"]"#.to_owned(),
    };
    assert_eq!(explained.rules[0].verdict, fails);
    let decides = Verdict::Decides { conditions: vec![] };
    assert_eq!(explained.rules[1].verdict, decides);
}

/// Whether an earlier condition covers a later one, where generated ones seldom meet.
macro_rules! covers {
    ($name:ident, $earlier:tt, $later:tt => $expected:literal) => {
        #[test]
        fn $name() {
            let when = |value| serde_json::from_value::<When>(value).unwrap();
            let (earlier, later) = (when(json!($earlier)), when(json!($later)));
            assert_eq!(escapes(&earlier, &later), !$expected);
            let found = coverage::unreachable(&document(&[earlier, later]));
            assert_eq!(!found.is_empty(), $expected);
        }
    };
}

covers!(higher_load, {"load": {"pool": "a", "waiting_at_least": 1}}, {"load": {"pool": "a", "waiting_at_least": 2}} => true);
covers!(lower_load, {"load": {"pool": "a", "waiting_at_least": 2}}, {"load": {"pool": "a", "waiting_at_least": 1}} => false);
covers!(midnight, {"hours": {"from": 1, "to": 24}}, {"hours": {"from": 22, "to": 1}} => false);
covers!(night, {"hours": {"from": 22, "to": 4}}, {"hours": {"from": 0, "to": 3}} => true);
covers!(other_load, {"load": {"pool": "a", "waiting_at_least": 1}}, {"load": {"pool": "b", "waiting_at_least": 2}} => false);

/// Conditions of up to three rules, few enough for brute force.
#[derive(Clone, Debug)]
struct Conditions(Vec<When>);

impl Arbitrary for Conditions {
    /// Rules that are alike in most conditions: independent ones hardly ever cover each other.
    fn arbitrary(g: &mut Gen) -> Self {
        let base = sparse(g);
        let count = 2 + usize::arbitrary(g) % 2;
        let whens = (0..count).map(|_| {
            let other = sparse(g);
            pick(g, &base, &other, 4)
        });
        Self(whens.collect())
    }
}

/// About half of the conditions of a generated rule.
fn sparse(g: &mut Gen) -> When {
    let when = rules_matching::when(g);
    pick(g, &when, &When::default(), 2)
}

/// Each condition from `usual` or, one time in `odds`, from `other`.
fn pick(g: &mut Gen, usual: &When, other: &When, odds: u8) -> When {
    let mut from = || {
        if u8::arbitrary(g) % odds == 0 {
            other
        } else {
            usual
        }
    };
    When {
        customer: from().customer.clone(),
        data_centre: from().data_centre.clone(),
        header: from().header.clone(),
        hours: from().hours,
        idempotent: from().idempotent,
        load: from().load.clone(),
        model: from().model.clone(),
        path: from().path.clone(),
        prompt_tokens: from().prompt_tokens,
        tier: from().tier.clone(),
    }
}

/// The values of one fact that can matter: all if some rule looks at it, else any.
fn values<T: Clone>(all: Vec<T>, looked_at: bool) -> Vec<T> {
    if looked_at { all } else { all[..1].to_vec() }
}

/// Whether some request matches `later` and not `earlier`, by trying every one.
fn escapes(earlier: &When, later: &When) -> bool {
    let any = |look: fn(&When) -> bool| look(earlier) || look(later);
    let names = || rules_matching::NAMES.map(str::to_owned).to_vec();
    let open_names = || [names(), vec!["z".to_owned()]].concat();
    let paths = ["/v1/x", "/v1/chat/x", "/jobs/x", "/other"].map(str::to_owned);
    let customers = values(names(), any(|w| w.customer.is_some()));
    let data_centres = values(open_names(), any(|w| w.data_centre.is_some()));
    let headers = values(open_names(), any(|w| w.header.is_some()));
    let hours = values((0..24).collect(), any(|w| w.hours.is_some()));
    let idempotent = values(vec![false, true], any(|w| w.idempotent.is_some()));
    let waiting = values((0..4).collect(), any(|w| w.load.is_some()));
    let models = values(open_names(), any(|w| w.model.is_some()));
    let paths = values(paths.to_vec(), any(|w| w.path.is_some()));
    let lengths = values((0..9).collect(), any(|w| w.prompt_tokens.is_some()));
    let tiers = values(names(), any(|w| w.tier.is_some()));
    let requests = iproduct!(
        customers,
        data_centres,
        headers,
        idempotent,
        models,
        paths,
        lengths
    );
    let environments = iproduct!(hours, waiting.clone(), waiting.clone(), waiting);
    let environments: Vec<_> = environments
        .map(|(hour, a, b, c)| Environment {
            hour,
            waiting: names().into_iter().zip([a, b, c]).collect(),
            ..Environment::default()
        })
        .collect();
    for (customer, data_centre, site, idempotent, model, path, prompt_tokens) in requests {
        let facts = Facts {
            customer,
            data_centre,
            headers: IndexMap::from([("x-site".to_owned(), site)]),
            idempotent,
            model: Some(model),
            path,
            prompt_tokens,
            ..Facts::default()
        };
        for (environment, tier) in iproduct!(&environments, &tiers) {
            let subject = Subject {
                environment,
                facts: &facts,
                tier,
            };
            let matches = |when| condition::first_failure(when, subject).is_none();
            if matches(later) && !matches(earlier) {
                return true;
            }
        }
    }
    false
}

#[test]
fn a_rule_is_unreachable_if_no_request_escapes_an_earlier_one() {
    fn holds(conditions: Conditions) -> bool {
        let whens = &conditions.0;
        let expected: Vec<usize> = (0..whens.len())
            .filter(|later| (0..*later).any(|earlier| !escapes(&whens[earlier], &whens[*later])))
            .collect();
        let found = coverage::unreachable(&document(whens));
        found.iter().map(|found| found.position).eq(expected)
    }
    let holds: fn(Conditions) -> bool = holds;
    seeded::check(2000, holds);
}

fn document(whens: &[When]) -> Document {
    let rules = whens.iter().enumerate().map(|(n, when)| Rule {
        id: n.to_string(),
        when: when.clone(),
        ..Rule::default()
    });
    rules_matching::document(rules.collect())
}
