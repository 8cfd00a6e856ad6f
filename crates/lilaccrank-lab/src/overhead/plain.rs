//! Processor time of a small plain call, through the daemon and straight to the service.

use std::io;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request};
use lilaccrank_http::body;
use lilaccrank_http::client::{self, Limits};
use serde::Serialize;

use crate::cluster::Cluster;
use crate::layout::Layout;
use crate::stand_in::Result;
use crate::usage;

/// Calls in progress at once.
const AT_ONCE: usize = 64;
/// Largest answer.
const ANSWER_LIMIT: usize = 1 << 16;
const LIMITS: Limits = Limits {
    connect: Duration::from_secs(1),
    max_idle: client::MAX_IDLE,
    head: Duration::from_secs(10),
};

/// Cost of small plain calls.
#[derive(Serialize)]
pub(super) struct Plain {
    calls: usize,
    /// Of the daemon for calls through it.
    daemon: Cost,
    /// Of the service for calls straight to it.
    direct: Cost,
}

#[derive(Serialize)]
struct Cost {
    calls_per_s: f64,
    /// Calls in a second of processor time.
    calls_per_s_and_core: f64,
    processor_us_each: f64,
}

/// Sends `calls` each way.
pub(super) async fn measure(cluster: &Cluster, calls: usize) -> Result<Plain> {
    let service = cluster.services.values().next();
    let service = service.ok_or_else(|| io::Error::other("no service"))?;
    let daemon = &cluster.daemons[0];
    let direct = send_all(cluster, &service.address, service.id(), calls).await?;
    let address = daemon.callers.to_string();
    let daemon = send_all(cluster, &address, daemon.process.id(), calls).await?;
    Ok(Plain {
        calls,
        daemon,
        direct,
    })
}

async fn send_all(cluster: &Cluster, address: &str, id: u32, calls: usize) -> Result<Cost> {
    let before = usage::processor_s(id)?;
    let begun = Instant::now();
    let answers = stream::iter(0..calls).map(|i| send(cluster, address, i));
    let answers: Vec<_> = answers.buffer_unordered(AT_ONCE).collect().await;
    answers.into_iter().collect::<Result<Vec<()>>>()?;
    let elapsed = begun.elapsed().as_secs_f64();
    let each = (usage::processor_s(id)? - before) / calls as f64;
    Ok(Cost {
        calls_per_s: calls as f64 / elapsed,
        calls_per_s_and_core: 1.0 / each,
        processor_us_each: each * 1e6,
    })
}

async fn send(cluster: &Cluster, address: &str, i: usize) -> Result<()> {
    let mut req = Request::new(body::full(format!("{{\"job\":{i}}}")));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = "/jobs".parse().map_err(io::Error::other)?;
    let bearer = format!("Bearer {}", Layout::customer_key("hospital"));
    let bearer = HeaderValue::try_from(bearer).map_err(io::Error::other)?;
    let headers = req.headers_mut();
    headers.insert(AUTHORIZATION, bearer);
    headers.insert(HOST, HeaderValue::from_static("lab"));
    let sent = cluster.client.send(address, req, LIMITS).await;
    let (res, connection) = sent.map_err(io::Error::other)?;
    let status = res.status();
    let answer = body::read(res.into_body(), ANSWER_LIMIT).await;
    answer.map_err(io::Error::other)?;
    cluster.client.release(connection);
    if status.is_success() {
        Ok(())
    } else {
        Err(io::Error::other(format!("{address} answered {status}")))
    }
}
