//! Terms of rules, splits over pools, and callers that are not known.

use std::time::Duration;

use lilaccrank::clock::{self, Clock};
use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::{
    CallerLimits, Customer, Document, Pool, Quota, QuotaUnit, Rule, Target, Terms, Then,
    WeightedPool, When,
};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::request::Facts;
use lilaccrank::rules::check;
use lilaccrank::rules::condition::Environment;
use lilaccrank::rules::matching::{Decision, RuleSet};

fn pool(id: &str) -> Pool {
    Pool {
        id: id.to_owned(),
        listed: true,
        waiting_limit: 10,
        ..Pool::default()
    }
}

fn document(then: Then) -> Document {
    Document {
        customers: vec![Customer {
            id: "hotel".to_owned(),
            key_sha256: vec!["0".repeat(64)],
            tiers: vec!["bulk".to_owned()],
            weight: 1,
            ..Customer::default()
        }],
        pools: vec![pool("old"), pool("new")],
        rules: vec![Rule {
            id: "all".to_owned(),
            then,
            when: When::default(),
        }],
        tiers: vec!["urgent".to_owned(), "bulk".to_owned()],
        ..Document::default()
    }
}

fn split(weights: [u32; 2]) -> Then {
    let shares = ["old", "new"].into_iter().zip(weights);
    Then {
        split: shares
            .map(|(pool, weight)| WeightedPool {
                pool: pool.to_owned(),
                weight,
            })
            .collect(),
        ..Then::default()
    }
}

fn decide(document: &Document, customer: &str, draw: u32) -> Decision {
    let rules = RuleSet::compile(document).unwrap();
    let facts = Facts {
        customer: customer.to_owned(),
        ..Facts::default()
    };
    let environment = Environment {
        draw,
        ..Environment::default()
    };
    rules.decide(&facts, &environment)
}

/// Weights of two pools, and how many of a hundred draws fall on the first.
macro_rules! splits {
    ($name:ident, $weights:expr, $first:literal) => {
        #[test]
        fn $name() {
            let document = document(split($weights));
            let first = (0..100).filter(|draw| {
                let decision = decide(&document, "hotel", *draw);
                matches!(decision, Decision::Send(route) if route.pool == "old")
            });
            assert_eq!(first.count(), $first);
        }
    };
}

splits!(a_split_falls_by_weight, [9, 1], 90);
splits!(a_weight_of_nothing_gets_nothing, [0, 4], 0);
splits!(equal_weights_halve, [1, 1], 50);

// Guards against a sum of weights that is too large for the type that it is held in.
#[test]
fn the_largest_weights_halve() {
    let document = document(split([u32::MAX, u32::MAX]));
    let first = (0..100).filter(|draw| {
        let decision = decide(&document, "hotel", (2 * draw + 1) * (u32::MAX / 200));
        matches!(decision, Decision::Send(route) if route.pool == "old")
    });
    assert_eq!(first.count(), 50);
}

// Guards against times of a document that are beyond the range of the runtime's timers.
#[test]
fn the_longest_times_are_bounded() {
    let terms = Terms {
        objective_ms: Some(u64::MAX),
        timeout_ms: Some(u64::MAX),
        ..Terms::default()
    };
    let then = Then {
        wait_at_most_ms: Some(u64::MAX),
        ..Then::default()
    };
    let times = [terms.objective(), terms.timeout(), then.wait_at_most()];
    assert_eq!(times, [Some(clock::MAX_TIME); 3]);
}

// A caller without a key reaches a rule that is for everybody, in the last tier; what it may do
// there is the daemon's to check by the rule's terms.
#[test]
fn a_caller_without_a_key_is_matched() {
    let then = Then {
        pool: Some("old".to_owned()),
        terms: Terms {
            anonymous: true,
            ..Terms::default()
        },
        ..Then::default()
    };
    let Decision::Send(route) = decide(&document(then), "", 0) else {
        panic!("refused");
    };
    assert!(route.terms.anonymous);
    assert_eq!(route.tier, 1);
}

// A name that no customer has is no caller without a key: it comes from a configuration that has
// just dropped the customer.
#[test]
fn an_unknown_customer_is_refused() {
    let then = Then {
        pool: Some("old".to_owned()),
        ..Then::default()
    };
    let Decision::Refuse(refusal) = decide(&document(then), "motel", 0) else {
        panic!("sent");
    };
    assert_eq!(refusal.kind, ErrorKind::Unauthorized);
}

