//! What the failure tests share: sending, waiting for conditions, and the targets' records.

use std::future::Future;
use std::time::{Duration, Instant};

use lilaccrank::ids::VmId;
use lilaccrank::rendezvous;
use lilaccrank::request_key::KeyId;
use lilaccrank_http::client::Client;
use lilaccrank_http::runtime;
use lilaccrank_lab::caller::{self, Call, Outcome};
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{DataCentreLayout, ENGINES, EngineLayout, Layout, MODEL};
use monoio::task::JoinHandle;
use serde_json::Value;

/// Longest wait for a condition.
pub const LIMIT: Duration = Duration::from_secs(8);
/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// The customer of all calls.
const CUSTOMER: &str = "hospital";

/// Runs a test on the runtime of the daemons.
pub fn run(test: impl Future<Output = ()>) {
    runtime::block_on(test).unwrap();
}

/// An engine of `slots` that takes 10 ms for a token.
pub fn engine(slots: u32) -> EngineLayout {
    EngineLayout {
        slots,
        step_ms: 10.0,
        ..EngineLayout::default()
    }
}

/// One data centre.
pub fn layout(daemons: usize, engines: Vec<EngineLayout>) -> Layout {
    let mut layout = Layout::one_data_centre(daemons, engines);
    layout.data_centres[0].services = 0;
    layout
}

/// Two data centres with one engine each.
pub fn two_data_centres(daemons: usize) -> Layout {
    let mut layout = layout(daemons, vec![engine(4)]);
    layout.data_centres.push(DataCentreLayout {
        name: "portmore".to_owned(),
        ..layout.data_centres[0].clone()
    });
    layout
}

/// A call with a key; its prompt is its own.
pub fn keyed(key: &str, max_tokens: usize) -> Call {
    Call {
        bearer: Layout::customer_key(CUSTOMER),
        key: Some(key.to_owned()),
        max_tokens,
        model: MODEL.to_owned(),
        prompt: format!("job card {key}"),
        stream: true,
        ..Call::default()
    }
}

/// A call that must not run more than once.
pub fn once(key: &str, max_tokens: usize) -> Call {
    Call {
        once: true,
        ..keyed(key, max_tokens)
    }
}

/// Sends a call to a daemon without waiting for its outcome.
pub fn send(cluster: &Cluster, at: usize, call: Call) -> JoinHandle<Outcome> {
    let (client, address) = (
        cluster.client.clone(),
        cluster.daemons[at].callers.to_string(),
    );
    monoio::spawn(async move { answer(&client, &address, &call).await })
}

/// Sends a call and waits for its outcome; a caller without any answer counts as lost.
pub async fn answer(client: &Client, address: &str, call: &Call) -> Outcome {
    let calling = monoio::time::timeout(LIMIT, caller::call(client, address, call));
    let outcome = calling.await;
    outcome.unwrap_or_else(|_| Outcome::Lost("no answer in time".to_owned()))
}

/// Sends a call again until it is answered or refused for good.
///
/// A refusal as not run is only true if no target has begun the request.
pub async fn repeat(cluster: &Cluster, at: usize, call: &Call) -> Outcome {
    let key = call.key.clone().unwrap();
    let until = Instant::now() + LIMIT;
    loop {
        let outcome = send(cluster, at, call.clone()).await;
        let Outcome::Refused { ran, .. } = &outcome else {
            return outcome;
        };
        if ran != "no" || Instant::now() > until {
            return outcome;
        }
        assert_eq!(runs(cluster, &key).await.len(), 0, "untrue: {outcome:?}");
        monoio::time::sleep(POLL).await;
    }
}

/// Tells a stand-in how to behave from now on.
pub async fn control(cluster: &Cluster, address: &str, control: Value) {
    let (status, text) = cluster.post(address, "/control", &control).await.unwrap();
    assert_eq!(status, 200, "{text}");
}

/// Waits until `check` holds.
pub async fn until(what: &str, check: impl AsyncFn() -> bool) {
    let until = Instant::now() + LIMIT;
    while !check().await {
        assert!(Instant::now() < until, "{what}: not in time");
        monoio::time::sleep(POLL).await;
    }
}

