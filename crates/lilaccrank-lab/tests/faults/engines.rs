use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank_lab::caller::{self, Call, Outcome};
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{Layout, WireLayout};
use serde_json::{Value, json};

use crate::{harness, stub};

/// The only engine, or the first one.
const ENGINE: &str = "spanish-town-engine-0";
/// Sooner than an engine gives up by itself an answer that nobody reads.
const CANCELLED_WITHIN: Duration = Duration::from_secs(1);

/// One engine, and daemons that wait only briefly for tokens.
fn layout(engines: usize) -> Layout {
    let mut layout = harness::layout(2, vec![harness::engine(4); engines]);
    layout
        .settings
        .insert("between_tokens_ms".to_owned(), json!(300));
    layout
        .settings
        .insert("first_token_ms".to_owned(), json!(700));
    layout
}

/// One engine behind a wire.
fn wired() -> Layout {
    let mut layout = layout(1);
    layout.wires = WireLayout {
        targets: true,
        ..WireLayout::default()
    };
    layout
}

async fn control(cluster: &Cluster, control: Value) {
    harness::control(cluster, &cluster.engines[ENGINE].address, control).await;
}

/// Asserts that the caller was shown a broken answer as broken.
fn assert_broken(outcome: &Outcome) {
    let shown = match outcome {
        Outcome::Broken(why) => {
            why.contains(r#""kind":"broken_answer""#) && why.contains(r#""ran":"maybe""#)
        }
        Outcome::Refused { kind, ran, .. } => kind == "broken_answer" && ran == "maybe",
        _ => false,
    };
    assert!(shown, "{outcome:?}");
}

// The connection to the engine falls silent in the middle of an answer: it stays open and nothing
// comes. The daemon misses the next token and takes the stream up where it stopped, on a new
// connection. The caller reads the whole answer, and the engine began it once.
#[test]
fn connection_silent_mid_stream() {
    harness::run(async {
        let cluster = Cluster::start(wired()).await.unwrap();
        let call = harness::send(&cluster, 0, harness::once("silent", 60));
        harness::running(&cluster, "silent").await;
        let wire = cluster.target_wires[ENGINE].control.clone().unwrap();
        harness::control(&cluster, &wire, json!({"mode": "silent"})).await;
        harness::assert_whole(&call.await);
        assert_eq!(harness::runs(&cluster, "silent").await.len(), 1);
    });
}

/// Guards against an answer that is broken off since it could not be resumed on another connection, while
/// its own goes on: everything from the engine is late by more than the daemon waits for a token, and by
/// more than it waits for the answer to a resume.
#[test]
fn connection_slow_mid_stream() {
    harness::run(async {
        let cluster = Cluster::start(wired()).await.unwrap();
        let call = harness::send(&cluster, 0, harness::once("slow", 60));
        harness::running(&cluster, "slow").await;
        let wire = cluster.target_wires[ENGINE].control.clone().unwrap();
        harness::control(&cluster, &wire, json!({"mode": "slow", "delay_ms": 700})).await;
        harness::assert_whole(&call.await);
        assert_eq!(harness::runs(&cluster, "slow").await.len(), 1);
    });
}

// The engine breaks its connection off after some tokens, once. The daemon takes the stream up
// again; the caller sees nothing of it.
#[test]
fn connection_broken_off() {
    harness::run(async {
        let cluster = Cluster::start(layout(1)).await.unwrap();
        control(&cluster, json!({"break_after": 5})).await;
        let call = harness::send(&cluster, 0, harness::once("broken", 30));
        harness::assert_whole(&call.await);
        assert_eq!(harness::runs(&cluster, "broken").await.len(), 1);
    });
}

fn killed(stream: bool) {
    harness::run(async {
        let mut cluster = Cluster::start(layout(1)).await.unwrap();
        let call = Call {
            stream,
            ..harness::keyed("killed", 300)
        };
        let call = harness::send(&cluster, 0, call);
        harness::running(&cluster, "killed").await;
        cluster.engines[ENGINE].kill();
        assert_broken(&call.await);
    });
}

// The engine dies in the middle of its answer. The caller that reads events has part of it; the
// stream ends in an error that says so and that it ran, and never looks whole.
#[test]
fn engine_killed_mid_stream() {
    killed(true);
}

// The same for a caller that waits for the whole answer: it gets a refusal in its place.
#[test]
fn engine_killed_before_a_whole_answer() {
    killed(false);
}

fn nonsense(stream: bool) {
    harness::run(async {
        let cluster = Cluster::start(layout(1)).await.unwrap();
        control(&cluster, json!({"nonsense": true})).await;
        let call = Call {
            stream,
            ..harness::keyed("nonsense", 10)
        };
        assert_broken(&harness::send(&cluster, 0, call).await);
        assert_eq!(harness::runs(&cluster, "nonsense").await.len(), 1);
        control(&cluster, json!({"nonsense": false})).await;
    });
}

// The engine sends events that are none. The caller that reads events is told that the answer is
// broken; the request is not sent again, since it ran.
#[test]
fn nonsense_in_a_stream() {
    nonsense(true);
}

// The same for a caller that waits for the whole answer.
#[test]
fn nonsense_in_a_whole_answer() {
    nonsense(false);
}

// One of two engines takes requests and answers nothing. Who was sent there is told that it may
// have run; the dispatcher finds the engine silent, and whoever comes next is answered by the
// other one.
#[test]
fn engine_hangs() {
    harness::run(async {
        let cluster = Cluster::start(layout(2)).await.unwrap();
        control(&cluster, json!({"hang": true})).await;
        let first: Vec<_> = (0..4)
            .map(|n| harness::send(&cluster, 0, harness::keyed(&format!("first-{n}"), 5)))
            .collect();
        let dispatcher = harness::dispatcher(&cluster);
        harness::until("found silent", async || {
            let status = harness::status(&cluster, dispatcher).await;
            let targets = status["pools"]["engines"]["targets"].as_array();
            let hung = |t: &Value| t["id"] == ENGINE && t["health"] == "hung";
            targets.into_iter().flatten().any(hung)
        })
        .await;
        let next = (0..8).map(|n| harness::keyed(&format!("next-{n}"), 5));
        let next: Vec<_> = next.map(|call| harness::send(&cluster, 1, call)).collect();
        let (first, next) = future::join(future::join_all(first), future::join_all(next)).await;
        let stuck = cluster.begun(&cluster.engines[ENGINE].address);
        let stuck = stuck.await.unwrap().len();
        assert!(stuck > 0, "nothing was sent to the hung engine");
        let told = first.iter().chain(&next).filter(|o| !is_whole(o));
        told.clone().for_each(harness::assert_maybe);
        assert_eq!(told.count(), stuck, "{first:?} {next:?}");
        // The dispatcher may have tried the engine again with one of them.
        let whole = next.iter().filter(|o| is_whole(o)).count();
        assert!(whole + 1 >= next.len(), "{next:?}");
    });
}

fn is_whole(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Whole { .. })
}

