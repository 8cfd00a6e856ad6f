//! Callers that leave while an engine works for them.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{EngineLayout, Layout};
use lilaccrank_lab::reply;
use serde_json::Value;

use crate::harness;

/// Longest time from the close until the engine has ended its work.
const AIM: Duration = Duration::from_millis(100);
/// Time for which the engine is watched.
const WATCHED: Duration = Duration::from_millis(800);
/// Beginning of a next request, which may stand behind the first.
const NEXT: &str = "POST /v1/completions HTTP/1.1\r\nhost: a\r\n";

/// An engine that is silent for a second between two tokens.
fn slow(mut layout: Layout) -> Layout {
    for engine in layout.data_centres.iter_mut().flat_map(|d| &mut d.engines) {
        *engine = EngineLayout {
            step_ms: 1_000.0,
            ..engine.clone()
        };
    }
    layout
}

fn one_data_centre() -> Layout {
    slow(harness::layout(2, vec![harness::engine(4)]))
}

/// The data centre of the first daemon has no engine, and spills to the other one.
fn spilling() -> Layout {
    let mut layout = slow(harness::two_data_centres(1));
    layout.data_centres[0].engines.clear();
    layout.spill = vec![layout.data_centres[1].name.clone()];
    layout
}

/// Sends a request to the first daemon, with these header lines.
fn begin(cluster: &Cluster, stream: bool, headers: &str, behind: &str) -> TcpStream {
    let call = harness::keyed("leaves", 20);
    let body = serde_json::json!({
        "max_tokens": call.max_tokens,
        "model": call.model,
        "prompt": call.prompt,
        "stream": stream,
    });
    let body = body.to_string();
    let mut caller = TcpStream::connect(cluster.daemons[0].callers).unwrap();
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n{headers}\
         content-length: {}\r\n\r\n{body}{behind}",
        call.bearer,
        body.len(),
    );
    caller.write_all(text.as_bytes()).unwrap();
    caller
}

/// The one request that the engines began, once it has a token.
async fn running(cluster: &Cluster) -> Value {
    harness::until("a token", async || {
        let begun = harness::begun(cluster).await;
        begun.iter().any(|run| run["decoded"].as_u64() > Some(0))
    })
    .await;
    run(cluster).await
}

async fn run(cluster: &Cluster) -> Value {
    let mut begun = harness::begun(cluster).await;
    assert_eq!(begun.len(), 1, "{begun:?}");
    begun.remove(0)
}

fn leaves(layout: Layout, stream: bool, behind: &'static str) {
    harness::run(async {
        let cluster = Cluster::start(layout).await.unwrap();
        let caller = begin(&cluster, stream, "", behind);
        running(&cluster).await;
        // Taken first: the engine may hear of the shutdown before this thread goes on.
        let left_ms = reply::wall_ms();
        caller.shutdown(Shutdown::Both).unwrap();
        monoio::time::sleep(WATCHED).await;
        let run = run(&cluster).await;
        let ended = run["ended_ms"].as_u64();
        let ended = ended.and_then(|ended| ended.checked_sub(left_ms));
        let limit = u64::try_from(AIM.as_millis()).unwrap();
        assert!(ended.is_some_and(|ended| ended <= limit), "{ended:?} {run}");
    });
}

/// Guards against an engine that works on for a caller that has left.
macro_rules! leaves {
    ($($name:ident: $layout:ident, $stream:literal, $behind:expr;)*) => {
        $(
            #[test]
            fn $name() {
                leaves($layout(), $stream, $behind);
            }
        )*
    };
}

leaves! {
    silent_stream: one_data_centre, true, "";
    silent_stream_before_a_next_request: one_data_centre, true, NEXT;
    whole_answer: one_data_centre, false, "";
    whole_answer_before_a_next_request: one_data_centre, false, NEXT;
    spilled_stream: spilling, true, "";
    spilled_stream_before_a_next_request: spilling, true, NEXT;
    spilled_whole_answer: spilling, false, "";
    spilled_whole_answer_before_a_next_request: spilling, false, NEXT;
}

/// Guards against a keyed request that is cancelled while its caller may come back.
#[test]
fn a_keyed_request_runs_on() {
    harness::run(async {
        let cluster = Cluster::start(one_data_centre()).await.unwrap();
        let headers = "idempotency-key: leaves\r\n";
        let caller = begin(&cluster, true, headers, NEXT);
        running(&cluster).await;
        drop(caller);
        monoio::time::sleep(WATCHED).await;
        assert!(run(&cluster).await["ended_ms"].is_null());
    });
}