/// What the engines say they began.
pub async fn begun(cluster: &Cluster) -> Vec<Value> {
    let mut all = Vec::new();
    for engine in cluster.engines.values() {
        // A dead engine has no record, and a hung one still gives it.
        all.extend(cluster.begun(&engine.address).await.unwrap_or_default());
    }
    all
}

/// What the engines say they began for a key.
pub async fn runs(cluster: &Cluster, key: &str) -> Vec<Value> {
    let mut all = begun(cluster).await;
    all.retain(|run| run["key"] == key);
    all
}

/// Waits until an engine has generated some tokens for a key.
pub async fn running(cluster: &Cluster, key: &str) {
    until("mid-stream", async || {
        let runs = runs(cluster, key).await;
        runs.iter().any(|run| run["decoded"].as_u64() > Some(3))
    })
    .await;
}

/// Asserts that the outcome is a refusal, or a broken answer, that leaves open whether it ran.
pub fn assert_maybe(outcome: &Outcome) {
    let maybe = matches!(outcome, Outcome::Refused { ran, .. } if ran == "maybe");
    assert!(maybe, "{outcome:?}");
}

/// Asserts that the whole answer came.
pub fn assert_whole(outcome: &Outcome) {
    assert!(matches!(outcome, Outcome::Whole { .. }), "{outcome:?}");
}

/// Position of the daemon that dispatches for the engines.
pub fn dispatcher(cluster: &Cluster) -> usize {
    ranked(cluster, &format!("pool/{ENGINES}"))[0]
}

/// Positions of all daemons by their rank for a key: keeper, copy, and the others.
pub fn keepers(cluster: &Cluster, key: &str) -> Vec<usize> {
    let id = KeyId::new(CUSTOMER, key);
    ranked(cluster, &format!("key/{:x}", id.hash()))
}

/// A key and the daemons by their rank for it, where the pool's dispatcher comes last. So the
/// keepers of the key can die without a change of the dispatcher.
pub fn key_apart(cluster: &Cluster) -> (String, Vec<usize>) {
    let dispatcher = dispatcher(cluster);
    let keys = (0..).map(|n| format!("key-{n}"));
    let mut ranked = keys.map(|key| {
        let ranked = keepers(cluster, &key);
        (key, ranked)
    });
    ranked
        .find(|(_, ranked)| ranked.last() == Some(&dispatcher))
        .unwrap()
}

/// What a daemon tells operators.
pub async fn status(cluster: &Cluster, at: usize) -> Value {
    let admin = cluster.daemons[at].admin.to_string();
    let (_, text) = cluster.get(&admin, "/v1/status").await.unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

/// Requests that wait at a dispatcher of the engines.
pub async fn waiting(cluster: &Cluster, dispatcher: usize) -> u64 {
    let status = status(cluster, dispatcher).await;
    let tiers = status["pools"][ENGINES]["waiting"].as_array();
    let waiting = tiers.into_iter().flatten();
    waiting.filter_map(|tier| tier["waiting"].as_u64()).sum()
}

/// Waits until a daemon no longer takes another for live.
pub async fn forgotten(cluster: &Cluster, by: usize, gone: usize) {
    until("a dead member", async || {
        let status = status(cluster, by).await;
        let members = status["members"].as_array().into_iter().flatten();
        let vm = cluster.daemons[gone].vm.as_str();
        let mut it = members.filter(|member| member["vm"] == vm);
        !status["members"].is_null() && it.all(|member| member["state"] == "d")
    })
    .await;
}

fn ranked(cluster: &Cluster, duty: &str) -> Vec<usize> {
    let vms: Vec<VmId> = cluster.daemons.iter().map(|d| d.vm.clone()).collect();
    let ranked = rendezvous::top(duty, &vms, vms.len());
    let position = |vm: &VmId| vms.iter().position(|v| v == vm).unwrap();
    ranked.into_iter().map(position).collect()
}
