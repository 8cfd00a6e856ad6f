//! What the daemons spend on requests beside the requests themselves: asks, grants, reports, and
//! the records of request keys.

use std::io;
use std::time::Instant;

use futures::{StreamExt, stream};
use serde::Serialize;

use super::reading::{Control, Cost, Reading};
use super::small_call;
use crate::caller::{self, Call, Outcome};
use crate::cluster::Cluster;
use crate::stand_in::Result;

/// Requests in progress at once.
const AT_ONCE: usize = 32;

/// Cost of one request, over what idle daemons spend.
#[derive(Serialize)]
pub(super) struct Requests {
    /// Of all daemons together, at both ends of each call.
    bytes_each: f64,
    /// The same by channel and direction, what idle daemons spend included.
    control_each: Control,
    count: usize,
    /// Of all daemons together, the request itself included.
    processor_us_each: f64,
    requests_per_s: f64,
}

/// Sends `count` requests, with or without a key each.
pub(super) async fn measure(
    cluster: &Cluster,
    count: usize,
    keyed: bool,
    idle: &Cost,
) -> Result<Option<Requests>> {
    if count == 0 {
        return Ok(None);
    }
    let before = Reading::of_all(cluster).await?;
    let begun = Instant::now();
    send(cluster, count, keyed).await?;
    let elapsed = begun.elapsed();
    let after = Reading::of_all(cluster).await?;
    let cost = Cost::between(&before, &after, elapsed);
    let each = |rate: f64| {
        let daemons = cluster.daemons.len() as f64;
        rate * elapsed.as_secs_f64() * daemons / count as f64
    };
    let processor = cost.processor_percent.mean - idle.processor_percent.mean;
    Ok(Some(Requests {
        bytes_each: each(cost.bytes_per_s.mean - idle.bytes_per_s.mean),
        control_each: cost.control_per_s.scaled(each(1.0)),
        count,
        processor_us_each: each(processor) * 1e4,
        requests_per_s: count as f64 / elapsed.as_secs_f64(),
    }))
}

async fn send(cluster: &Cluster, count: usize, keyed: bool) -> Result<()> {
    let calls = stream::iter(0..count).map(|i| async move {
        let daemon = &cluster.daemons[i % cluster.daemons.len()];
        let call = if keyed {
            small_call(&format!("scale-{i}"))
        } else {
            Call {
                key: None,
                ..small_call("")
            }
        };
        caller::call(&cluster.client, &daemon.callers.to_string(), &call).await
    });
    let outcomes: Vec<Outcome> = calls.buffer_unordered(AT_ONCE).collect().await;
    let mut failed = outcomes
        .iter()
        .filter(|o| !matches!(o, Outcome::Whole { .. }));
    match failed.next() {
        None => Ok(()),
        Some(outcome) => Err(io::Error::other(format!("not answered: {outcome:?}"))),
    }
}
