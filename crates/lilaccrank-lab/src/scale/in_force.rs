//! Times publications until they are in force on every daemon.

use std::io;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lilaccrank::configuration::archive::Archive;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::store_client::StoreClient;
use serde::Serialize;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::reading::{Cost, Reading, Spread as Values};
use crate::cluster::Cluster;
use crate::stand_in::Result;

/// Longest wait for a publication to be in force everywhere.
const LIMIT: Duration = Duration::from_secs(10);
/// Time between two looks at the logs.
const POLL: Duration = Duration::from_millis(100);
/// Time between two publications.
const PAUSE: Duration = Duration::from_secs(1);

/// Times of publications.
#[derive(Serialize)]
pub(super) struct Spread {
    /// Bytes of control per daemon and publication, over what an idle daemon spends.
    bytes_each: Values,
    count: usize,
    /// From the operator's call to in force on the last daemon.
    everywhere_ms_max: u64,
    everywhere_ms_p50: u64,
    /// Of that, after the operator was told that it is accepted.
    told_to_everywhere_ms_max: u64,
    peak_mb: Values,
    /// Processor time per daemon and publication, over what an idle daemon spends.
    processor_ms_each: f64,
    resident_mb: Values,
}

/// Publishes `count` changes of one customer.
pub(super) async fn measure(
    cluster: &Cluster,
    count: usize,
    idle: &Cost,
) -> Result<Option<Spread>> {
    if count == 0 {
        return Ok(None);
    }
    let mut histogram = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut last_after_told = 0;
    let mut document = cluster.document.clone();
    let before = Reading::of_all(cluster).await?;
    let begun = Instant::now();
    for _ in 0..count {
        let last = document.customers.last_mut();
        last.ok_or_else(|| io::Error::other("no customer"))?.weight += 1;
        let base = in_store(cluster).await?;
        let called = OffsetDateTime::now_utc();
        let identity = cluster.publish(base, document.clone()).await?;
        let told = OffsetDateTime::now_utc();
        let everywhere = everywhere(cluster, &identity).await?;
        let recorded = histogram.record(milliseconds(everywhere - called));
        recorded.map_err(io::Error::other)?;
        last_after_told = last_after_told.max(milliseconds(everywhere - told));
        monoio::time::sleep(PAUSE).await;
    }
    let elapsed = begun.elapsed();
    let after = Reading::of_all(cluster).await?;
    let cost = Cost::between(&before, &after, elapsed);
    let each = |rate: f64| rate * elapsed.as_secs_f64() / count as f64;
    let processor = cost.processor_percent.mean - idle.processor_percent.mean;
    Ok(Some(Spread {
        bytes_each: Values {
            max: each(cost.bytes_per_s.max - idle.bytes_per_s.mean),
            mean: each(cost.bytes_per_s.mean - idle.bytes_per_s.mean),
        },
        count,
        everywhere_ms_max: histogram.max(),
        everywhere_ms_p50: histogram.value_at_quantile(0.5),
        peak_mb: cost.peak_mb,
        processor_ms_each: each(processor) * 10.0,
        resident_mb: cost.resident_mb,
        told_to_everywhere_ms_max: last_after_told,
    }))
}

/// Whole milliseconds; none if a daemon was faster than the operator was told.
fn milliseconds(time: time::Duration) -> u64 {
    u64::try_from(time.whole_milliseconds()).unwrap_or(0)
}

async fn in_store(cluster: &Cluster) -> Result<Option<Identity>> {
    let store = StoreClient::new(cluster.platform.address.clone());
    let archive = Archive::new(&store, &MonoioClock, LIMIT);
    let current = archive.current().await.map_err(io::Error::other)?;
    Ok(current.map(|current| current.manifest.identity))
}

/// When the last daemon logged that the configuration is in force.
async fn everywhere(cluster: &Cluster, identity: &Identity) -> Result<OffsetDateTime> {
    let message = format!("{identity} is in force");
    let until = Instant::now() + LIMIT;
    loop {
        let logged = cluster
            .daemons
            .iter()
            .map(|daemon| logged_at(&cluster.log(&daemon.vm), &message));
        if let Some(times) = logged.collect::<Option<Vec<_>>>() {
            return times
                .into_iter()
                .max()
                .ok_or_else(|| io::Error::other("no daemons"));
        }
        if Instant::now() > until {
            return Err(io::Error::other(format!("not everywhere: {message}")));
        }
        monoio::time::sleep(POLL).await;
    }
}

fn logged_at(log: &str, message: &str) -> Option<OffsetDateTime> {
    log.lines().rev().find_map(|line| {
        let line: Value = serde_json::from_str(line).ok()?;
        if line["message"] != message {
            return None;
        }
        OffsetDateTime::parse(line["at"].as_str()?, &Rfc3339).ok()
    })
}
