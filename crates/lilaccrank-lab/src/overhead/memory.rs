//! Memory of the daemon for each request that waits and for each open stream.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use lilaccrank_http::runtime;
use serde::Serialize;

use crate::caller::{self, Call};
use crate::cluster::Cluster;
use crate::layout::{EngineLayout, Layout, MODEL};
use crate::stand_in::Result;
use crate::usage;

/// Time for all requests to have come in.
const SETTLE: Duration = Duration::from_secs(3);
/// Tokens of an answer; more than are generated while the memory is read.
const TOKENS: usize = 2_000;

/// Kilobytes for each request, from the resident memory before and after.
#[derive(Serialize)]
pub(super) struct Memory {
    open_stream_kb: f64,
    /// Streams that the engine ran.
    open_streams: u64,
    requests: usize,
    waiting_request_kb: f64,
}

/// Holds `requests` at once, waiting first and then, in another cluster, open.
pub(super) async fn measure(requests: usize) -> Result<Memory> {
    let one_slot = EngineLayout {
        slots: 1,
        step_ms: 1_000.0,
        ..EngineLayout::default()
    };
    let (waiting_request_kb, _) = hold(one_slot, requests).await?;
    let all_slots = EngineLayout {
        prefill_tokens_per_s: 1e9,
        slots: u32::try_from(requests).map_err(io::Error::other)?,
        step_ms: 5.0,
        ..EngineLayout::default()
    };
    let (open_stream_kb, open_streams) = hold(all_slots, requests).await?;
    Ok(Memory {
        open_stream_kb,
        open_streams,
        requests,
        waiting_request_kb,
    })
}

/// Kilobytes for each of `requests`, and how many of them the engine runs.
async fn hold(engine: EngineLayout, requests: usize) -> Result<(f64, u64)> {
    let layout = Layout::one_data_centre(1, vec![engine]);
    let cluster = Rc::new(Cluster::start(layout).await?);
    let id = cluster.daemons[0].process.id();
    let before = usage::resident_kb(id)?;
    let calls: Vec<_> = (0..requests)
        .map(|i| runtime::spawn(send(Rc::clone(&cluster), i)))
        .collect();
    monoio::time::sleep(SETTLE).await;
    let after = usage::resident_kb(id)?;
    let running = running(&cluster).await?;
    let in_progress = in_progress(&cluster).await?;
    // Ended calls would leave the figure too small.
    if in_progress < requests {
        let why = format!("only {in_progress} of {requests} are in progress");
        return Err(io::Error::other(why));
    }
    drop(calls);
    Ok(((after - before) / requests as f64, running))
}

async fn send(cluster: Rc<Cluster>, i: usize) {
    let call = Call {
        bearer: Layout::customer_key("hospital"),
        max_tokens: TOKENS,
        model: MODEL.to_owned(),
        prompt: format!("job {i}"),
        stream: true,
        ..Call::default()
    };
    let address = cluster.daemons[0].callers.to_string();
    caller::call(&cluster.client, &address, &call).await;
}

async fn in_progress(cluster: &Cluster) -> Result<usize> {
    let admin = cluster.daemons[0].admin.to_string();
    let (_, text) = cluster.get(&admin, "/metrics").await?;
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix("lilaccrank_in_progress "));
    let value = value.and_then(|value| value.parse().ok());
    value.ok_or_else(|| io::Error::other("no lilaccrank_in_progress"))
}

async fn running(cluster: &Cluster) -> Result<u64> {
    let engine = cluster.engines.values().next();
    let engine = engine.ok_or_else(|| io::Error::other("no engine"))?;
    let (_, text) = cluster.get(&engine.address, "/load").await?;
    let load: serde_json::Value = serde_json::from_str(&text)?;
    Ok(load["running"].as_u64().unwrap_or(0))
}
