//! Finds the problems of a document before it is published.

use std::fmt::Arguments;
use std::net::SocketAddr;

use indexmap::IndexSet;

use super::check_rule;
use super::coverage;
use super::problem::{Problem, Severity};
use crate::document::{Customer, Document, Operator, Pool, Quota, Rule, Target};
use crate::ids::Tier;

const KEY_DIGEST_LENGTH: usize = 64;

/// The names that rules and customers may refer to.
#[derive(PartialEq)]
pub(super) struct Names<'a> {
    pub(super) customers: IndexSet<&'a str>,
    pub(super) data_centres: IndexSet<&'a str>,
    pub(super) pools: IndexSet<&'a str>,
    pub(super) tiers: IndexSet<&'a str>,
}

/// Every problem of `document`, in the order of its sections.
#[must_use]
pub fn check(document: &Document) -> Vec<Problem> {
    let mut problems = check_parts(document);
    check_reachable(document, &mut problems);
    problems
}

/// The problems that prevent publishing, found without comparing rules with each other.
#[must_use]
pub fn errors(document: &Document) -> Vec<Problem> {
    let mut checker = Checker::new(document);
    checker.check_rules(0, &document.rules);
    checker.into_errors()
}

fn check_parts(document: &Document) -> Vec<Problem> {
    let mut checker = Checker::new(document);
    checker.check_rules(0, &document.rules);
    checker.problems
}

/// Checks a document, its rules some at a time.
pub struct Checker<'a> {
    names: Names<'a>,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    /// Checks all but the rules one by one.
    #[must_use]
    pub fn new(document: &'a Document) -> Self {
        let names = Names::new(document);
        let mut problems = Vec::new();
        check_tiers(document, &mut problems);
        check_customers(document, &names, &mut problems);
        check_operators(document, &mut problems);
        check_pools(document, &mut problems);
        let ids = document.rules.iter().map(|rule| &rule.id);
        check_ids(ids, "/rules", "/id", &mut problems);
        Self { names, problems }
    }

    /// Checks some rules, the first of which is at this position of the document.
    pub fn check_rules(&mut self, first: usize, rules: &[Rule]) {
        for (position, rule) in (first..).zip(rules) {
            let spot = format!("/rules/{position}");
            check_rule::check_rule(rule, &self.names, &spot, &mut self.problems);
        }
    }

    /// Returns the problems that prevent publishing.
    #[must_use]
    pub fn into_errors(mut self) -> Vec<Problem> {
        let is_error = |problem: &Problem| problem.severity == Severity::Error;
        self.problems.retain(is_error);
        self.problems
    }
}

/// Returns `true` if the same names can be referred to in both documents, so that a rule that is sound and
/// compiled in one of them is so in the other.
#[must_use]
pub fn have_same_names(a: &Document, b: &Document) -> bool {
    a.tiers == b.tiers && Names::new(a) == Names::new(b)
}

/// Whether a list of problems holds one that prevents publishing.
#[must_use]
pub fn has_error(problems: &[Problem]) -> bool {
    let mut severities = problems.iter().map(|problem| problem.severity);
    severities.any(|severity| severity == Severity::Error)
}

impl<'a> Names<'a> {
    fn new(document: &'a Document) -> Self {
        let targets = document.pools.iter().flat_map(|pool| &pool.targets);
        Self {
            customers: document.customers.iter().map(|c| c.id.as_str()).collect(),
            data_centres: targets.map(|t| t.data_centre.as_str()).collect(),
            pools: document.pools.iter().map(|pool| pool.id.as_str()).collect(),
            tiers: document.tiers.iter().map(String::as_str).collect(),
        }
    }
}

/// Reports each name in `used` that is not in `known`.
pub(super) fn check_known<'a>(
    used: impl IntoIterator<Item = &'a String>,
    known: &IndexSet<&str>,
    what: &str,
    spot: Arguments<'_>,
    problems: &mut Vec<Problem>,
) {
    for (position, name) in used.into_iter().enumerate() {
        if !known.contains(name.as_str()) {
            let message = format!("there is no {what} {name:?}");
            let hint = format!("define it, or correct the name of the {what}");
            problems.push(Problem::error(format!("{spot}/{position}"), message, hint));
        }
    }
}

/// Reports each empty id and each one that stands twice.
fn check_ids<'a>(
    ids: impl Iterator<Item = &'a String>,
    spot: &str,
    field: &str,
    problems: &mut Vec<Problem>,
) {
    let mut seen = IndexSet::new();
    for (position, id) in ids.enumerate() {
        let pointer = || format!("{spot}/{position}{field}");
        if id.is_empty() {
            problems.push(Problem::error(pointer(), "the id is empty", "name it"));
        }
        if !seen.insert(id) {
            let message = format!("the id {id:?} stands twice");
            problems.push(Problem::error(pointer(), message, "give each its own id"));
        }
    }
}

fn check_tiers(document: &Document, problems: &mut Vec<Problem>) {
    check_ids(document.tiers.iter(), "/tiers", "", problems);
    if document.tiers.len() > usize::from(Tier::MAX) {
        let message = format!("more than {} tiers", Tier::MAX);
        problems.push(Problem::error("/tiers", message, "use fewer tiers"));
    }
}

