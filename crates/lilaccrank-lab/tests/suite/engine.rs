use std::time::Duration;

use hyper::{Method, StatusCode};
use lilaccrank::prompt::{BLOCK_TOKENS, BYTES_PER_TOKEN};
use lilaccrank_lab::answer_text;
use serde_json::{Value, json};

use crate::caller;
use crate::process::Process;

fn start(args: &[&str]) -> Process {
    Process::start(&[&["engine", "--step-ms", "4"], args].concat())
}

#[test]
fn whole_answers_of_both_shapes() {
    caller::run(async {
        let engine = start(&[]);
        let text = caller::complete(&engine.address, "a", "hello", 5)
            .await
            .ok();
        let joined = text["choices"][0]["text"].as_str().unwrap();
        assert_eq!(answer_text::check("hello", 5, joined), Ok(()));
        let body = json!({
            "model": "lab", "max_tokens": 2,
            "messages": [{"role": "system", "content": "x"}, {"role": "user", "content": "y"}],
        });
        let chat = caller::post(&engine.address, "/v1/chat/completions", &body)
            .await
            .ok();
        let joined = chat["choices"][0]["message"]["content"].as_str().unwrap();
        let prompt = answer_text::chat_prompt(["x", "y"]);
        assert_eq!(answer_text::check(&prompt, 2, joined), Ok(()));
    });
}

#[test]
fn streamed_answer_ends_in_usage_and_done() {
    caller::run(async {
        let engine = start(&[]);
        let mut stream = caller::stream(&engine.address, "a", "hello", 3).await;
        let events = stream.events(usize::MAX).await.unwrap();
        assert_eq!(
            answer_text::check("hello", 3, &caller::text(&events)),
            Ok(())
        );
        assert!(events.starts_with("id: 0\ndata: {"));
        let last: Vec<&str> = events.trim_end().rsplitn(3, "\n\n").collect();
        assert_eq!(last[0], "data: [DONE]");
        let usage: Value = serde_json::from_str(&last[1]["id: 3\ndata: ".len()..]).unwrap();
        let expected = json!({"cached_tokens": 0, "completion_tokens": 3, "prompt_tokens": 2});
        assert_eq!(usage["usage"], expected);
    });
}

#[test]
fn admits_in_arrival_order() {
    caller::run(async {
        let engine = start(&["--slots", "1", "--report-lag-ms", "0"]);
        let mut first = caller::stream(&engine.address, "first", "1", 20).await;
        first.events(1).await.unwrap();
        let mut second = caller::stream(&engine.address, "second", "2", 5).await;
        let mut third = caller::stream(&engine.address, "third", "3", 5).await;
        let load = engine.read("/load").await;
        assert_eq!((&load["running"], &load["waiting"]), (&json!(1), &json!(2)));
        third.events(usize::MAX).await.unwrap();
        // The last to come was the last to run, so the others have ended.
        second.events(usize::MAX).await.unwrap();
        let log = engine.read("/log").await;
        let admitted: Vec<_> = (0..3).map(|i| log[i]["admitted_ms"].as_u64()).collect();
        assert!(admitted.is_sorted_by(|a, b| a < b), "{log}");
        assert_eq!(caller::column(&log, "end"), ["done", "done", "done"]);
    });
}

#[test]
fn prefix_is_read_once() {
    caller::run(async {
        let blocks = 4;
        let engine = start(&["--event-loss", "0", "--event-delay-ms", "0"]);
        let prefix = "p".repeat(blocks * BLOCK_TOKENS * BYTES_PER_TOKEN);
        for (id, rest) in [("a", "first"), ("b", "second")] {
            let prompt = format!("{prefix}{rest}");
            caller::complete(&engine.address, id, &prompt, 1).await.ok();
        }
        let log = engine.read("/log").await;
        let tokens = blocks * BLOCK_TOKENS;
        assert_eq!(log[0]["cached_tokens"], 0);
        assert_eq!(log[0]["prefilled_tokens"], tokens + 2);
        assert_eq!(log[1]["cached_tokens"], tokens);
        assert_eq!(log[1]["prefilled_tokens"], 2);
        let events = engine.read("/cache-events?after=0").await;
        assert_eq!(events.as_array().unwrap().len(), blocks);
        assert_eq!(events[0]["kind"], "stored");
        let rest = engine.read("/cache-events?after=3").await;
        assert_eq!(rest[0]["seq"], 4);
    });
}

