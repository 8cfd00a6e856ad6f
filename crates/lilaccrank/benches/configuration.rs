//! Cost of matching a request, and of checking and adopting a large configuration.

use std::hint::black_box;
use std::rc::Rc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use indexmap::IndexMap;
use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::{Customer, Document, Pool, Rule, Target, Then, When};
use lilaccrank::ids::Generation;
use lilaccrank::request::Facts;
use lilaccrank::rules::check;
use lilaccrank::rules::condition::Environment;
use lilaccrank::rules::matching::RuleSet;

const CUSTOMERS: usize = 35_000;
const MODELS: usize = 30;
const POOLS: usize = 30;
const TARGETS: usize = 6_700;

/// A third of the rules is for one customer, a third for one model, a third for paths.
fn rules(count: usize) -> Vec<Rule> {
    let rule = |n: usize| {
        let mut when = When::default();
        match n % 3 {
            0 => when.customer = Some(vec![format!("customer-{}", n * 7 % CUSTOMERS)]),
            1 => when.model = Some(vec![format!("model-{}", n % MODELS)]),
            _ => when.path = Some(format!("/service/{n}")),
        }
        when.idempotent = (n % 3 == 1).then_some(false);
        Rule {
            id: format!("rule-{n}"),
            then: Then {
                pool: Some(format!("pool-{}", n % POOLS)),
                ..Then::default()
            },
            when,
        }
    };
    let mut rules: Vec<_> = (0..count - 1).map(rule).collect();
    rules.push(Rule {
        id: "rest".to_owned(),
        then: Then {
            pool: Some("pool-0".to_owned()),
            ..Then::default()
        },
        when: When::default(),
    });
    rules
}

fn document(rule_count: usize, customer_count: usize) -> Document {
    let customers = (0..customer_count).map(|n| Customer {
        id: format!("customer-{n}"),
        key_sha256: vec![format!("{n:064x}")],
        tiers: vec!["urgent".to_owned(), "bulk".to_owned()],
        weight: 1,
        ..Customer::default()
    });
    let target = |pool: usize, n: usize| Target {
        address: format!("10.{pool}.{}.{}:8000", n / 256, n % 256),
        data_centre: format!("data-centre-{}", n % 11),
        id: format!("target-{pool}-{n}"),
        slots: 8,
        ..Target::default()
    };
    let pools = (0..POOLS).map(|pool| Pool {
        id: format!("pool-{pool}"),
        targets: (0..TARGETS / POOLS).map(|n| target(pool, n)).collect(),
        waiting_limit: 10_000,
        ..Pool::default()
    });
    Document {
        customers: customers.collect(),
        operators: vec![],
        pools: pools.collect(),
        rules: rules(rule_count),
        tiers: vec!["urgent".to_owned(), "bulk".to_owned()],
        ..Document::default()
    }
}

fn manifest(generation: Generation, sections: &Sections) -> Manifest {
    Manifest {
        ancestors: vec![],
        author: "bench".to_owned(),
        identity: Identity {
            generation,
            publication: format!("p{generation}"),
        },
        sections: sections.index.clone(),
    }
}

fn matching(c: &mut Criterion) {
    let mut group = c.benchmark_group("decide by the last rule");
    for count in [10, 100, 1_000, 10_000] {
        let rules = RuleSet::compile(&document(count, CUSTOMERS)).expect("it compiles");
        let facts = Facts {
            customer: "customer-7".to_owned(),
            headers: IndexMap::new(),
            idempotent: true,
            model: Some("model-1".to_owned()),
            path: "/v1/completions".to_owned(),
            ..Facts::default()
        };
        let environment = Environment::default();
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            b.iter(|| black_box(rules.decide(black_box(&facts), &environment)));
        });
    }
    group.finish();
}

fn large(c: &mut Criterion) {
    let mut group = c.benchmark_group("35000 customers, 6700 targets, 3000 rules");
    group.sample_size(20);
    let mut document = document(3_000, CUSTOMERS);
    group.bench_function("check", |b| b.iter(|| check::check(black_box(&document))));
    group.bench_function("errors", |b| b.iter(|| check::errors(black_box(&document))));
    group.bench_function("compile", |b| {
        b.iter(|| RuleSet::compile(black_box(&document)))
    });
    group.bench_function("split", |b| {
        b.iter(|| Sections::split(black_box(&document)))
    });
    let first = Sections::split(&document).expect("it splits");
    document.customers[7].weight = 2;
    let second = Sections::split(&document).expect("it splits");
    let sizes: usize = first.contents.values().map(|content| content.len()).sum();
    println!("{} sections of {sizes} bytes", first.index.len());
    let json = serde_json::to_vec(&manifest(1, &first)).expect("it is written");
    println!("manifest of {} bytes", json.len());
    let changed = second
        .contents
        .iter()
        .filter(|(digest, _)| !first.contents.contains_key(*digest));
    let changed: IndexMap<_, _> = changed.map(|(d, c)| (d.clone(), Rc::clone(c))).collect();
    let bytes: Vec<_> = changed.values().map(|content| content.len()).collect();
    println!("changed sections of {bytes:?} bytes");
    let held = || {
        let adoption = Adoption::new();
        adoption
            .adopt(manifest(1, &first), &first.contents)
            .expect("it is adopted");
        adoption
    };
    group.bench_function("adopt one changed customer", |b| {
        let adopt = |adoption: Adoption| {
            adoption
                .adopt(manifest(2, &second), &changed)
                .expect("it is adopted");
            adoption
        };
        b.iter_batched(held, adopt, BatchSize::PerIteration);
    });
    group.finish();
}

criterion_group!(benches, matching, large);
criterion_main!(benches);
