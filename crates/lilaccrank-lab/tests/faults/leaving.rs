use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::future;
use lilaccrank::document::TargetState;
use lilaccrank_lab::caller::Outcome;
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::Layout;
use serde_json::{Value, json};

use crate::{harness, stub};

/// Time after which a leaving target gets nothing new.
const LEFT_AFTER: Duration = Duration::from_secs(3);
/// Age of the platform's list of vms.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time for which work is offered after a target has to be left alone.
const OFFERED: Duration = Duration::from_secs(1);
/// Time in which a request that was granted reaches its target.
const ON_ITS_WAY: Duration = Duration::from_millis(200);
/// Time between two requests offered.
const OFFER_EVERY: Duration = Duration::from_millis(50);
/// Length of the answers to them. At this rate they fill one engine, so that the other one gets
/// some if it may.
const OFFERED_TOKENS: usize = 20;
/// Size of an answer that no socket's buffers hold.
const LARGE: usize = 32 << 20;
/// Bytes that the settings of a daemon allow for it.
const LARGE_LIMIT: usize = 2 * LARGE;
/// Time that a slow reader leaves a daemon that was told to end.
const SLOW_READER: Duration = Duration::from_secs(1);
/// The target that leaves.
const LEAVING: &str = "spanish-town-engine-0";

/// SIGTERM to the dispatcher of the pool or to another daemon, with one request streaming and
/// one waiting.
fn terminated(dispatches: bool) {
    harness::run(async {
        let layout = harness::layout(3, vec![harness::engine(1)]);
        let mut cluster = Cluster::start(layout).await.unwrap();
        let dispatcher = harness::dispatcher(&cluster);
        let at = (0..3).find(|at| (*at == dispatcher) == dispatches).unwrap();
        let streaming = harness::send(&cluster, at, harness::keyed("streaming", 100));
        harness::running(&cluster, "streaming").await;
        let waiting = harness::send(&cluster, at, harness::keyed("waiting", 20));
        harness::until("waiting", async || {
            harness::waiting(&cluster, dispatcher).await == 1
        })
        .await;
        cluster.daemons[at].process.terminate().unwrap();
        let admin = cluster.daemons[at].admin.to_string();
        harness::until("out of the balancer", async || {
            matches!(cluster.get(&admin, "/readyz").await, Ok((503, _)))
        })
        .await;
        let refused = harness::send(&cluster, at, harness::keyed("new", 5)).await;
        let Outcome::Refused { kind, ran, .. } = &refused else {
            panic!("{refused:?}");
        };
        assert_eq!([kind, ran], ["leaving", "no"]);
        harness::assert_whole(&streaming.await);
        harness::assert_whole(&waiting.await);
        let until = Instant::now() + harness::LIMIT;
        let status = loop {
            if let Some(status) = cluster.daemons[at].process.ended() {
                break status;
            }
            assert!(Instant::now() < until, "the daemon does not end");
            monoio::time::sleep(Duration::from_millis(20)).await;
        };
        assert!(status.success(), "{status}");
        for (key, times) in [("streaming", 1), ("waiting", 1), ("new", 0)] {
            assert_eq!(harness::runs(&cluster, key).await.len(), times, "{key}");
        }
    });
}

// A daemon is told to end while one caller reads its stream and another waits for a busy engine.
// It leaves the balancer's readiness first, still answers who comes all the same with a truthful
// refusal, lets both callers have their whole answers, and ends well.
#[test]
fn entry_terminated() {
    terminated(false);
}

// The same with the daemon that dispatches for the pool: its duty moves to another one while its
// own callers still wait and read.
#[test]
fn dispatcher_terminated() {
    terminated(true);
}

