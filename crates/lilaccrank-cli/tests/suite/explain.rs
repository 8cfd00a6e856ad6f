//! `explain` by the rules of a file.

use crate::rules;
use crate::test::{Test, cases};

fn explain(args: &str) -> Test {
    let test = Test::new(&format!("explain --file d.json --customer {args}"));
    test.file("d.json", &rules::document().to_string())
}

cases! {
    first_match_decides: explain("hotel --prompt-tokens 901").stdout("long: decides")
        .stdout("rest: would match, but an earlier rule decides");
    forbidden_customer: explain("nobody").stdout("refused by no rule");
    refused_by_rule: explain("hotel --prompt-tokens 900").stdout("refused by rule long");
    sent_to_pool: explain("hotel").stdout("rule rest sends it to pool engines")
        .stdout("long: prompt_tokens is 0");
    unknown_tier: explain("hotel --tier none").exit(4).stderr("no tier `none`");
}