/// A document with one fault, and where it is told.
macro_rules! faults {
    ($name:ident, $pointer:literal, $change:expr) => {
        #[test]
        fn $name() {
            let mut document = document(split([1, 1]));
            let change: fn(&mut Document) = $change;
            change(&mut document);
            let problems = check::errors(&document);
            let pointers: Vec<_> = problems.iter().map(|p| p.pointer.as_str()).collect();
            assert_eq!(pointers, [$pointer]);
        }
    };
}

faults!(split_to_no_pool, "/rules/0/then/split/1/pool", |d| {
    d.rules[0].then.split[1].pool = "gone".to_owned();
});
faults!(split_without_weight, "/rules/0/then/split", |d| {
    d.rules[0].then.split = split([0, 0]).split;
});
faults!(split_beside_a_pool, "/rules/0/then", |d| {
    d.rules[0].then.pool = Some("old".to_owned());
});
faults!(no_attempt, "/rules/0/then/terms/attempts", |d| {
    d.rules[0].then.terms.attempts = Some(0);
});
faults!(quota_of_nothing, "/customers/0/quota/per_s", |d| {
    d.customers[0].quota = Some(Quota {
        burst: 1.0,
        per_s: 0.0,
        plain_tokens: 1,
        unit: QuotaUnit::Requests,
    });
});

// A pool without targets of its own is no mistake if the platform's list names them.
#[test]
fn a_listed_pool_needs_no_targets() {
    assert_eq!(check::check(&document(split([1, 1]))), []);
    let mut unlisted = document(split([1, 1]));
    unlisted.pools[0].listed = false;
    unlisted.pools[1].targets = vec![Target {
        address: "10.0.0.1:80".to_owned(),
        data_centre: "portmore".to_owned(),
        id: "t".to_owned(),
        slots: 1,
        ..Target::default()
    }];
    assert_eq!(check::check(&unlisted).len(), 1);
}

fn manifest(generation: u64, document: &Document) -> (Manifest, Sections) {
    let sections = Sections::split(document).unwrap();
    let manifest = Manifest {
        ancestors: Vec::new(),
        author: "ana".to_owned(),
        identity: Identity {
            generation,
            publication: format!("p{generation}"),
        },
        sections: sections.index.clone(),
    };
    (manifest, sections)
}

// Limits on what callers send stand beside the rest of the document, and survive its way through
// the sections.
#[test]
fn limits_of_callers_pass_through_sections() {
    let mut published = document(split([1, 1]));
    published.caller_limits = Some(CallerLimits {
        body_bytes: 4_194_304,
        head_bytes: 16_384,
        head_ms: 3_000,
        idle_ms: 15_000,
    });
    let (manifest, sections) = manifest(1, &published);
    let adoption = Adoption::new();
    let adopted = adoption.adopt(manifest, &sections.contents).unwrap();
    assert_eq!(adopted.document.caller_limits, published.caller_limits);
    assert_eq!(adopted.document.rules, published.rules);
}

// A key is taken away while a daemon is cut off, and then its machine is suspended. Silence proves
// nothing, and a clock that stands still in the suspension would show the last proof as young as
// before: the age counts the time since the machine started.
#[test]
fn the_age_of_a_proof_counts_suspensions() {
    let clock = PausedClock::new();
    clock.advance(Duration::from_secs(60));
    let adoption = Adoption::new();
    adoption.confirm(clock.boot_time());
    assert_eq!(
        adoption.age(clock.boot_time()),
        None,
        "there is nothing to prove"
    );
    let (manifest, sections) = manifest(1, &document(split([1, 1])));
    adoption.adopt(manifest, &sections.contents).unwrap();
    adoption.confirm(clock.boot_time());
    clock.advance(Duration::from_secs(1));
    clock.suspend(Duration::from_secs(4));
    let age = Some(Duration::from_secs(5));
    assert_eq!(adoption.age(clock.boot_time()), age);
    adoption.confirm(Duration::from_secs(1));
    assert_eq!(
        adoption.age(clock.boot_time()),
        age,
        "an older proof proves less"
    );
}
