//! `demo`: an hourly burst through a whole cluster, judged by callers and engines.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use indexmap::IndexMap;
use rand::RngExt;

use crate::caller::{self, Call, Outcome};
use crate::cluster::Cluster;
use crate::layout::{Layout, MODEL, TIERS};
use crate::stand_in::Result;

/// Settings of the demo.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Requests in the burst.
    #[arg(long, default_value_t = 240)]
    requests: usize,
}

/// What became of the requests of one tier.
#[derive(Default)]
struct Row {
    broken: usize,
    first_tokens: Vec<Duration>,
    lost: usize,
    refused: IndexMap<String, usize>,
    whole: usize,
}

/// Runs the demo and prints its table.
///
/// # Errors
///
/// If the cluster can't be started, or a request has no whole answer and no truthful refusal.
pub async fn run(args: Args) -> Result<()> {
    let cluster = Cluster::start(Layout::three_data_centres(3)).await?;
    println!(
        "{} daemons, {} engines and {} services in {} data centres are up",
        cluster.daemons.len(),
        cluster.engines.len(),
        cluster.services.len(),
        cluster.layout.data_centres.len(),
    );
    let mut calls = FuturesUnordered::new();
    for i in 0..args.requests {
        let call = burst_call(&cluster, i);
        let address = cluster.daemons[i % cluster.daemons.len()]
            .callers
            .to_string();
        let client = cluster.client.clone();
        calls.push(async move {
            let outcome = caller::call(&client, &address, &call).await;
            (call, outcome)
        });
    }
    let mut rows: IndexMap<&str, Row> = TIERS.map(|tier| (tier, Row::default())).into();
    let mut not_run = Vec::new();
    while let Some((call, outcome)) = calls.next().await {
        let tier = call.tier.as_deref().unwrap_or(TIERS[0]);
        let row = rows.entry(TIERS.into_iter().find(|t| *t == tier).unwrap_or(TIERS[0]));
        if matches!(&outcome, Outcome::Refused { ran, .. } if ran == "no") {
            not_run.extend(call.key.clone());
        }
        row.or_default().count(outcome);
    }
    print(&rows);
    let jobs = send_jobs(&cluster).await?;
    println!("{jobs} job cards passed through to the plain services, each run once");
    let untrue = untruths(&cluster, &not_run).await?;
    println!("run twice or run although refused as not run: {untrue}");
    if rows[TIERS[0]].whole == 0 {
        return Err(std::io::Error::other("no urgent request was answered"));
    }
    let bad = untrue
        + rows
            .values()
            .map(|row| row.broken + row.lost)
            .sum::<usize>();
    if bad > 0 {
        return Err(std::io::Error::other(format!("{bad} requests went wrong")));
    }
    println!("every request has one whole answer or one truthful refusal");
    Ok(())
}

impl Row {
    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Broken(why) | Outcome::Foreign(why) => {
                eprintln!("broken: {why}");
                self.broken += 1;
            }
            Outcome::Lost(why) => {
                eprintln!("lost: {why}");
                self.lost += 1;
            }
            Outcome::Refused { kind, .. } => *self.refused.entry(kind).or_default() += 1,
            Outcome::Whole { first_token, .. } => {
                self.first_tokens.push(first_token);
                self.whole += 1;
            }
        }
    }
}

fn burst_call(cluster: &Cluster, i: usize) -> Call {
    let customers = &cluster.layout.customers;
    let mut rng = rand::rng();
    let long = i.is_multiple_of(10);
    let words = if long { 2_000 } else { 20 };
    Call {
        bearer: Layout::customer_key(&customers[i % customers.len()]),
        key: Some(format!("demo-{i}")),
        max_tokens: if long { 64 } else { 16 },
        model: MODEL.to_owned(),
        once: i.is_multiple_of(7),
        prompt: format!("{i} {:x} {}", rng.random::<u64>(), "report ".repeat(words)),
        stream: i.is_multiple_of(2),
        tier: Some(TIERS[i % TIERS.len()].to_owned()),
        ..Call::default()
    }
}

/// Sends job cards to the plain services; each must be run exactly once.
async fn send_jobs(cluster: &Cluster) -> Result<usize> {
    for (i, daemon) in cluster.daemons.iter().enumerate() {
        let card = serde_json::json!({"job": i, "site": "cold room"});
        let bearer = Layout::customer_key(&cluster.layout.customers[0]);
        let address = daemon.callers.to_string();
        let (status, body) = cluster
            .post_as(&bearer, &address, "/jobs/cards", &card)
            .await?;
        if status != 200 {
            return Err(std::io::Error::other(format!("job {i}: {status} {body}")));
        }
    }
    let mut begun = 0;
    for service in cluster.services.values() {
        begun += cluster.begun(&service.address).await?.len();
    }
    if begun != cluster.daemons.len() {
        return Err(std::io::Error::other(format!("{begun} jobs were run")));
    }
    Ok(begun)
}

fn print(rows: &IndexMap<&str, Row>) {
    println!("tier     whole  refused  broken  lost  first token p50 / max");
    for (tier, row) in rows {
        let mut times = row.first_tokens.clone();
        times.sort_unstable();
        let at = |i: usize| times.get(i).copied().unwrap_or_default().as_millis();
        println!(
            "{tier:<8} {:>5}  {:>7}  {:>6}  {:>4}  {:>5} / {} ms",
            row.whole,
            row.refused.values().sum::<usize>(),
            row.broken,
            row.lost,
            at(times.len() / 2),
            at(times.len().saturating_sub(1)),
        );
        for (kind, count) in &row.refused {
            println!("         {count} refused: {kind}");
        }
    }
}

/// Requests that the engines began more than once, or although their caller was told that they
/// were not run.
async fn untruths(cluster: &Cluster, not_run: &[String]) -> Result<usize> {
    let mut begun: IndexMap<String, usize> = IndexMap::new();
    for engine in cluster.engines.values() {
        for entry in cluster.begun(&engine.address).await? {
            let key = entry["key"].as_str().unwrap_or_default().to_owned();
            *begun.entry(key).or_default() += 1;
        }
    }
    let doubled = begun.values().filter(|count| **count > 1).count();
    let untrue = not_run
        .iter()
        .filter(|key| begun.contains_key(*key))
        .count();
    Ok(doubled + untrue)
}
