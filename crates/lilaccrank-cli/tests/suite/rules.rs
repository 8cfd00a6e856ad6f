//! `rules check` and `rules diff` of files, without any daemon.

use serde_json::{Value, json};

use crate::test::{Test, cases};

/// A sound document of two rules.
pub fn document() -> Value {
    json!({
        "customers": [{"id": "hotel", "key_sha256": ["00".repeat(32)], "tiers": ["urgent", "bulk"]}],
        "operators": [{"id": "op", "key_sha256": ["11".repeat(32)]}],
        "pools": [{
            "id": "engines",
            "models": ["m"],
            "targets": [{"address": "127.0.0.1:9", "data_centre": "d", "id": "e"}],
        }],
        "rules": [
            {"id": "long", "when": {"prompt_tokens": {"min": 900}}, "then": {"refuse": "too long"}},
            {"id": "rest", "then": {"pool": "engines"}},
        ],
        "tiers": ["urgent", "bulk"],
    })
}

/// The document with another value at a spot.
fn with(pointer: &str, value: Value) -> String {
    let mut document = document();
    *document.pointer_mut(pointer).unwrap() = value;
    document.to_string()
}

fn check(text: &str) -> Test {
    Test::new("rules check d.json").file("d.json", text)
}

fn wrong(pointer: &str, value: Value) -> Test {
    check(&with(pointer, value)).exit(1)
}

fn diff(before: &str, after: &str) -> Test {
    let test = Test::new("rules diff a.json b.json");
    test.file("a.json", before).file("b.json", after)
}

cases! {
    check_accepts: check(&document().to_string()).stdout("no errors");
    check_broken_json: check("{").exit(1).stderr("line 1 column 1");
    check_missing_file: Test::new("rules check none.json").exit(8).stderr("none.json");
    check_missing_pool: wrong("/rules/1/then", json!({"pool": "x"})).stderr("/rules/1/then/pool");
    check_reads_stdin: Test::new("rules check -").stdin(&document().to_string()).stdout("no errors");
    check_unknown_field: wrong("/rules/0/when", json!({"costumer": []})).stderr("/rules/0/when/costumer");
    check_unknown_tier: wrong("/rules/1/then", json!({"pool": "engines", "tier": "x"}))
        .stderr("/rules/1/then/tier");
    check_unreachable_rule: check(&with("/rules/0/when", json!({}))).stdout("warning at \"/rules/1\"");
    check_unreachable_rule_strictly: Test::new("rules check d.json --strict")
        .file("d.json", &with("/rules/0/when", json!({}))).exit(1).stderr("/rules/1");
    diff_changed: diff(&document().to_string(), &with("/rules/0/then", json!({"refuse": "no"})))
        .stdout("rule long changed (position 0)");
    diff_none: diff(&document().to_string(), &document().to_string()).stdout("no difference");
    diff_removed: diff(&document().to_string(), &with("/rules", json!([])))
        .stdout("rule long removed (position 0)");
    publish_checks_first: Test::new("rules publish d.json --admin 127.0.0.1:1 --key k")
        .file("d.json", &with("/rules/1/then", json!({"pool": "x"}))).exit(1).stderr("/rules/1/then/pool");
}

#[test]
fn problems_are_json_if_asked() {
    let test = Test::new("rules check d.json --json");
    let ran = test.file("d.json", &with("/rules/1/then", json!({"pool": "x"})));
    let error = ran.exit(1).run().error();
    let problem = &error["error"]["problems"][0];
    assert_eq!(problem["pointer"], "/rules/1/then/pool");
    assert_eq!(problem["severity"], "error");
    assert!(!problem["hint"].as_str().unwrap().is_empty());
}
