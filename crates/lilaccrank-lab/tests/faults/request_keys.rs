use std::time::{Duration, Instant};

use lilaccrank_lab::caller::{Call, Outcome};
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::Layout;
use serde_json::{Value, json};

use crate::{harness, stub};

/// A store that does not answer is given up within this.
const GIVEN_UP: Duration = Duration::from_secs(5);
/// A refusal within this is one at once.
const AT_ONCE: Duration = Duration::from_millis(1500);

fn layout() -> Layout {
    harness::layout(4, vec![harness::engine(4)])
}

// A caller sends the same key at a second daemon while the first still streams the answer. The
// keeper knows who runs it, and the second daemon reads along from the start. Both callers get
// the whole answer of the one run.
#[test]
fn repeat_attaches_to_the_running_answer() {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let call = harness::keyed("running", 100);
        let first = harness::send(&cluster, 0, call.clone());
        harness::running(&cluster, "running").await;
        let repeat = harness::send(&cluster, 1, call);
        harness::assert_whole(&repeat.await);
        harness::assert_whole(&first.await);
        assert_eq!(harness::runs(&cluster, "running").await.len(), 1);
    });
}

// The keeper of a key is killed while the answer streams; the caller notices nothing. It sends
// the key again at a third daemon. The second copy of the record was written before anything was
// sent, so the new keeper knows who holds the answer, and nothing runs again.
#[test]
fn keeper_killed_between_claim_and_answer() {
    harness::run(async {
        let mut cluster = Cluster::start(layout()).await.unwrap();
        let (key, ranked) = harness::key_apart(&cluster);
        let call = harness::keyed(&key, 100);
        let first = harness::send(&cluster, ranked[2], call.clone());
        harness::running(&cluster, &key).await;
        cluster.daemons[ranked[0]].process.kill();
        let early = harness::send(&cluster, ranked[3], call.clone());
        harness::assert_whole(&first.await);
        let early = early.await;
        let told = matches!(&early, Outcome::Refused { .. } | Outcome::Whole { .. });
        assert!(told, "{early:?}");
        let late = harness::repeat(&cluster, ranked[3], &call).await;
        harness::assert_whole(&late);
        assert_eq!(harness::runs(&cluster, &key).await.len(), 1);
    });
}

/// A policy is bound by a request that must not run twice; two daemons are killed while it runs.
fn two_killed(killed: [usize; 2]) {
    harness::run(async {
        let mut cluster = Cluster::start(layout()).await.unwrap();
        let (key, ranked) = harness::key_apart(&cluster);
        let call = harness::once(&key, 150);
        let first = harness::send(&cluster, ranked[2], call.clone());
        harness::running(&cluster, &key).await;
        for rank in killed {
            cluster.daemons[ranked[rank]].process.kill();
        }
        let repeat = harness::repeat(&cluster, ranked[3], &call).await;
        let told = matches!(&repeat, Outcome::Refused { ran, .. } if ran == "maybe");
        assert!(
            told || matches!(repeat, Outcome::Whole { .. }),
            "{repeat:?}"
        );
        let first = first.await;
        let entry_lives = !killed.contains(&2);
        assert_eq!(
            matches!(first, Outcome::Whole { .. }),
            entry_lives,
            "{first:?}"
        );
        assert_eq!(harness::runs(&cluster, &key).await.len(), 1);
    });
}

// Both daemons that know of the key die at once. The entry goes on to the whole answer. A repeat
// meets keepers that have never heard of the key, and the claim in the platform's store stops it.
#[test]
fn keeper_and_copy_killed() {
    two_killed([0, 1]);
}

// The entry and the keeper die in the middle of the run. The answer is gone; a repeat is told
// that the request may have run, by the copy or by the claim in the store.
#[test]
fn entry_and_keeper_killed() {
    two_killed([2, 0]);
}

// All daemons but one die, the entry among them, and the caller repeats at once at the last one.
// Its keeper can't tell yet what the others knew. The engine runs the request all the while, so
// the refusal may not say that it was not run.
#[test]
fn repeat_before_the_keys_are_settled() {
    harness::run(async {
        let mut cluster = Cluster::start(layout()).await.unwrap();
        let (key, ranked) = harness::key_apart(&cluster);
        let call = harness::keyed(&key, 150);
        let first = harness::send(&cluster, ranked[2], call.clone());
        harness::running(&cluster, &key).await;
        for at in &ranked[..3] {
            cluster.daemons[*at].process.kill();
        }
        let repeat = harness::send(&cluster, ranked[3], call).await;
        let told = matches!(&repeat, Outcome::Refused { kind, ran, .. }
            if kind == "not_ready" && ran == "maybe");
        assert!(told, "{repeat:?}");
        assert!(!matches!(first.await, Outcome::Whole { .. }));
        assert_eq!(harness::runs(&cluster, &key).await.len(), 1);
    });
}

// The caller's two tries reach two data centres at the same moment. Their keepers know nothing of
// each other; the conditional create in the platform's store lets one of them through. The other
// try is refused, and over both data centres the request is begun once.
#[test]
fn two_data_centres_at_once() {
    harness::run(async {
        let cluster = Cluster::start(harness::two_data_centres(2)).await.unwrap();
        let call = harness::once("bind", 20);
        let (a, b) = (
            harness::send(&cluster, 0, call.clone()),
            harness::send(&cluster, 2, call),
        );
        let outcomes = [a.await, b.await];
        let whole = outcomes
            .iter()
            .filter(|o| matches!(o, Outcome::Whole { .. }));
        assert_eq!(whole.count(), 1, "{outcomes:?}");
        let maybe = |o: &&Outcome| matches!(o, Outcome::Refused { ran, .. } if ran == "maybe");
        assert_eq!(outcomes.iter().filter(maybe).count(), 1, "{outcomes:?}");
        assert_eq!(harness::runs(&cluster, "bind").await.len(), 1);
    });
}

