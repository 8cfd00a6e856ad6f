//! Problems of one rule by itself.

use super::check::{self, Names};
use super::problem::{self, Problem};
use crate::document::{Hours, Limit, Range, Rule, Then, When};

const LAST_HOUR: u8 = 23;

pub(super) fn check_rule(rule: &Rule, names: &Names<'_>, spot: &str, problems: &mut Vec<Problem>) {
    check_lists(&rule.when, names, &format!("{spot}/when"), problems);
    check_ranges(&rule.when, &format!("{spot}/when"), problems);
    check_outcome(&rule.then, names, &format!("{spot}/then"), problems);
    if let Some(limit) = &rule.then.limit {
        check_limit(limit, &format!("{spot}/then/limit"), problems);
    }
}

fn check_lists(when: &When, names: &Names<'_>, spot: &str, problems: &mut Vec<Problem>) {
    let lists = [
        ("customer", &when.customer, Some(&names.customers)),
        ("data_centre", &when.data_centre, Some(&names.data_centres)),
        ("model", &when.model, None),
        ("tier", &when.tier, Some(&names.tiers)),
    ];
    for (field, list, known) in lists {
        let Some(list) = list else { continue };
        let spot = format!("{spot}/{field}");
        if list.is_empty() {
            let hint = "list a name, or leave the condition out";
            problems.push(Problem::error(&spot, "an empty list matches nothing", hint));
        }
        if let Some(known) = known {
            let what = field.replace('_', " ");
            check::check_known(list, known, &what, format_args!("{spot}"), problems);
        }
    }
    if let Some(load) = &when.load
        && !names.pools.contains(load.pool.as_str())
    {
        problems.push(missing_pool(&load.pool, format!("{spot}/load/pool")));
    }
    for name in when.header.iter().flatten().map(|(name, _)| name) {
        if name.is_empty() || *name != name.to_ascii_lowercase() {
            let pointer = format!("{spot}/header/{}", problem::escape(name));
            let message = "no request has a header of this name";
            problems.push(Problem::error(pointer, message, "write it in lower case"));
        }
    }
}

fn check_ranges(when: &When, spot: &str, problems: &mut Vec<Problem>) {
    if let Some(Hours { from, to }) = when.hours {
        let valid = from <= LAST_HOUR && (1..=LAST_HOUR + 1).contains(&to) && from != to;
        if !valid {
            let message = format!("{from} to {to} are not hours of a day");
            let hint = "from is 0 to 23, to is 1 to 24 and differs from it";
            problems.push(Problem::error(format!("{spot}/hours"), message, hint));
        }
    }
    if let Some(Range {
        max: Some(max),
        min: Some(min),
    }) = when.prompt_tokens
        && min > max
    {
        let message = format!("no length is at least {min} and at most {max}");
        let pointer = format!("{spot}/prompt_tokens");
        problems.push(Problem::error(pointer, message, "swap min and max"));
    }
}

fn check_outcome(then: &Then, names: &Names<'_>, spot: &str, problems: &mut Vec<Problem>) {
    match (&then.pool, &then.refuse) {
        (None, None) if !then.split.is_empty() => check_split(then, names, spot, problems),
        (None, None) => {
            let message = "the rule does nothing";
            problems.push(Problem::error(spot, message, "give a pool or a refusal"));
        }
        (Some(_), Some(_)) => {
            let message = "the rule has both a pool and a refusal";
            problems.push(Problem::error(spot, message, "leave one of them out"));
        }
        (Some(pool), None) if !names.pools.contains(pool.as_str()) => {
            problems.push(missing_pool(pool, format!("{spot}/pool")));
        }
        (None, Some(_)) if has_terms(then) => {
            let message = "a refusal has no limit, spill, tier or wait";
            problems.push(Problem::warning(spot, message, "leave them out"));
        }
        (None, Some(_)) | (Some(_), None) => (),
    }
    if !then.split.is_empty() && (then.pool.is_some() || then.refuse.is_some()) {
        let message = "the rule has a split beside a pool or a refusal";
        problems.push(Problem::error(spot, message, "leave one of them out"));
    }
    if then.terms.attempts == Some(0) {
        let pointer = format!("{spot}/terms/attempts");
        problems.push(Problem::error(
            pointer,
            "nothing could run",
            "use 1 or more",
        ));
    }
    if let Some(tier) = &then.tier
        && !names.tiers.contains(tier.as_str())
    {
        let message = format!("there is no tier {tier:?}");
        let hint = "add it to the tiers, or correct the name";
        problems.push(Problem::error(format!("{spot}/tier"), message, hint));
    }
    let spill = format_args!("{spot}/spill");
    check::check_known(
        &then.spill,
        &names.data_centres,
        "data centre",
        spill,
        problems,
    );
}

fn check_split(then: &Then, names: &Names<'_>, spot: &str, problems: &mut Vec<Problem>) {
    for (position, share) in then.split.iter().enumerate() {
        if !names.pools.contains(share.pool.as_str()) {
            problems.push(missing_pool(
                &share.pool,
                format!("{spot}/split/{position}/pool"),
            ));
        }
    }
    if then.split.iter().all(|share| share.weight == 0) {
        let message = "no pool of the split has a weight";
        let hint = "give one of them a weight above 0";
        problems.push(Problem::error(format!("{spot}/split"), message, hint));
    }
}

fn has_terms(then: &Then) -> bool {
    then.limit.is_some()
        || then.tier.is_some()
        || then.wait_at_most_ms.is_some()
        || !then.terms.is_default()
        || !then.spill.is_empty()
}

fn check_limit(limit: &Limit, spot: &str, problems: &mut Vec<Problem>) {
    if limit.concurrency.is_none() && limit.rate_per_s.is_none() {
        let hint = "give concurrency or rate_per_s";
        problems.push(Problem::error(spot, "the limit limits nothing", hint));
    }
    if limit.concurrency == Some(0) {
        let pointer = format!("{spot}/concurrency");
        let hint = "use 1 or more, or refuse instead";
        problems.push(Problem::error(pointer, "nothing could pass", hint));
    }
    if limit
        .rate_per_s
        .is_some_and(|rate| !rate.is_finite() || rate <= 0.0)
    {
        let pointer = format!("{spot}/rate_per_s");
        let hint = "use a number above 0, or refuse instead";
        problems.push(Problem::error(pointer, "nothing could pass", hint));
    }
}

fn missing_pool(pool: &str, pointer: String) -> Problem {
    let message = format!("there is no pool {pool:?}");
    Problem::error(pointer, message, "add the pool, or correct the name")
}
