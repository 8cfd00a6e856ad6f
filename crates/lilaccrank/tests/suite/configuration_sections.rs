//! Splitting documents into sections.

use lilaccrank::configuration::sections::{self, Error, Sections};
use lilaccrank::document::{Customer, Document, Pool, Rule};
use lilaccrank::store::VALUE_LIMIT;

use crate::seeded;

fn document(customers: usize, rules: usize) -> Document {
    let customers = (0..customers).map(|n| Customer {
        id: format!("customer-{n}"),
        key_sha256: vec![format!("{n:064x}")],
        ..Customer::default()
    });
    let rules = (0..rules).map(|n| Rule {
        id: format!("rule-{n}"),
        ..Rule::default()
    });
    Document {
        customers: customers.collect(),
        rules: rules.collect(),
        ..Document::default()
    }
}

#[test]
fn assembling_gives_back_what_was_split() {
    fn holds(customers: u8, rules: u16) -> bool {
        let mut document = document(customers.into(), usize::from(rules) % 1_500);
        let split = Sections::split(&document).unwrap();
        let mut joined = sections::assemble(&split.index, &split.contents).unwrap();
        joined.customers.sort_by(|a, b| a.id.cmp(&b.id));
        document.customers.sort_by(|a, b| a.id.cmp(&b.id));
        joined == document
    }
    let holds: fn(u8, u16) -> bool = holds;
    seeded::check(100, holds);
}

#[test]
fn sections_of_all_customers_stay_far_below_the_limit() {
    let split = Sections::split(&document(35_000, 10_000)).unwrap();
    let largest = split.contents.values().map(|content| content.len()).max();
    assert!(largest.unwrap() < VALUE_LIMIT / 8, "{largest:?}");
}

#[test]
fn a_rule_put_in_front_changes_few_sections() {
    let mut document = document(0, 3_000);
    let before = Sections::split(&document).unwrap();
    document.rules.insert(0, Rule::default());
    let after = Sections::split(&document).unwrap();
    let new = after.contents.keys();
    let new = new.filter(|digest| !before.contents.contains_key(*digest));
    assert_eq!(new.count(), 1);
}

#[test]
fn a_pool_over_the_limit_is_refused_by_name() {
    let mut document = Document::default();
    document.pools.push(Pool {
        id: "large".to_owned(),
        models: vec!["m".repeat(VALUE_LIMIT)],
        ..Pool::default()
    });
    let split = Sections::split(&document);
    let named = |e: &Error| matches!(e, Error::TooLarge { name, .. } if name == "pools/large");
    assert!(split.is_err_and(|e| named(&e)));
}