/// A request that must not run twice, while the store behaves as `fault` says; it has to be
/// refused within `limit`, and all other work goes on meanwhile. With the store back as `end`
/// says, the caller's repeat is run.
fn without_the_store(fault: Value, limit: Duration, end: Value) {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let platform = &cluster.platform.address;
        harness::control(&cluster, platform, fault).await;
        let begun = Instant::now();
        let call = harness::once("bind", 5);
        let refused = harness::send(&cluster, 0, call.clone());
        harness::assert_whole(&harness::send(&cluster, 1, harness::keyed("card", 5)).await);
        let keyless = Call {
            key: None,
            ..harness::keyed("ping", 5)
        };
        harness::assert_whole(&harness::send(&cluster, 2, keyless).await);
        let refused = refused.await;
        assert!(begun.elapsed() < limit, "{:?}", begun.elapsed());
        let Outcome::Refused { kind, ran, .. } = &refused else {
            panic!("{refused:?}");
        };
        assert_eq!([kind, ran], ["store_unavailable", "no"]);
        assert_eq!(harness::runs(&cluster, "bind").await.len(), 0);
        harness::control(&cluster, platform, end).await;
        harness::assert_whole(&harness::repeat(&cluster, 3, &call).await);
        assert_eq!(harness::runs(&cluster, "bind").await.len(), 1);
    });
}

// The platform's store is away. A request that must not run twice is refused at once as not run,
// since nothing could keep that true for it; all other work goes on, with and without a key.
#[test]
fn store_away() {
    let (away, back) = (json!({"outage_ms": 60_000}), json!({"outage_ms": 0}));
    without_the_store(away, AT_ONCE, back);
}

// The store takes calls and answers far too late. The daemon gives up on its claim in bounded time
// although it has taken effect, and says truly that nothing was run. Later, the claim that was
// left behind does not stop the caller's repeat.
#[test]
fn store_slow() {
    let (slow, back) = (json!({"slow_ms": 60_000}), json!({"slow_ms": 0}));
    without_the_store(slow, GIVEN_UP, back);
}

// Two customers use the same key for the same words. Neither is taken for a repeat of the other:
// each gets its own run, and no customer can reach another's answer by guessing a key.
#[test]
fn keys_of_two_customers() {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let call = harness::keyed("same", 60);
        let other = Call {
            bearer: Layout::customer_key("hotel"),
            ..call.clone()
        };
        let first = harness::send(&cluster, 0, call);
        harness::running(&cluster, "same").await;
        harness::assert_whole(&harness::send(&cluster, 1, other).await);
        harness::assert_whole(&first.await);
        assert_eq!(harness::runs(&cluster, "same").await.len(), 2);
    });
}

// The store takes the claim of a request that must not run twice, and its answer is lost. The
// daemon reads the claim back and finds its own; the caller gets the whole answer, and so does
// its repeat at another daemon.
#[test]
fn answer_of_the_store_lost() {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let lost = json!({"lose_answers": 1});
        harness::control(&cluster, &cluster.platform.address, lost).await;
        let call = harness::once("bind", 20);
        harness::assert_whole(&harness::send(&cluster, 0, call.clone()).await);
        harness::assert_whole(&harness::send(&cluster, 1, call).await);
        assert_eq!(harness::runs(&cluster, "bind").await.len(), 1);
        let (_, counters) = cluster
            .get(&cluster.platform.address, "/counters")
            .await
            .unwrap();
        let counters: serde_json::Value = serde_json::from_str(&counters).unwrap();
        assert_eq!(counters["answers_lost"], 1);
    });
}

// A caller uses the key of one job for another one, whose body is the same and whose path differs.
// The answer to the first job is not the answer to the second: the caller is told that the key
// was used, and the service gets nothing.
#[test]
fn key_used_for_another_path() {
    harness::run(async {
        let mut layout = layout();
        layout.data_centres[0].services = 1;
        let cluster = Cluster::start(layout).await.unwrap();
        let post = |at: usize, path: &str| {
            let address = cluster.daemons[at].callers.to_string();
            stub::post(&address, path, "Idempotency-Key: job\r\n", "{}")
        };
        let first = post(0, "/jobs?site=hospital");
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        let other = post(1, "/jobs?site=quarry");
        assert!(other.starts_with("HTTP/1.1 422"), "{other}");
        let service = &cluster.services[0].address;
        assert_eq!(cluster.begun(service).await.unwrap().len(), 1);
    });
}

// A plain service answers a job with a 404 of its own, and the caller repeats the key at another
// daemon. That one reads the held answer from the first daemon and passes it on; it does not take
// the service's 404 for a word of that daemon that it holds nothing.
#[test]
fn held_answer_is_a_404() {
    harness::run(async {
        let mut layout = layout();
        layout.data_centres[0].services = 1;
        let (address, begun) = stub::target("404 Not Found", "no such site");
        let cluster = Cluster::start_with(layout, |document| {
            document.pools[1].targets[0].address = address;
        });
        let cluster = cluster.await.unwrap();
        for at in [0, 1] {
            let entry = cluster.daemons[at].callers.to_string();
            let answer = stub::post(&entry, "/jobs", "Idempotency-Key: job\r\n", "{}");
            assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
            assert!(answer.contains("no such site"), "{answer}");
        }
        assert_eq!(begun.load(std::sync::atomic::Ordering::SeqCst), 1);
    });
}
