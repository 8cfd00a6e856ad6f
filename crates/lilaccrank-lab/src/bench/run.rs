//! One run: a cluster, its load and its faults.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::stream::FuturesUnordered;
use futures::{StreamExt, pin_mut};
use hyper::Method;
use serde_json::Value;

use crate::caller::{self, Outcome};
use crate::cluster::Cluster;
use crate::reply;
use crate::stand_in::Result;

use super::Policy;
use super::baseline::Chooser;
use super::faults::{self, Balancer};
use super::judge::{Judge, Seen};
use super::plan::{self, Planned};
use super::report::Report;
use super::scenario::Scenario;

/// Time between the cluster's readiness and the start of the load.
const SETTLING: Duration = Duration::from_millis(1500);
/// A caller waits so much longer than its deadline for the daemon's own word.
const PATIENCE: Duration = Duration::from_secs(10);
/// Times that a caller sends a request again, with its key, after its connection broke.
const REPEATS: usize = 5;
/// Wait before a request is sent again.
const REPEAT_AFTER: Duration = Duration::from_millis(100);
/// Time for what was cancelled to come to its end in the engines.
const DRAINING: Duration = Duration::from_millis(500);

/// What all callers of a run share.
struct Callers {
    balancer: Balancer,
    begun: Instant,
    chooser: Chooser,
    cluster: Rc<Cluster>,
    policy: Policy,
}

/// Runs the scenario by one policy.
///
/// # Errors
///
/// If the cluster can't be started, a fault can't be brought about or a log can't be read.
pub(super) async fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Result<Report> {
    let plan = plan::draw(scenario, seed);
    let layout = scenario.layout(policy == Policy::Lilaccrank);
    let cluster = Rc::new(Cluster::start(layout).await?);
    monoio::time::sleep(SETTLING).await;
    let callers = Rc::new(Callers {
        balancer: Balancer::new(cluster.daemons.len()),
        begun: Instant::now(),
        chooser: Chooser::new(policy, cluster.engines.len(), seed),
        cluster: Rc::clone(&cluster),
        policy,
    });
    let seen = callers.load_and_faults(scenario, &plan).await?;
    monoio::time::sleep(DRAINING).await;
    let mut logs: Vec<Vec<Value>> = Vec::new();
    for engine in cluster.engines.values() {
        logs.push(cluster.begun(&engine.address).await?);
    }
    let judge = Judge::new(scenario, &plan, &seen, &logs)?;
    Ok(Report::new(scenario, policy, seed, &plan, &judge))
}

impl Callers {
    async fn load_and_faults(
        self: &Rc<Self>,
        scenario: &Scenario,
        plan: &[Planned],
    ) -> Result<Vec<Seen>> {
        let faults = scenario.faults.iter().map(|timed| {
            faults::bring_about(&self.cluster, &self.balancer, self.begun, timed.clone())
        });
        let faults = future::try_join_all(faults);
        let calls: FuturesUnordered<_> = plan
            .iter()
            .enumerate()
            .map(|(i, planned)| self.request(i, planned))
            .collect();
        let mut seen: Vec<(usize, Seen)> = {
            let polling = self.chooser.poll(&self.cluster);
            let working = future::join(calls.collect(), faults);
            pin_mut!(polling, working);
            let (seen, faults) = match future::select(working, polling).await {
                Either::Left((done, _)) => done,
                Either::Right(((), working)) => working.await,
            };
            faults?;
            seen
        };
        seen.sort_by_key(|(i, _)| *i);
        Ok(seen.into_iter().map(|(_, seen)| seen).collect())
    }

    /// Sends one request at its time and waits for its end.
    async fn request(&self, i: usize, planned: &Planned) -> (usize, Seen) {
        let due = self.begun + planned.at;
        monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        let sent = Instant::now();
        let sent_ms = reply::wall_ms();
        let outcome = match self.policy {
            Policy::Lilaccrank => self.through_daemons(i, planned, sent).await,
            _ => self.straight(planned).await,
        };
        let seen = Seen {
            ended_ms: reply::wall_ms(),
            outcome,
            sent_ms,
        };
        (i, seen)
    }

    /// A baseline: one try at the chosen engine, cancelled there when the deadline passes.
    async fn straight(&self, planned: &Planned) -> Outcome {
        let target = &self.cluster.document.pools[0].targets[self.chooser.choose()];
        let mut call = planned.call.clone();
        call.id = Some(planned.key.clone());
        let calling = caller::call(&self.cluster.client, &target.address, &call);
        match monoio::time::timeout(planned.deadline, calling).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let path = format!("/v1/streams/{}", planned.key);
                let cancelling =
                    self.cluster
                        .send(&target.address, Method::DELETE, &path, String::new());
                // Whether it ran at all is for the engine's log to say.
                let _ = cancelling.await;
                Outcome::Refused {
                    kind: "deadline_passed".to_owned(),
                    ran: "maybe".to_owned(),
                    retry_after: None,
                    status: 0,
                }
            }
        }
    }

    /// Through the balancer to a daemon; a broken connection is followed by a repeat with the
    /// same key, as callers do.
    async fn through_daemons(&self, i: usize, planned: &Planned, sent: Instant) -> Outcome {
        let until = sent + planned.deadline + PATIENCE;
        let mut last = Outcome::Lost("never sent".to_owned());
        for turn in 0..=REPEATS {
            let at = self.balancer.pick(i + turn);
            let address = self.cluster.daemons[at].callers.to_string();
            let mut call = planned.call.clone();
            let left = planned.deadline.saturating_sub(sent.elapsed());
            call.deadline_ms = Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1));
            let offset = sent.elapsed();
            let calling = caller::call(&self.cluster.client, &address, &call);
            let left = until.saturating_duration_since(Instant::now());
            last = match monoio::time::timeout(left, calling).await {
                Ok(outcome) => told(outcome, offset),
                Err(_) => return Outcome::Lost("no word long after the deadline".to_owned()),
            };
            let (Outcome::Broken(why) | Outcome::Foreign(why) | Outcome::Lost(why)) = &last else {
                return last;
            };
            eprintln!("repeated: {} after {offset:?}: {why}", planned.key);
            monoio::time::sleep(REPEAT_AFTER).await;
        }
        last
    }
}

/// Counts times from the first try, and reads an error event in the middle of a stream as the
/// refusal that it is.
fn told(outcome: Outcome, offset: Duration) -> Outcome {
    match outcome {
        Outcome::Whole { first_token, total } => Outcome::Whole {
            first_token: first_token + offset,
            total: total + offset,
        },
        Outcome::Broken(why) => {
            let error: Value = serde_json::from_str(&why).unwrap_or_default();
            let field = |name: &str| error[name].as_str().map(str::to_owned);
            match (field("kind"), field("ran")) {
                (Some(kind), Some(ran)) => Outcome::Refused {
                    kind,
                    ran,
                    retry_after: None,
                    status: 200,
                },
                _ => Outcome::Broken(why),
            }
        }
        other => other,
    }
}
