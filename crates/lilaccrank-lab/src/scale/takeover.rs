//! Times how long a caller waits whose request comes just after a dispatcher was killed.

use std::io;
use std::time::{Duration, Instant};

use lilaccrank::rendezvous;
use serde::Serialize;

use super::small_call;
use crate::caller::{self, Outcome};
use crate::cluster::Cluster;
use crate::layout::ENGINES;
use crate::stand_in::Result;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(20);
/// Time for a restarted daemon to be a member again everywhere.
const SETTLE: Duration = Duration::from_secs(5);

/// Times of takeovers.
#[derive(Serialize)]
pub(super) struct Takeover {
    /// Callers that were refused and came back, over all takeovers.
    refused: usize,
    /// From the kill to a whole answer, each of them.
    to_answer_ms: Vec<u128>,
    /// The same without a kill.
    undisturbed_ms: u128,
}

/// Kills the dispatcher of the first data centre's pool `count` times.
pub(super) async fn measure(cluster: &mut Cluster, count: usize) -> Result<Option<Takeover>> {
    let data_centre = cluster.layout.data_centres[0].name.clone();
    let here = |d: &crate::cluster::Daemon| d.data_centre == data_centre;
    let members = cluster.daemons.iter().filter(|d| here(d)).count();
    if count == 0 || members < 2 {
        return Ok(None);
    }
    let vms = cluster.daemons.iter().filter(|d| here(d)).map(|d| &d.vm);
    let duty = format!("pool/{ENGINES}");
    let dispatcher = rendezvous::owner(&duty, vms).cloned().unwrap_or_default();
    let at = cluster.daemons.iter().position(|d| d.vm == dispatcher);
    let at = at.ok_or_else(|| io::Error::other("no dispatcher"))?;
    let other = cluster
        .daemons
        .iter()
        .position(|d| here(d) && d.vm != dispatcher);
    let other = other.ok_or_else(|| io::Error::other("no other daemon"))?;
    let mut refused = 0;
    answered(cluster, other, "warm", &mut refused).await?;
    let begun = Instant::now();
    answered(cluster, other, "undisturbed", &mut refused).await?;
    let undisturbed_ms = begun.elapsed().as_millis();
    let mut to_answer_ms = Vec::new();
    for i in 0..count {
        let begun = Instant::now();
        cluster.daemons[at].process.kill();
        answered(cluster, other, &format!("takeover-{i}"), &mut refused).await?;
        to_answer_ms.push(begun.elapsed().as_millis());
        cluster.restart(at)?;
        cluster.ready().await?;
        monoio::time::sleep(SETTLE).await;
        answered(cluster, other, &format!("restarted-{i}"), &mut refused).await?;
    }
    Ok(Some(Takeover {
        refused,
        to_answer_ms,
        undisturbed_ms,
    }))
}

/// Sends a request until it is answered; comes back at once when refused.
async fn answered(cluster: &Cluster, at: usize, key: &str, refused: &mut usize) -> Result<()> {
    let address = cluster.daemons[at].callers.to_string();
    let until = Instant::now() + LIMIT;
    loop {
        let outcome = caller::call(&cluster.client, &address, &small_call(key)).await;
        match outcome {
            Outcome::Whole { .. } => return Ok(()),
            Outcome::Refused { .. } if Instant::now() < until => *refused += 1,
            outcome => {
                let why = format!("no answer: {outcome:?}");
                return Err(io::Error::other(why));
            }
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}
