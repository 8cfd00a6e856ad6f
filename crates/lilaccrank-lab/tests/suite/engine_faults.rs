use std::time::Duration;

use futures::FutureExt;
use hyper::Method;
use lilaccrank_lab::answer_text;
use serde_json::{Value, json};

use crate::caller::{self, Stream};
use crate::process::Process;

fn start() -> Process {
    Process::start(&["engine", "--step-ms", "4"])
}

async fn resume(engine: &Process, id: &str, from: usize) -> Stream {
    let path = format!("/v1/streams/{id}?from={from}");
    let opened = caller::open(&engine.address, Method::GET, &path, id, &Value::Null).await;
    let (status, stream) = opened.unwrap();
    assert!(status.is_success());
    stream
}

async fn sleep_ms(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}

// The caller's stream breaks off after four tokens and it goes on where it stopped: the engine
// kept the answer in the meantime, so no token is missing and none comes twice.
#[test]
fn broken_stream_is_resumed() {
    caller::run(async {
        let engine = start();
        engine.control(json!({"break_after": 4})).await;
        let mut first = caller::stream(&engine.address, "a", "hello", 10).await;
        let begun = first.events(4).await.unwrap();
        assert!(first.events(1).await.is_err());
        let rest = resume(&engine, "a", 4)
            .await
            .events(usize::MAX)
            .await
            .unwrap();
        let text = caller::text(&begun) + &caller::text(&rest);
        assert_eq!(answer_text::check("hello", 10, &text), Ok(()));
        let log = engine.read("/log").await;
        assert_eq!(
            (&log[0]["end"], &log[0]["decoded"]),
            (&json!("done"), &json!(10))
        );
    });
}

#[test]
fn broken_whole_answer_is_seen_as_broken() {
    caller::run(async {
        let engine = start();
        engine.control(json!({"break_after": 0})).await;
        let body = json!({"max_tokens": 3, "model": "lab", "prompt": "hello"});
        let path = "/v1/completions";
        let opened = caller::open(&engine.address, Method::POST, path, "a", &body).await;
        // The break may come before the head is out or after it.
        if let Ok((_, mut stream)) = opened {
            assert!(stream.events(usize::MAX).await.is_err());
        }
    });
}

// A caller loses its connection, comes back after half a second, and loses it again. Its answer
// has to live two seconds from the second loss; the timer of the first loss runs out before that
// and finds nobody reading, just as it would have without the return.
#[test]
fn return_of_a_reader_voids_the_first_timer() {
    caller::run(async {
        let engine = start();
        let mut first = caller::stream(&engine.address, "a", "hello", 100_000).await;
        first.events(1).await.unwrap();
        drop(first);
        sleep_ms(500).await;
        let mut second = resume(&engine, "a", 1).await;
        second.events(1).await.unwrap();
        sleep_ms(1000).await;
        drop(second);
        sleep_ms(800).await;
        let log = engine.read("/log").await;
        assert_eq!(log[0]["end"], Value::Null);
        sleep_ms(1700).await;
        let log = engine.read("/log").await;
        assert_eq!(log[0]["end"], "cancelled");
    });
}

// A caller leaves while its request waits for a slot. The engine has nothing to send it and must
// notice all the same: prefill for a caller that has gone would be waste.
#[test]
fn caller_that_left_the_queue_costs_nothing() {
    caller::run(async {
        let engine = Process::start(&["engine", "--step-ms", "4", "--slots", "1"]);
        let mut running = caller::stream(&engine.address, "a", "hello", 1000).await;
        running.events(1).await.unwrap();
        drop(caller::stream(&engine.address, "b", "hello", 1).await);
        sleep_ms(2300).await;
        let log = engine.read("/log").await;
        assert_eq!(
            (&log[0]["end"], &log[1]["end"]),
            (&Value::Null, &json!("cancelled"))
        );
        assert_eq!(log[1]["prefilled_tokens"], 0);
    });
}

// The engine takes the request and falls silent before its head; the caller sees nothing until
// the hang is over, and the log tells that the request was begun all the same.
#[test]
fn hung_engine_has_begun_what_it_took() {
    caller::run(async {
        let engine = start();
        engine.control(json!({"hang": true})).await;
        let mut answer = Box::pin(caller::stream(&engine.address, "a", "hello", 2)).fuse();
        futures::select! {
            _ = answer => panic!("a hung engine answered"),
            () = sleep_ms(200).fuse() => {}
        }
        let log = engine.read("/log").await;
        assert_eq!(
            (&log[0]["request_id"], &log[0]["end"]),
            (&json!("a"), &Value::Null)
        );
        engine.control(json!({"hang": false})).await;
        let events = answer.await.events(usize::MAX).await.unwrap();
        let text = caller::text(&events);
        assert_eq!(answer_text::check("hello", 2, &text), Ok(()));
    });
}

#[test]
fn nonsense_is_no_document() {
    caller::run(async {
        let engine = start();
        engine.control(json!({"nonsense": true})).await;
        let answer = caller::complete(&engine.address, "a", "hello", 2).await;
        assert!(serde_json::from_slice::<Value>(&answer.body).is_err());
    });
}
