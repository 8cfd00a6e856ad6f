//! Polls the engines of a pool for their load, which lags, and their cache events, which arrive
//! late and with gaps. Only the dispatcher of a pool polls it.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request};
use indexmap::IndexMap;
use lilaccrank::dispatch::message::{CacheEvent, LoadReport};
use lilaccrank::document::{PoolKind, Target};
use lilaccrank::ids::{PoolId, TargetId};
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::body;
use lilaccrank_http::client::{self, Limits};
use lilaccrank_http::timeout;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::daemon::Daemon;
use crate::pools::server::ServedPool;
use crate::targets::native_protocol;

/// Interval between two polls of one target. Reports only correct the dispatcher's own estimate;
/// polling twenty engines every half second would cost twice what a daemon may spend on all of its
/// control traffic.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Timeouts of one request.
const LIMITS: Limits = Limits {
    connect: Duration::from_millis(300),
    max_idle: client::MAX_IDLE,
    head: Duration::from_millis(500),
};
/// Size limit of a report, in bytes.
const REPORT_LIMIT: usize = 1 << 20;

#[derive(Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
}

#[derive(Deserialize)]
struct CacheEventEntry {
    digest: u64,
    kind: Kind,
    seq: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Evicted,
    Stored,
}

/// Polls while this daemon dispatches the pool.
pub async fn run(daemon: Rc<Daemon>, served: Rc<ServedPool>, pool: PoolId) {
    let polling = poll(&daemon, &served, &pool);
    let retired = served.retired();
    pin_mut!(polling, retired);
    if let Either::Left(_) = future::select(polling, retired).await {
        log::debug!("pool {pool} has nothing to poll");
    }
}

async fn poll(daemon: &Rc<Daemon>, served: &Rc<ServedPool>, pool: &PoolId) {
    let mut last_seqs: IndexMap<TargetId, u64> = IndexMap::new();
    loop {
        let Some(targets) = engines(daemon, pool) else {
            return;
        };
        let readings = targets.iter().map(|target| {
            let after = last_seqs.get(&target.id).copied().unwrap_or(0);
            read_target(daemon, served, target, after)
        });
        let read = future::join_all(readings).await;
        for (target, last) in targets.iter().zip(read) {
            last_seqs.insert(target.id.clone(), last);
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

fn engines(daemon: &Daemon, pool: &PoolId) -> Option<Vec<Target>> {
    let in_force = daemon.in_force().ok()?;
    let pool = in_force.document.pool(pool)?;
    // Targets of the platform's list report in another format.
    if pool.kind != PoolKind::Engine || pool.listed {
        return None;
    }
    let is_local = |target: &&Target| target.data_centre == daemon.cfg.data_centre;
    Some(pool.targets.iter().filter(is_local).cloned().collect())
}

/// Polls one target. Returns the last sequence number seen.
async fn read_target(daemon: &Daemon, served: &ServedPool, target: &Target, after: u64) -> u64 {
    if let Some(load) = get::<Load>(daemon, target, "/load").await {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
        };
        served
            .dispatcher
            .load_report(&TargetInstance::of(target), report);
    }
    let path = format!("/cache-events?after={after}");
    let events = get::<Vec<CacheEventEntry>>(daemon, target, &path).await;
    let mut last = after;
    for event in events.unwrap_or_default() {
        let kind = match event.kind {
            Kind::Evicted => CacheEvent::Evicted(event.digest),
            Kind::Stored => CacheEvent::Stored(event.digest),
        };
        served
            .dispatcher
            .cache_events(&TargetInstance::of(target), event.seq, &[kind]);
        last = event.seq;
    }
    last
}

/// Reads a report of a target, which may say that the target leaves.
async fn get<T: DeserializeOwned>(daemon: &Daemon, target: &Target, path: &str) -> Option<T> {
    let mut req = Request::new(body::empty());
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.parse().ok()?;
    req.headers_mut()
        .insert(HOST, HeaderValue::from_static("target"));
    let sent = daemon
        .report_client
        .send(&target.address, req, LIMITS)
        .await;
    let (res, connection) = sent.ok()?;
    if native_protocol::says_leaving(res.headers()) {
        let instance = TargetInstance::of(target);
        daemon
            .advisories
            .record_leaving(&instance, &daemon.load_exchange);
    }
    let reading = body::read(res.into_body(), REPORT_LIMIT);
    let bytes = timeout::timeout(LIMITS.head, reading).await.ok()?.ok()?;
    daemon.report_client.release(connection);
    serde_json::from_slice(&bytes).ok()
}
