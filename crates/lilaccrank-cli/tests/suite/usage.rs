//! Wrong use, and daemons that can't be reached.

use crate::test::{Test, cases};

/// Nothing listens on port 1.
const NOBODY: &str = "127.0.0.1:1";

fn key(args: &str) -> Test {
    Test::new(args).env("LILACCRANK_KEY", "k")
}

cases! {
    admin_needs_a_port: Test::new("status --admin localhost").exit(2).stderr("give a port");
    admin_speaks_plain_http: Test::new("status --admin https://h:1").exit(2).stderr("plain HTTP");
    bash_completions: Test::new("completions bash").stdout("_lilaccrank()");
    drain_needs_a_kind: Test::new("drain").exit(2).stderr("target");
    exit_codes_are_documented: Test::new("--help").stdout("6  it may have been done");
    explain_wants_pairs: key("explain --customer c --waiting pool").exit(2).stderr("NAME=VALUE");
    history_unreachable: key("rules history").env("LILACCRANK_ADMIN", NOBODY).exit(3).stderr(NOBODY);
    key_missing: Test::new("rules show").exit(2).stderr("LILACCRANK_KEY");
    move_needs_a_place: key("rules move a").exit(2).stderr("--before RULE or --after RULE");
    move_to_one_place: key("rules move a --before b --after c").exit(2).stderr("cannot be used");
    place_without_set: key("rules edit --before b").exit(2).stderr("go with --set");
    send_unreachable: key("send --model m hello --caller 127.0.0.1:1").exit(3).stderr(NOBODY);
    since_is_a_time: key("timeline --since yesterday").exit(2).stderr("90s, 5m, 2h or 1d");
    status_unreachable: key("status --admin 127.0.0.1:1").exit(3).stderr(NOBODY);
    timeline_unreachable: key("timeline --admin 127.0.0.1:1 --since 2026-03-01T12:00:00Z").exit(3)
        .stderr(NOBODY);
}

#[test]
fn errors_are_json_if_asked() {
    let ran = key("status --json --admin 127.0.0.1:1").exit(3).run();
    let error = &ran.error()["error"];
    assert_eq!(error["exit_code"], 3);
    assert_eq!(error["unreachable"][0]["admin"], NOBODY);
    assert_eq!(ran.json()["unreachable"][0]["admin"], NOBODY);
}

#[test]
fn the_key_is_not_shown_by_help() {
    let ran = Test::new("status --help")
        .env("LILACCRANK_KEY", "hush")
        .run();
    assert!(ran.stdout.contains("LILACCRANK_KEY"));
    assert!(!ran.stdout.contains("hush"));
}
