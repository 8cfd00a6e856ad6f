//! Assembles the choices of an answer from the parts that an engine streams.

use indexmap::IndexMap;
use serde_json::{Map, Value, json};

use crate::callers::caller_request::AnswerFormat;

/// Members that each part carries in full; other strings are sent in pieces and must be joined.
const ATOMIC_MEMBERS: [&str; 6] = ["finish_reason", "id", "index", "name", "role", "type"];
/// Member of a choice that holds a part of a chat message.
const DELTA: &str = "delta";

/// Choices by their index.
pub struct Choices {
    by_index: IndexMap<u64, Map<String, Value>>,
    /// Whether the parts are kept. A caller that gets events assembles them itself.
    keep_parts: bool,
    answer_format: AnswerFormat,
}

impl Choices {
    /// Creates an empty set of choices.
    #[must_use]
    pub fn new(answer_format: AnswerFormat, keep_parts: bool) -> Self {
        Self {
            by_index: IndexMap::new(),
            keep_parts,
            answer_format,
        }
    }

    /// Merges a part into its choice. Returns `true` if the part holds generated content.
    pub fn merge_part(&mut self, part: &Value) -> bool {
        let index = part.get("index").and_then(Value::as_u64).unwrap_or(0);
        let choice = self.by_index.entry(index).or_default();
        if self.keep_parts {
            merge_members(choice, part);
        } else if let Some(reason) = part.get("finish_reason").filter(|r| !r.is_null()) {
            choice.insert("finish_reason".to_owned(), reason.clone());
        }
        is_generated(part, self.answer_format)
    }

    /// Returns `true` if there are choices and each has a finish reason.
    #[must_use]
    pub fn are_finished(&self) -> bool {
        let mut all = self.by_index.values();
        let finished =
            |choice: &Map<_, _>| choice.get("finish_reason").is_some_and(Value::is_string);
        !self.by_index.is_empty() && all.all(finished)
    }

    /// Returns all choices as JSON, sorted by index.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut sorted: Vec<_> = self.by_index.iter().collect();
        sorted.sort_by_key(|(index, _)| **index);
        let complete = sorted.into_iter().map(|(index, choice)| {
            let mut choice = choice.clone();
            choice.insert("index".to_owned(), (*index).into());
            if self.answer_format == AnswerFormat::Chat {
                choice.insert("message".to_owned(), message(choice.get(DELTA)));
                choice.remove(DELTA);
            }
            Value::Object(choice)
        });
        complete.collect()
    }
}

fn message(delta: Option<&Value>) -> Value {
    let mut message = json!({"content": null, "role": "assistant"});
    if let (Some(message), Some(delta)) = (message.as_object_mut(), delta) {
        merge_members(message, delta);
    }
    message
}

fn is_generated(part: &Value, answer_format: AnswerFormat) -> bool {
    let is_nonempty = |value: &Value| !matches!(value, Value::Null) && value != "";
    match answer_format {
        AnswerFormat::Chat => part
            .get(DELTA)
            .and_then(Value::as_object)
            .is_some_and(|delta| {
                let mut members = delta.iter();
                members.any(|(name, value)| name != "role" && is_nonempty(value))
            }),
        AnswerFormat::Completion => part.get("text").is_some_and(is_nonempty),
    }
}

fn merge_members(into: &mut Map<String, Value>, from: &Value) {
    for (name, value) in from.as_object().into_iter().flatten() {
        merge(into.entry(name).or_insert(Value::Null), name, value);
    }
}

fn merge(into: &mut Value, name: &str, from: &Value) {
    match (into, from) {
        (_, Value::Null) => {}
        (Value::String(text), Value::String(piece)) if !ATOMIC_MEMBERS.contains(&name) => {
            text.push_str(piece);
        }
        (Value::Object(members), Value::Object(_)) => merge_members(members, from),
        (Value::Array(list), Value::Array(items)) => merge_items(list, items),
        (into, from) => *into = from.clone(),
    }
}

/// Merges items that have an index, such as tool calls, into the item with the same index, and
/// appends all others.
fn merge_items(list: &mut Vec<Value>, items: &[Value]) {
    for item in items {
        let index = item.get("index");
        let existing = list
            .iter_mut()
            .find(|existing| index.is_some() && existing.get("index") == index);
        match existing.and_then(Value::as_object_mut) {
            Some(existing) => merge_members(existing, item),
            None => list.push(item.clone()),
        }
    }
}