/// A caller that goes away, and what the engine says of its request a moment later.
fn disconnected(stream: bool) {
    harness::run(async {
        let cluster = Cluster::start(layout(1)).await.unwrap();
        let call = Call {
            key: None,
            stream,
            ..harness::keyed("gone", 500)
        };
        let address = cluster.daemons[0].callers.to_string();
        {
            let reading = caller::call(&cluster.client, &address, &call);
            let begun = harness::until("mid-stream", async || {
                let runs = harness::begun(&cluster).await;
                runs.iter().any(|run| run["decoded"].as_u64() > Some(3))
            });
            pin_mut!(reading, begun);
            if let Either::Left((outcome, _)) = future::select(reading, begun).await {
                panic!("{outcome:?}");
            }
        }
        let gone = Instant::now();
        harness::until("cancelled", async || {
            let runs = harness::begun(&cluster).await;
            runs.iter().all(|run| run["end"] == "cancelled")
        })
        .await;
        assert!(gone.elapsed() < CANCELLED_WITHIN, "{:?}", gone.elapsed());
    });
}

// A caller goes away in the middle of its stream. The daemon cancels the request at the engine at
// once, not when the engine notices by itself that nobody reads.
#[test]
fn caller_leaves_a_stream() {
    disconnected(true);
}

// The same for a caller that waits for the whole answer.
#[test]
fn caller_leaves_before_a_whole_answer() {
    disconnected(false);
}

// Everything between the daemons and the engine falls silent, and the deadline of a request passes.
// Its caller is told then, and not only once the engine, which can't be reached, should have
// answered the cancel.
#[test]
fn deadline_passes_before_a_silent_engine() {
    harness::run(async {
        let cluster = Cluster::start(wired()).await.unwrap();
        let wire = cluster.target_wires[ENGINE].control.clone().unwrap();
        harness::control(&cluster, &wire, json!({"mode": "black-hole"})).await;
        let call = Call {
            deadline_ms: Some(400),
            ..harness::keyed("late", 5)
        };
        let begun = Instant::now();
        let outcome = harness::send(&cluster, 0, call).await;
        let took = begun.elapsed();
        let Outcome::Refused { kind, .. } = &outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(kind, "deadline_passed");
        assert!(took < Duration::from_millis(1000), "{took:?}");
    });
}

/// Two choices, one with calls of tools, in events whose data has more than one line.
const CHOICES: &str = r#"data: {"choices": [{"index": 1, "finish_reason": null,
data: "delta": {"role": "assistant", "content": "tru"}}]}

data: {"choices": [{"index": 0, "finish_reason": null, "delta": {"role": "assistant", "tool_calls": [{"index": 0, "id": "c1", "type": "function", "function": {"name": "dispatch", "arguments": "{\"de"}}]}}]}

data: {"choices": [{"index": 0, "finish_reason": "tool_calls", "delta": {"tool_calls": [{"index": 0, "function": {"arguments": "pot\": 3}"}}]}}]}

data: {"choices": [{"index": 1, "finish_reason": "stop", "delta": {"content": "ck"}}]}

