//! Differences and problems of documents, in words.

use lilaccrank::rules::difference::{Change, Difference};
use lilaccrank::rules::problem::{Problem, Severity};

/// One line for each change.
pub fn lines(difference: &Difference) -> Vec<String> {
    let parts = [
        ("customer", &difference.customers),
        ("operator", &difference.operators),
        ("pool", &difference.pools),
        ("rule", &difference.rules),
        ("tier", &difference.tiers),
    ];
    let lines = parts
        .into_iter()
        .flat_map(|(part, changes)| changes.iter().map(move |change| line(part, change)));
    let lines: Vec<_> = lines.collect();
    if lines.is_empty() {
        return vec!["no difference".to_owned()];
    }
    lines
}

/// The number of problems, in words.
pub fn count(problems: &[Problem]) -> String {
    let errors = problems.iter().filter(|p| p.severity == Severity::Error);
    let errors = errors.count();
    let warnings = problems.len() - errors;
    match (errors, warnings) {
        (errors, 0) => plural(errors, "error"),
        (0, warnings) => plural(warnings, "warning"),
        _ => format!(
            "{} and {}",
            plural(errors, "error"),
            plural(warnings, "warning")
        ),
    }
}

fn plural(n: usize, noun: &str) -> String {
    let ending = if n == 1 { "" } else { "s" };
    format!("{n} {noun}{ending}")
}

fn line(part: &str, change: &Change) -> String {
    let Change {
        after,
        before,
        id,
        kind,
    } = change;
    match (before, after) {
        (Some(before), Some(after)) if before != after => {
            format!("{part} {id} {kind} (position {before} to {after})")
        }
        (Some(at), _) | (None, Some(at)) => format!("{part} {id} {kind} (position {at})"),
        (None, None) => format!("{part} {id} {kind}"),
    }
}