#[test]
fn cache_forgets_and_its_events_have_gaps() {
    caller::run(async {
        let cfg = ["--cache-blocks", "2", "--event-delay-ms", "0"];
        let engine = start(&[&cfg[..], &["--event-loss", "0.5", "--seed", "7"]].concat());
        let block = BLOCK_TOKENS * BYTES_PER_TOKEN;
        for (id, letter) in [("a", "x"), ("b", "y"), ("c", "x")] {
            let prompt = letter.repeat(2 * block);
            caller::complete(&engine.address, id, &prompt, 1).await.ok();
        }
        let log = engine.read("/log").await;
        assert_eq!(log[2]["cached_tokens"], 0);
        let events = engine.read("/cache-events").await;
        // Six blocks stored and four evicted.
        let seqs: Vec<_> = events
            .as_array()
            .unwrap()
            .iter()
            .map(|e| e["seq"].as_u64())
            .collect();
        assert!(
            seqs.is_sorted() && (1..10).contains(&seqs.len()),
            "{seqs:?}"
        );
    });
}

#[test]
fn repeated_request_is_refused_and_logged() {
    caller::run(async {
        let engine = start(&[]);
        caller::complete(&engine.address, "a", "hello", 1)
            .await
            .ok();
        let again = caller::complete(&engine.address, "a", "hello", 1).await;
        assert_eq!(again.status, StatusCode::CONFLICT);
        let log = engine.read("/log").await;
        assert_eq!(log.as_array().unwrap().len(), 1);
        assert_eq!(
            (&log[0]["repeated"], &log[0]["decoded"]),
            (&json!(1), &json!(1))
        );
        assert_eq!(log[0]["key"], "key of a");
    });
}

macro_rules! old_order {
    ($name:ident, $fencing:literal, $status:expr, $models:expr) => {
        #[test]
        fn $name() {
            caller::run(async {
                let engine = start(&["--fencing", $fencing]);
                let load = |fencing: u64, model: &str| {
                    json!({"argument": model, "fencing": fencing, "kind": "load_model"})
                };
                let new = caller::post(&engine.address, "/orders", &load(7, "new")).await;
                assert_eq!(new.status, StatusCode::OK);
                let old = caller::post(&engine.address, "/orders", &load(6, "old")).await;
                assert_eq!(old.status, $status);
                let models = engine.read("/v1/models").await;
                assert_eq!(caller::column(&models["data"], "id"), $models);
                let orders = engine.read("/orders").await;
                assert_eq!(orders[1]["accepted"], $status == StatusCode::OK);
            });
        }
    };
}

old_order!(
    old_order_is_refused_if_checked,
    "checked",
    StatusCode::CONFLICT,
    ["lab", "new"]
);
old_order!(
    old_order_is_obeyed_if_ignored,
    "ignored",
    StatusCode::OK,
    ["lab", "new", "old"]
);

#[test]
fn deleted_stream_is_cancelled_at_once() {
    caller::run(async {
        let engine = start(&[]);
        let mut stream = caller::stream(&engine.address, "a", "hello", 10_000).await;
        stream.events(2).await.unwrap();
        let path = "/v1/streams/a";
        let deleted = caller::call(&engine.address, Method::DELETE, path, "", &Value::Null).await;
        assert_eq!(deleted.status, StatusCode::OK);
        // What was cancelled must not look like a whole answer.
        assert!(stream.events(usize::MAX).await.is_err());
        let decoded = engine.read("/log").await[0]["decoded"].clone();
        monoio::time::sleep(Duration::from_millis(50)).await;
        let log = engine.read("/log").await;
        assert_eq!(
            (&log[0]["end"], &log[0]["decoded"]),
            (&json!("cancelled"), &decoded)
        );
    });
}
