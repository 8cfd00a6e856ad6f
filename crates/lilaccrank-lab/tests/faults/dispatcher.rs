use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future;
use lilaccrank::document::Document;
use lilaccrank_lab::caller::{Call, Outcome};
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::TIERS;
use monoio::task::JoinHandle;
use serde_json::json;

use crate::harness;

/// Requests in each tier.
const EACH: usize = 12;
/// Most that may wait, fewer than all that come.
const WAITING_LIMIT: usize = 20;
/// Time in which a request that was granted reaches the engine.
const ON_ITS_WAY: Duration = Duration::from_millis(200);

/// One request and when, by the wall clock that the engines log.
struct Ended {
    begun_ms: Option<u64>,
    ended_ms: u64,
    key: String,
    outcome: Outcome,
    sent_ms: u64,
    tier: usize,
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

fn send(cluster: &Cluster, at: usize, tier: usize, n: usize) -> JoinHandle<Ended> {
    let key = format!("{}-{n}", TIERS[tier]);
    let call = Call {
        tier: Some(TIERS[tier].to_owned()),
        ..harness::keyed(&key, 10)
    };
    let (client, address) = (
        cluster.client.clone(),
        cluster.daemons[at].callers.to_string(),
    );
    monoio::spawn(async move {
        let sent_ms = wall_ms();
        let outcome = harness::answer(&client, &address, &call).await;
        Ended {
            begun_ms: None,
            ended_ms: wall_ms(),
            key,
            outcome,
            sent_ms,
            tier,
        }
    })
}

/// Fills the queue past its limit, the lowest tier first, through all daemons but the
/// dispatcher; lets `fault` happen to the dispatcher; and judges what became of each request.
fn handover(fault: impl AsyncFnOnce(&mut Cluster, usize)) {
    harness::run(async {
        let layout = harness::layout(3, vec![harness::engine(2)]);
        let edit = |document: &mut Document| document.pools[0].waiting_limit = WAITING_LIMIT;
        let mut cluster = Cluster::start_with(layout, edit).await.unwrap();
        let dispatcher = harness::dispatcher(&cluster);
        let entries: Vec<_> = (0..3).filter(|at| *at != dispatcher).collect();
        let mut sent = Vec::new();
        for tier in [3, 2, 0] {
            sent.extend((0..EACH).map(|n| send(&cluster, entries[n % 2], tier, n)));
            let arrived = WAITING_LIMIT.min(sent.len()) - 2;
            harness::until("queued", async || {
                harness::waiting(&cluster, dispatcher).await >= arrived as u64
            })
            .await;
        }
        fault(&mut cluster, dispatcher).await;
        let mut ended = future::join_all(sent).await;
        for request in &mut ended {
            let runs = harness::runs(&cluster, &request.key).await;
            let times = match request.outcome {
                Outcome::Whole { .. } => 1,
                _ => 0,
            };
            assert_eq!(runs.len(), times, "{} {:?}", request.key, request.outcome);
            request.begun_ms = runs.first().and_then(|run| run["at_ms"].as_u64());
        }
        judge(&ended);
    });
}

fn judge(ended: &[Ended]) {
    let mut shed = 0;
    for request in ended {
        let (key, outcome) = (&request.key, &request.outcome);
        match outcome {
            Outcome::Whole { .. } => continue,
            Outcome::Refused { kind, .. } if kind == "overloaded" => shed += 1,
            _ => panic!("{key}: {outcome:?}"),
        }
        assert_ne!(request.tier, 0, "{key}: {outcome:?}");
        let late = request.ended_ms + u64::try_from(ON_ITS_WAY.as_millis()).unwrap();
        let kept = ended.iter().find(|other| {
            let waited = other.sent_ms <= request.sent_ms && other.begun_ms > Some(late);
            other.tier > request.tier && waited
        });
        let kept = kept.map(|other| &other.key);
        assert_eq!(kept, None, "{key} was shed meanwhile");
    }
    assert!(shed > 0, "the queue never was full");
}

// The callers wait in a full queue, urgent ones and others, when the daemon that dispatches for
// the engines is killed. The entries bring what they have to the next dispatcher. Each caller gets
// its whole answer or a truthful refusal; what is shed is of a lower tier than all that is kept.
#[test]
fn killed_with_a_full_queue() {
    handover(async |cluster, dispatcher| cluster.daemons[dispatcher].process.kill());
}

// The same while the platform's store is away: neither the queue nor the keys of requests that may
// run twice need it, so two failures at once change nothing for the callers.
#[test]
fn killed_while_the_store_is_away() {
    handover(async |cluster, dispatcher| {
        let outage = json!({"outage_ms": 60_000});
        harness::control(cluster, &cluster.platform.address, outage).await;
        cluster.daemons[dispatcher].process.kill();
    });
}

// The same with a dispatcher that freezes until the others take it for dead, and thaws while its
// successor grants. What it still grants is void, since each entry heeds only the dispatcher that
// it asked last; a slot given twice would show as a request begun twice.
#[test]
fn frozen_and_thawed_with_a_full_queue() {
    handover(async |cluster, dispatcher| {
        cluster.daemons[dispatcher].process.freeze().unwrap();
        let observer = (dispatcher + 1) % cluster.daemons.len();
        harness::forgotten(cluster, observer, dispatcher).await;
        cluster.daemons[dispatcher].process.thaw().unwrap();
    });
}
