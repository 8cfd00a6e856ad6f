//! Reads a document from JSON; serde's errors are brought as near to their spot as can be.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::problem::{self, Problem};
use crate::document::{Customer, Document, Limit, Operator, Pool, Rule, Target, Then, When};

/// The document, or everything that keeps the text from being one.
pub type Result<T, E = Vec<Problem>> = std::result::Result<T, E>;

const HINT_FIELD: &str = "see the list of fields in the documentation";
const HINT_SYNTAX: &str = "correct the JSON at this line and column";

/// Reads a document.
///
/// # Errors
/// The text is not JSON, or not of the document's shape.
pub fn read(text: &str) -> Result<Document> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| vec![Problem::error("", e.to_string(), HINT_SYNTAX)])?;
    read_value(&value)
}

/// Reads a document from parsed JSON.
///
/// # Errors
/// The value is not of the document's shape.
pub fn read_value(value: &Value) -> Result<Document> {
    let document = Document::deserialize(value);
    document.map_err(|whole| {
        let problems = locate(value);
        if problems.is_empty() {
            vec![problem_at("", &whole)]
        } else {
            problems
        }
    })
}

/// Serde names no place in a parsed value, so each part is read by itself, the smallest first;
/// a part is blamed only if none of its own parts is.
fn locate(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    blame_each::<Customer>(value, "/customers", no_parts, &mut problems);
    blame_each::<Operator>(value, "/operators", no_parts, &mut problems);
    blame_each::<Pool>(value, "/pools", pool_parts, &mut problems);
    blame_each::<Rule>(value, "/rules", rule_parts, &mut problems);
    problems
}

type Parts = fn(&Value, &str, &mut Vec<Problem>);

fn blame_each<T: DeserializeOwned>(
    value: &Value,
    pointer: &str,
    parts: Parts,
    problems: &mut Vec<Problem>,
) {
    let list = value.pointer(pointer).and_then(Value::as_array);
    for (position, item) in list.into_iter().flatten().enumerate() {
        let spot = format!("{pointer}/{position}");
        let before = problems.len();
        parts(item, &spot, problems);
        if problems.len() == before {
            blame::<T>(item, &spot, problems);
        }
    }
}

fn blame<T: DeserializeOwned>(item: &Value, spot: &str, problems: &mut Vec<Problem>) {
    if let Err(e) = T::deserialize(item) {
        problems.push(problem_at(spot, &e));
    }
}

fn no_parts(_: &Value, _: &str, _: &mut Vec<Problem>) {}

fn pool_parts(pool: &Value, spot: &str, problems: &mut Vec<Problem>) {
    let targets = pool.get("targets").and_then(Value::as_array);
    for (position, target) in targets.into_iter().flatten().enumerate() {
        blame::<Target>(target, &format!("{spot}/targets/{position}"), problems);
    }
}

fn rule_parts(rule: &Value, spot: &str, problems: &mut Vec<Problem>) {
    if let Some(when) = rule.get("when") {
        blame::<When>(when, &format!("{spot}/when"), problems);
    }
    let Some(then) = rule.get("then") else { return };
    let before = problems.len();
    if let Some(limit) = then.get("limit").filter(|limit| !limit.is_null()) {
        blame::<Limit>(limit, &format!("{spot}/then/limit"), problems);
    }
    if problems.len() == before {
        blame::<Then>(then, &format!("{spot}/then"), problems);
    }
}

fn problem_at(spot: &str, e: &serde_json::Error) -> Problem {
    let message = e.to_string();
    let unknown = message
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split_once('`'))
        .map(|(field, _)| problem::escape(field));
    let pointer = unknown.map_or(spot.to_owned(), |field| format!("{spot}/{field}"));
    Problem::error(pointer, message, HINT_FIELD)
}
