//! The quick scenario of the bench, and the plan that all policies share.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use lilaccrank_lab::bench::judge::{Judge, Seen, Verdict};
use lilaccrank_lab::bench::plan::{self, Planned};
use lilaccrank_lab::bench::scenario::Scenario;
use lilaccrank_lab::caller::{Call, Outcome};
use serde_json::{Value, json};

/// Tiers of the quick scenario.
const TIERS: [&str; 3] = ["urgent", "normal", "bulk"];

fn file(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    folder.join(name)
}

fn run(policy: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_lilaccrank-lab"))
        .args(["bench", "--json", "--seed", "1", "--policy", policy])
        .arg("--scenario")
        .arg(file("quick.json"))
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    serde_json::from_slice(&output.stdout).unwrap()
}

// A caller hears nothing, or the same job is done twice, or an urgent call is shed while bulk is
// kept. Load comes at a whole cluster of processes at once and overflows its queue; callers and
// engines' logs judge.
#[test]
fn quick_scenario_loses_doubles_and_inverts_nothing() {
    let report = run("lilaccrank");
    assert_eq!(report["inversions"], 0, "{report}");
    for tier in TIERS {
        let tier = &report["tiers"][tier];
        let count = |name: &str| tier[name].as_u64().unwrap();
        assert_eq!((count("lost"), count("doubled")), (0, 0), "{report}");
        let told = count("good") + count("late") + count("refused");
        assert_eq!((told, count("offered")), (20, 20), "{report}");
    }
    let shed = &report["tiers"]["bulk"]["refused_kinds"]["overloaded"];
    assert!(shed.as_u64() > Some(0), "{report}");
}

// A policy looks better than another because its requests were easier. The same seed must give
// the same requests at the same times, and another seed others.
#[test]
fn plan_is_drawn_from_the_seed_alone() {
    let scenario = Scenario::read(&file("1-burst.json")).unwrap();
    let drawn = |seed: u64| {
        let plan = plan::draw(&scenario, seed).into_iter();
        let requests = plan.map(|p| (p.at, p.key, p.call.prompt, p.call.max_tokens, p.deadline));
        requests.collect::<Vec<_>>()
    };
    assert_eq!(drawn(1), drawn(1));
    assert_ne!(drawn(1), drawn(2));
}

// A fault names an engine that is not there, and the run would pass without its fault.
#[test]
fn fault_of_a_missing_engine_is_refused() {
    let text = std::fs::read_to_string(file("3-slow-down.json")).unwrap();
    let mut json: Value = serde_json::from_str(&text).unwrap();
    json["faults"][0]["fault"]["engine"] = 10.into();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("scenario.json");
    std::fs::write(&path, json.to_string()).unwrap();
    assert!(Scenario::read(&path).is_err());
}

/// A request with two blocks of prompt and a deadline of a second.
fn planned(key: &str, tier: &str) -> Planned {
    Planned {
        at: Duration::ZERO,
        call: Call {
            prompt: "x".repeat(512),
            ..Call::default()
        },
        deadline: Duration::from_secs(1),
        key: key.to_owned(),
        tier: tier.to_owned(),
    }
}

fn seen(outcome: Outcome) -> Seen {
    Seen {
        ended_ms: 1_000,
        outcome,
        sent_ms: 0,
    }
}

fn refused(kind: &str) -> Seen {
    seen(Outcome::Refused {
        kind: kind.to_owned(),
        ran: "no".to_owned(),
        retry_after: None,
        status: 503,
    })
}

fn whole(ms: u64) -> Seen {
    let total = Duration::from_millis(ms);
    let first_token = total;
    seen(Outcome::Whole { first_token, total })
}

/// An entry of an engine's log: a prompt of two blocks, read in 100 ms.
fn logged(key: &str, at_ms: u64) -> Value {
    json!({
        "at_ms": at_ms, "cached_tokens": 0, "ended_ms": at_ms + 200, "key": key,
        "prefilled_ms": at_ms + 100, "prefilled_tokens": 128,
    })
}

fn judge(plan: &[Planned], seen: &[Seen], logs: &[Vec<Value>]) -> Judge {
    let scenario = Scenario::read(&file("quick.json")).unwrap();
    Judge::new(&scenario, plan, seen, logs).unwrap()
}

// An urgent call is shed, and bulk that waited at that moment runs afterwards. The judge calls
// that an inversion, but neither a deadline that can't be met nor bulk that ran before.
#[test]
fn judge_sees_inversions() {
    let plan = [planned("u", "urgent"), planned("b", "bulk")];
    let inversions = |kind: &str, begun_ms: u64| {
        let seen = [refused(kind), whole(900)];
        judge(&plan, &seen, &[vec![logged("b", begun_ms)]]).inversions
    };
    assert_eq!(inversions("overloaded", 2_000), 1);
    assert_eq!(inversions("overloaded", 500), 0);
    assert_eq!(inversions("deadline_unmeetable", 2_000), 0);
}

// A caller is told that nothing was run, and an engine ran it; or two engines ran one request.
#[test]
fn judge_sees_untrue_refusals_and_doubled_runs() {
    let plan = [planned("u", "urgent"), planned("v", "urgent")];
    let seen = [refused("overloaded"), whole(900)];
    let logs = [
        vec![logged("u", 10)],
        vec![logged("v", 10)],
        vec![logged("v", 20)],
    ];
    let judge = judge(&plan, &seen, &logs);
    assert_eq!(judge.verdicts, [Verdict::Lost, Verdict::Good]);
    assert_eq!(judge.doubled["urgent"], 1);
}

// A prompt is read for an answer that comes too late; another is read although a second engine
// has read it before. Both are waste, and one that was read at the same time is not.
#[test]
fn judge_counts_wasted_prefill() {
    let plan = [
        planned("late", "bulk"),
        planned("again", "bulk"),
        planned("first", "bulk"),
    ];
    let seen = [whole(1_500), whole(900), whole(900)];
    let waste = |again_ms: u64| {
        let logs = [
            vec![logged("first", 10)],
            vec![logged("again", again_ms)],
            vec![logged("late", 10)],
        ];
        let judge = judge(&plan, &seen, &logs);
        (judge.useless_tokens, judge.recomputed_tokens)
    };
    assert_eq!(waste(300), (128, 128));
    assert_eq!(waste(50), (128, 0));
}
