use lilaccrank_lab::caller::Outcome;
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::Layout;

use crate::{harness, stub};

fn layout() -> Layout {
    harness::layout(4, vec![harness::engine(1)])
}

// The caller's stream breaks, since the daemon that took its request is killed in the middle of
// it. The caller sends the key again at another daemon. The engine has begun the request, and the
// rest of the answer died with the daemon, so the repeat is told that it may have run.
#[test]
fn killed_mid_stream() {
    harness::run(async {
        let mut cluster = Cluster::start(layout()).await.unwrap();
        let (key, ranked) = harness::key_apart(&cluster);
        let (entry, other) = (ranked[2], ranked[3]);
        let call = harness::keyed(&key, 300);
        let first = harness::send(&cluster, entry, call.clone());
        harness::running(&cluster, &key).await;
        cluster.daemons[entry].process.kill();
        let first = first.await;
        let broken = matches!(first, Outcome::Broken(_));
        assert!(broken, "{first:?}");
        harness::assert_maybe(&harness::repeat(&cluster, other, &call).await);
        harness::forgotten(&cluster, ranked[0], entry).await;
        harness::assert_maybe(&harness::repeat(&cluster, other, &call).await);
        assert_eq!(harness::runs(&cluster, &key).await.len(), 1);
    });
}

/// Waits until exactly one request waits at a dispatcher.
async fn one_waits(cluster: &Cluster, dispatcher: usize) {
    harness::until("waiting", async || {
        harness::waiting(cluster, dispatcher).await == 1
    })
    .await;
}

// The caller loses its connection while its request waits for a busy engine, since the daemon is
// killed. It sends the key again at another daemon until it is told more than "not now". The
// keeper frees the claim of the dead daemon, which had sent nothing; the repeat is answered.
#[test]
fn killed_while_waiting() {
    harness::run(async {
        let mut cluster = Cluster::start(layout()).await.unwrap();
        let (key, ranked) = harness::key_apart(&cluster);
        let (entry, other) = (ranked[2], ranked[3]);
        let busy = harness::send(&cluster, other, harness::keyed("busy", 150));
        harness::running(&cluster, "busy").await;
        let call = harness::keyed(&key, 5);
        let first = harness::send(&cluster, entry, call.clone());
        one_waits(&cluster, other).await;
        cluster.daemons[entry].process.kill();
        let lost = first.await;
        assert!(matches!(lost, Outcome::Lost(_)), "{lost:?}");
        let call = &call;
        harness::until("answered", async || {
            let repeat = harness::repeat(&cluster, other, call).await;
            matches!(repeat, Outcome::Whole { .. })
        })
        .await;
        harness::assert_whole(&busy.await);
        assert_eq!(harness::runs(&cluster, &key).await.len(), 1);
    });
}

// The daemon freezes while the caller's request waits, so long that the others take it for dead;
// the caller's repeat at another daemon takes over the claim. The frozen daemon thaws and still
// believes in its claim. Its mark fails at the keeper before it sends anything; one run.
#[test]
fn frozen_while_waiting() {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let (key, ranked) = harness::key_apart(&cluster);
        let (entry, other) = (ranked[2], ranked[3]);
        let busy = harness::send(&cluster, other, harness::keyed("busy", 350));
        harness::running(&cluster, "busy").await;
        let call = harness::keyed(&key, 5);
        let first = harness::send(&cluster, entry, call.clone());
        one_waits(&cluster, other).await;
        cluster.daemons[entry].process.freeze().unwrap();
        for by in [ranked[0], ranked[1], other] {
            harness::forgotten(&cluster, by, entry).await;
        }
        let repeat = harness::send(&cluster, other, call);
        one_waits(&cluster, other).await;
        cluster.daemons[entry].process.thaw().unwrap();
        harness::assert_whole(&repeat.await);
        harness::assert_maybe(&first.await);
        harness::assert_whole(&busy.await);
        assert_eq!(harness::runs(&cluster, &key).await.len(), 1);
    });
}

/// What the service gets of the headers that a caller sends.
async fn passed_on(headers: &str) -> String {
    let mut layout = harness::layout(1, Vec::new());
    layout.data_centres[0].services = 1;
    let cluster = Cluster::start_with(layout, |document| {
        document.pools[1].targets[0].address = stub::echo();
    });
    let cluster = cluster.await.unwrap();
    let entry = cluster.daemons[0].callers.to_string();
    stub::post(&entry, "/jobs", headers, "{}").to_lowercase()
}

// A caller changes a job card only if it is still the one it has read, and packs the body. The
// service gets both headers: without them it would change any card, and could not read the body.
#[test]
fn service_gets_the_headers_of_the_call() {
    harness::run(async {
        let answer = passed_on("If-Match: \"7\"\r\nContent-Encoding: gzip\r\n").await;
        assert!(answer.contains("if-match: \"7\""), "{answer}");
        assert!(answer.contains("content-encoding: gzip"), "{answer}");
    });
}

// The caller's key to the daemon, and headers that only the daemon may set, stay behind. A service
// that kept the key could send requests as the caller.
#[test]
fn service_gets_no_key_of_the_caller() {
    harness::run(async {
        let headers = "Connection: X-Hop\r\nX-Hop: 1\r\nRequest-Id: forged\r\n\
                       Lilaccrank-Tier: urgent\r\nExpect: 100-continue\r\n";
        let answer = passed_on(headers).await;
        for kept in [
            "authorization",
            "x-hop",
            "forged",
            "lilaccrank-tier",
            "expect",
        ] {
            assert!(!answer.contains(kept), "{kept}: {answer}");
        }
        assert!(answer.contains("request-id: "), "{answer}");
    });
}

// A pool has no target here, so a request that got as far as its dispatcher is refused. Operators
// alarm on the count of refusals: the end of the request and the answer to its caller are one.
#[test]
fn refusal_is_counted_once() {
    harness::run(async {
        let cluster = Cluster::start(harness::layout(2, Vec::new()))
            .await
            .unwrap();
        let outcome = harness::send(&cluster, 0, harness::keyed("nowhere", 5)).await;
        assert!(matches!(&outcome, Outcome::Refused { kind, .. } if kind == "no_target"));
        let admin = cluster.daemons[0].admin.to_string();
        let (_, metrics) = cluster.get(&admin, "/metrics").await.unwrap();
        let counted = r#"lilaccrank_refused_total{kind="no_target"} 1"#;
        assert!(metrics.lines().any(|line| line == counted), "{metrics}");
    });
}