fn check_customers(document: &Document, names: &Names<'_>, problems: &mut Vec<Problem>) {
    let ids = document.customers.iter().map(|customer| &customer.id);
    check_ids(ids, "/customers", "/id", problems);
    let mut keys = IndexSet::new();
    for (position, customer) in document.customers.iter().enumerate() {
        let spot = format_args!("/customers/{position}");
        check_customer(customer, names, spot, problems);
        check_keys(&customer.key_sha256, &mut keys, spot, problems);
    }
}

fn check_customer(
    customer: &Customer,
    names: &Names<'_>,
    spot: Arguments<'_>,
    problems: &mut Vec<Problem>,
) {
    let tiers = format_args!("{spot}/tiers");
    if customer.tiers.is_empty() {
        let hint = "list the tiers it may wish for, the usual one last";
        problems.push(Problem::error(
            tiers.to_string(),
            "the customer has no tier",
            hint,
        ));
    }
    check_known(&customer.tiers, &names.tiers, "tier", tiers, problems);
    if let Some(quota) = &customer.quota {
        check_quota(quota, &format!("{spot}/quota"), problems);
    }
    if customer.weight == 0 {
        let message = "a weight of 0 would starve the customer";
        problems.push(Problem::error(
            format!("{spot}/weight"),
            message,
            "use 1 or more",
        ));
    }
}

fn check_quota(quota: &Quota, spot: &str, problems: &mut Vec<Problem>) {
    for (field, value) in [("burst", quota.burst), ("per_s", quota.per_s)] {
        if !value.is_finite() || value <= 0.0 {
            let pointer = format!("{spot}/{field}");
            let hint = "use a number above 0, or leave the quota out";
            problems.push(Problem::error(pointer, "nothing could pass", hint));
        }
    }
}

fn check_operators(document: &Document, problems: &mut Vec<Problem>) {
    let ids = document.operators.iter().map(|operator| &operator.id);
    check_ids(ids, "/operators", "/id", problems);
    let mut keys = IndexSet::new();
    for (position, Operator { key_sha256, .. }) in document.operators.iter().enumerate() {
        check_keys(
            key_sha256,
            &mut keys,
            format_args!("/operators/{position}"),
            problems,
        );
    }
}

/// A key must name one holder, else one customer would be taken for another.
fn check_keys<'a>(
    digests: &'a [String],
    seen: &mut IndexSet<&'a String>,
    spot: Arguments<'_>,
    problems: &mut Vec<Problem>,
) {
    for (position, digest) in digests.iter().enumerate() {
        let pointer = || format!("{spot}/key_sha256/{position}");
        let is_digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if digest.len() != KEY_DIGEST_LENGTH || !digest.bytes().all(is_digit) {
            let hint = "give SHA-256 of the key as 64 lower-case hexadecimal digits";
            problems.push(Problem::error(pointer(), "not a digest of a key", hint));
        }
        if !seen.insert(digest) {
            let hint = "give each holder keys of its own";
            problems.push(Problem::error(pointer(), "the key is used twice", hint));
        }
    }
}

fn check_pools(document: &Document, problems: &mut Vec<Problem>) {
    check_ids(
        document.pools.iter().map(|pool| &pool.id),
        "/pools",
        "/id",
        problems,
    );
    let mut targets = IndexSet::new();
    for (position, pool) in document.pools.iter().enumerate() {
        let spot = format!("/pools/{position}");
        check_pool(pool, &spot, problems);
        for (position, target) in pool.targets.iter().enumerate() {
            let spot = format_args!("{spot}/targets/{position}");
            check_target(target, spot, problems);
            if !targets.insert(&target.id) {
                let message = format!("the target {:?} stands twice", target.id);
                let hint = "give each target its own id, over all pools";
                problems.push(Problem::error(format!("{spot}/id"), message, hint));
            }
        }
    }
}

fn check_pool(pool: &Pool, spot: &str, problems: &mut Vec<Problem>) {
    if pool.targets.is_empty() && !pool.listed {
        let hint = "add a target; until then its requests are refused";
        let pointer = format!("{spot}/targets");
        problems.push(Problem::warning(pointer, "the pool has no target", hint));
    }
    if pool.waiting_limit == 0 {
        let pointer = format!("{spot}/waiting_limit");
        problems.push(Problem::error(
            pointer,
            "nothing could wait",
            "use 1 or more",
        ));
    }
}

fn check_target(target: &Target, spot: Arguments<'_>, problems: &mut Vec<Problem>) {
    if target.address.parse::<SocketAddr>().is_err() {
        let hint = "give an IP number and a port, as in 10.0.0.7:8000";
        let message = format!("{:?} is not an address", target.address);
        problems.push(Problem::error(format!("{spot}/address"), message, hint));
    }
    if target.data_centre.is_empty() {
        let pointer = format!("{spot}/data_centre");
        problems.push(Problem::error(
            pointer,
            "the data centre is empty",
            "name it",
        ));
    }
    if target.slots == 0 {
        let pointer = format!("{spot}/slots");
        let hint = "use 1 or more, or set the state to draining";
        problems.push(Problem::error(
            pointer,
            "nothing could run on the target",
            hint,
        ));
    }
}

fn check_reachable(document: &Document, problems: &mut Vec<Problem>) {
    for unreachable in coverage::unreachable(document) {
        let earlier = &document.rules[unreachable.covered_by].id;
        let message = format!("no request reaches the rule: rule {earlier:?} takes them all");
        let hint = format!("move it before {earlier:?}, narrow that rule, or delete this one");
        let pointer = format!("/rules/{}", unreachable.position);
        problems.push(Problem::warning(pointer, message, hint));
    }
}