data: [DONE]

"#;

/// The answer of an engine that sends [`CHOICES`].
async fn choices(stream: bool) -> String {
    let (address, _) = stub::target("200 OK", CHOICES);
    let cluster = Cluster::start_with(layout(1), |document| {
        document.pools[0].targets[0].address = address;
    });
    let cluster = cluster.await.unwrap();
    let entry = cluster.daemons[0].callers.to_string();
    let req = json!({
        "messages": [{"role": "user", "content": "set tripped"}],
        "model": "lab", "n": 2, "stream": stream,
    });
    stub::post(&entry, "/v1/chat/completions", "", &req.to_string())
}

// A caller asks for two choices and for the whole answer. The engine streams both in parts, one
// of them with a call of a tool. The answer has all of it: a job card that calls a tool and loses
// the call would look like an empty but whole answer.
#[test]
fn whole_answer_has_all_choices() {
    harness::run(async {
        let answer = choices(false).await;
        let start = answer.find('{').unwrap_or_else(|| panic!("{answer}"));
        let end = answer.rfind('}').unwrap();
        let answer: Value = serde_json::from_str(&answer[start..=end]).unwrap();
        let call = &answer["choices"][0]["message"]["tool_calls"][0]["function"];
        assert_eq!(call["arguments"], r#"{"depot": 3}"#, "{answer}");
        assert_eq!(answer["choices"][0]["finish_reason"], "tool_calls");
        assert_eq!(answer["choices"][1]["message"]["content"], "truck");
        assert_eq!(answer["choices"][1]["finish_reason"], "stop");
    });
}

// The same for a caller that reads events: an event of more than one line stays one event.
#[test]
fn events_keep_their_lines() {
    harness::run(async {
        let answer = choices(true).await;
        let lines: Vec<_> = answer.lines().filter(|l| l.contains("delta")).collect();
        assert_eq!(lines.len(), 4, "{answer}");
        assert!(lines.iter().all(|l| l.starts_with("data: ")), "{answer}");
    });
}

// An engine generates without end, or far more than anybody asked for. Every answer is kept for
// repeats while it runs, so that one such stream could take the daemon's memory. The caller sees
// its answer break off at the limit, and the engine is told to stop.
#[test]
fn answer_is_over_the_limit() {
    harness::run(async {
        let mut layout = layout(1);
        layout
            .settings
            .insert("answer_limit".to_owned(), json!(4_000));
        let cluster = Cluster::start(layout).await.unwrap();
        for stream in [true, false] {
            let call = Call {
                stream,
                ..harness::keyed(&format!("long-{stream}"), 400)
            };
            assert_broken(&harness::send(&cluster, 0, call).await);
        }
        harness::until("told to stop", async || {
            let begun = harness::begun(&cluster).await;
            begun.len() == 2 && begun.iter().all(|run| run["end"] == "cancelled")
        })
        .await;
    });
}

/// Guards against a list of models that is forwarded to a service, or refused: in the native interface the
/// daemon answers it itself.
#[test]
fn models_are_listed_by_the_daemon() {
    harness::run(async {
        let cluster = Cluster::start(layout(1)).await.unwrap();
        let mut stream = TcpStream::connect(cluster.daemons[0].callers).unwrap();
        let key = Layout::customer_key("hospital");
        let head = format!(
            "GET /v1/models HTTP/1.1\r\nhost: lab\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.contains("200 OK"), "{answer}");
        assert!(answer.contains(r#""id":"lab""#), "{answer}");
    });
}

/// Bytes that a daemon may take of an event without end, with what the kernels hold.
const BYTES_OF_EVENT: usize = 16 << 20;

fn endless_event(line: &'static str) {
    harness::run(async {
        let (address, written) = stub::endless_event(line);
        let mut layout = layout(1);
        // A daemon that waits for long has only the bytes to go by.
        layout
            .settings
            .insert("first_token_ms".to_owned(), json!(3_000));
        let cluster = Cluster::start_with(layout, |document| {
            document.pools[0].targets[0].address = address;
        });
        let cluster = cluster.await.unwrap();
        let entry = cluster.daemons[0].callers.to_string();
        let req = json!({
            "messages": [{"role": "user", "content": "set tripped"}], "model": "lab", "stream": true,
        });
        let answer = stub::post(&entry, "/v1/chat/completions", "", &req.to_string());
        let written = written.load(Ordering::SeqCst);
        println!("{written} bytes");
        assert!(answer.contains("broken_answer"), "{answer}");
        assert!(written < BYTES_OF_EVENT, "{written} bytes");
    });
}

/// Guards against an engine's event that is held in memory for as long as it goes on.
macro_rules! endless_event {
    ($($name:ident: $line:literal;)*) => {
        $(
            #[test]
            fn $name() {
                endless_event($line);
            }
        )*
    };
}

endless_event! {
    event_of_one_line_without_end: "xxxxxxxxxxxxxxxx";
    event_of_lines_without_end: "data: xxxxxxxxx\n";
}