/// A daemon that can't wait for its callers: one reads its stream, one waits for a busy engine.
fn cut(limit_ms: u64, signals: usize) {
    harness::run(async {
        let mut layout = harness::layout(3, vec![harness::engine(1)]);
        let name = "shutdown_limit_ms".to_owned();
        layout.settings.insert(name, json!(limit_ms));
        let cluster = Cluster::start(layout).await.unwrap();
        let dispatcher = harness::dispatcher(&cluster);
        let at = (dispatcher + 1) % 3;
        let streaming = harness::send(&cluster, at, harness::keyed("streaming", 500));
        harness::running(&cluster, "streaming").await;
        let waiting = harness::send(&cluster, at, harness::keyed("waiting", 20));
        harness::until("waiting", async || {
            harness::waiting(&cluster, dispatcher).await == 1
        })
        .await;
        let admin = cluster.daemons[at].admin.to_string();
        for _ in 0..signals {
            cluster.daemons[at].process.terminate().unwrap();
            // Two signals at the same moment would count as one.
            harness::until("leaving", async || {
                !matches!(cluster.get(&admin, "/readyz").await, Ok((200, _)))
            })
            .await;
        }
        let streaming = streaming.await;
        let told = matches!(&streaming, Outcome::Broken(why) if why.contains(r#""ran":"maybe""#));
        assert!(told, "{streaming:?}");
        let waiting = waiting.await;
        let Outcome::Refused { kind, ran, .. } = &waiting else {
            panic!("{waiting:?}");
        };
        assert_eq!([kind, ran], ["leaving", "no"]);
        assert_eq!(harness::runs(&cluster, "waiting").await.len(), 0);
    });
}

// The daemon is told to end, and its limit for that is up long before its callers are done. It
// tells the truth to both as it cuts them: the reader's stream ends in an error that says that it
// ran, the other one is refused as not run, and no engine began it.
#[test]
fn cut_at_the_limit() {
    cut(300, 1);
}

// The same at a second signal, long before the limit.
#[test]
fn cut_by_a_second_signal() {
    cut(60_000, 2);
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// Offers work through all daemons for `time`; all of it has to be answered.
async fn offer(cluster: &Cluster, name: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut sent = Vec::new();
    while Instant::now() < until {
        let n = sent.len();
        let call = harness::keyed(&format!("{name}-{n}"), OFFERED_TOKENS);
        sent.push(harness::send(cluster, n % cluster.daemons.len(), call));
        monoio::time::sleep(OFFER_EVERY).await;
    }
    for outcome in future::join_all(sent).await {
        harness::assert_whole(&outcome);
    }
}

/// When the leaving target began its requests.
async fn begun_ms(cluster: &Cluster) -> Vec<u64> {
    let address = &cluster.engines[LEAVING].address;
    let log: Vec<Value> = cluster.begun(address).await.unwrap();
    log.iter().filter_map(|run| run["at_ms"].as_u64()).collect()
}

async fn two_engines() -> Cluster {
    let layout = harness::layout(2, vec![harness::engine(4); 2]);
    let cluster = Cluster::start(layout).await.unwrap();
    offer(&cluster, "before", Duration::from_millis(400)).await;
    assert!(!begun_ms(&cluster).await.is_empty(), "nothing went there");
    cluster
}

/// Waits until the dispatcher says that it leaves the target alone, but no longer than for
/// `limit`; the wall clock then, with time for what is on its way. The target's log is the judge.
async fn left(cluster: &Cluster, limit: Duration) -> u64 {
    let until = Instant::now() + limit;
    let dispatcher = harness::dispatcher(cluster);
    while Instant::now() < until {
        let status = harness::status(cluster, dispatcher).await;
        let targets = status["pools"]["engines"]["targets"].as_array();
        let mut live = targets.into_iter().flatten().filter(|t| t["live"] == true);
        if targets.is_some() && live.all(|t| t["id"] != LEAVING) {
            break;
        }
        monoio::time::sleep(OFFER_EVERY).await;
    }
    monoio::time::sleep(ON_ITS_WAY).await;
    wall_ms()
}

async fn assert_left_alone_since(cluster: &Cluster, left: u64) {
    let begun = begun_ms(cluster).await;
    let late: Vec<_> = begun.iter().filter(|at| **at > left).collect();
    assert!(late.is_empty(), "begun after {left}: {late:?}");
}

// An operator marks a target as draining while long answers stream from it. Three seconds later
// at the latest all new requests go to the other target, although it is full; no caller notices,
// and the long answers are read to their end.
#[test]
fn target_drained_by_the_document() {
    harness::run(async {
        let cluster = two_engines().await;
        let long = [0, 1, 2].map(|n| {
            let call = harness::keyed(&format!("long-{n}"), 250);
            harness::send(&cluster, n % 2, call)
        });
        for n in 0..long.len() {
            harness::running(&cluster, &format!("long-{n}")).await;
        }
        let mut document = cluster.document.clone();
        let targets = &mut document.pools[0].targets;
        let target = targets.iter_mut().find(|target| target.id == LEAVING);
        target.unwrap().state = TargetState::Draining;
        let published = cluster.publish(Some(cluster.first.clone()), document);
        published.await.unwrap();
        let left = left(&cluster, LEFT_AFTER).await;
        offer(&cluster, "after", OFFERED).await;
        assert_left_alone_since(&cluster, left).await;
        for outcome in future::join_all(long).await {
            harness::assert_whole(&outcome);
        }
    });
}

// The platform's list shows, late, that a target's vm is leaving. Within three seconds of that
// nothing new goes there. Then the list is away; the target is still left alone, since what was
// known stays.
#[test]
fn target_on_a_leaving_vm() {
    harness::run(async {
        let cluster = two_engines().await;
        let vm = json!({
            "admin": "", "callers": "", "data_centre": "spanish-town", "gossip": "", "peer": "",
            "state": "leaving", "vm": LEAVING,
        });
        let path = format!("/v1/vms/{LEAVING}");
        let put = cluster.put(&cluster.platform.address, &path, &vm);
        assert_eq!(put.await.unwrap().0, 200);
        let left = left(&cluster, LIST_LAG + LEFT_AFTER).await;
        offer(&cluster, "after", OFFERED).await;
        let outage = json!({"outage_ms": 60_000});
        harness::control(&cluster, &cluster.platform.address, outage).await;
        offer(&cluster, "list away", LIST_LAG + OFFERED).await;
        assert_left_alone_since(&cluster, left).await;
    });
}

// A caller repeats its key at another daemon, which reads the held answer from the first one. It
// reads slowly, and the first daemon is told to end. That daemon has no request of its own any
// more, but the reader still gets all of the answer before the daemon ends.
#[test]
fn answer_is_read_by_another_daemon() {
    harness::run(async {
        let mut layout = harness::layout(1, Vec::new());
        layout.data_centres[0].services = 1;
        for name in ["answer_cache_bytes", "body_limit"] {
            layout.settings.insert(name.to_owned(), json!(LARGE_LIMIT));
        }
        let (address, _) = stub::target("200 OK", "x".repeat(LARGE).leak());
        let cluster = Cluster::start_with(layout, |document| {
            document.pools[1].targets[0].address = address;
        });
        let mut cluster = cluster.await.unwrap();
        let entry = cluster.daemons[0].callers.to_string();
        let first = stub::post(&entry, "/jobs", "Idempotency-Key: survey\r\n", "{}");
        assert!(first.len() > LARGE, "{}", first.len());
        let mut reader = TcpStream::connect(cluster.daemons[0].admin).unwrap();
        let (path, key) = (hex::encode("survey"), Layout::customer_key("hospital"));
        write!(
            reader,
            "GET /v1/answers/{path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {key}\r\n\
             Connection: close\r\n\r\n"
        )
        .unwrap();
        reader.read_exact(&mut [0; 16]).unwrap();
        let process = &mut cluster.daemons[0].process;
        process.terminate().unwrap();
        monoio::time::sleep(SLOW_READER).await;
        let mut rest = Vec::new();
        let read = reader.read_to_end(&mut rest);
        assert!(read.is_ok() && rest.len() > LARGE, "{read:?}");
        harness::until("the daemon's end", async || {
            TcpStream::connect(cluster.daemons[0].admin).is_err()
        })
        .await;
    });
}
