//! Makes configurations of the sizes that are asked for.

use lilaccrank::document::{Customer, Document, Pool, Rule, Target, Then, When};

use crate::layout::{ENGINES, TIERS};

/// Pool of the targets that exist in the configuration only.
const IDLE_POOL: &str = "idle";
/// Where they are said to run.
const IDLE_DATA_CENTRE: &str = "idle";
/// Nothing listens there.
const NO_ADDRESS: &str = "127.0.0.1:1";

/// How much is added to a configuration.
pub(super) struct Sizes {
    pub(super) customers: usize,
    pub(super) rules: usize,
    pub(super) targets: usize,
}

impl Sizes {
    pub(super) fn grow(&self, document: &mut Document) {
        document.customers.extend((0..self.customers).map(customer));
        if self.targets > 0 {
            document.pools.push(Pool {
                id: IDLE_POOL.to_owned(),
                models: vec![IDLE_POOL.to_owned()],
                targets: (0..self.targets).map(target).collect(),
                waiting_limit: 1_000,
                ..Pool::default()
            });
        }
        // Before the others, as special cases are; each matches one path of its own.
        document.rules.splice(0..0, (0..self.rules).map(rule));
    }
}

fn customer(i: usize) -> Customer {
    Customer {
        id: format!("customer-{i}"),
        key_sha256: vec![format!("{i:064x}")],
        tiers: TIERS.map(str::to_owned).into(),
        weight: 1,
        ..Customer::default()
    }
}

fn target(i: usize) -> Target {
    Target {
        address: NO_ADDRESS.to_owned(),
        data_centre: IDLE_DATA_CENTRE.to_owned(),
        id: format!("idle-{i}"),
        slots: 8,
        ..Target::default()
    }
}

fn rule(i: usize) -> Rule {
    Rule {
        id: format!("rule-{i}"),
        then: Then {
            pool: Some(ENGINES.to_owned()),
            ..Then::default()
        },
        when: When {
            path: Some(format!("/paths/{i:05}/")),
            ..When::default()
        },
    }
}
