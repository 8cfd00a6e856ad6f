//! Requests that a rule sends to another data centre when this one refuses.

use std::sync::atomic::Ordering;

use lilaccrank_lab::caller::Outcome;
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{DataCentreLayout, Layout, SERVICES};

use crate::{harness, stub};

/// Position of the daemon that takes the calls, and of the one in the other data centre.
const ENTRY: usize = 0;
const OTHER: usize = 1;

/// A data centre without engines that spills to one with an engine; one daemon each.
fn layout() -> Layout {
    let mut layout = harness::two_data_centres(1);
    layout.data_centres[0].engines.clear();
    layout.spill = vec![layout.data_centres[1].name.clone()];
    layout
}

// A caller's data centre has no engine left. Its rule names another data centre, whose daemon
// takes the request as its own and streams the answer back through the first.
#[test]
fn spilled_request_is_answered_once() {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let outcome = harness::send(&cluster, ENTRY, harness::keyed("spilled", 20)).await;
        harness::assert_whole(&outcome);
        assert_eq!(harness::runs(&cluster, "spilled").await.len(), 1);
    });
}

// A policy is bound by a request that must not run twice, and its data centre has no engine left.
// The claim in the platform's store stands for both data centres, so the other one may run it in
// the name of the first, and the caller has its whole answer of one run.
#[test]
fn spilled_request_that_must_not_run_twice() {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let call = harness::once("bind", 20);
        harness::assert_whole(&harness::send(&cluster, ENTRY, call).await);
        assert_eq!(harness::runs(&cluster, "bind").await.len(), 1);
    });
}

// The request streams from the other data centre when its daemon is killed. The caller sees the
// answer break off; nobody can tell it whole or not run, and a repeat must not run it again.
#[test]
fn other_data_centre_killed_mid_stream() {
    harness::run(async {
        let mut cluster = Cluster::start(layout()).await.unwrap();
        let call = harness::keyed("cut", 150);
        let first = harness::send(&cluster, ENTRY, call.clone());
        harness::running(&cluster, "cut").await;
        cluster.daemons[OTHER].process.kill();
        let first = first.await;
        assert!(matches!(first, Outcome::Broken(_)), "{first:?}");
        let repeat = harness::send(&cluster, ENTRY, call).await;
        harness::assert_maybe(&repeat);
        assert_eq!(harness::runs(&cluster, "cut").await.len(), 1);
    });
}

// The other data centre is gone before the request comes. Nothing was sent, so the caller is
// told at once that it was not run, and when to come back; its key stays free for a repeat.
#[test]
fn other_data_centre_gone() {
    harness::run(async {
        let mut cluster = Cluster::start(layout()).await.unwrap();
        cluster.daemons[OTHER].process.kill();
        for _ in 0..2 {
            let outcome = harness::send(&cluster, ENTRY, harness::keyed("gone", 20)).await;
            let Outcome::Refused {
                ran, retry_after, ..
            } = &outcome
            else {
                panic!("{outcome:?}");
            };
            assert_eq!(ran, "no");
            assert!(retry_after.is_some());
        }
        assert_eq!(harness::runs(&cluster, "gone").await.len(), 0);
    });
}

// The caller repeats a spilled key straight at the other data centre while it runs. That daemon
// owns the run, so the repeat reads along; one run serves both.
#[test]
fn repeat_at_the_other_data_centre_attaches() {
    harness::run(async {
        let cluster = Cluster::start(layout()).await.unwrap();
        let call = harness::keyed("both", 100);
        let first = harness::send(&cluster, ENTRY, call.clone());
        harness::running(&cluster, "both").await;
        let repeat = harness::send(&cluster, OTHER, call);
        harness::assert_whole(&repeat.await);
        harness::assert_whole(&first.await);
        assert_eq!(harness::runs(&cluster, "both").await.len(), 1);
    });
}

/// What the plain service answers: its own words, which look like a refusal of a daemon.
const OWN_WORDS: &str = r#"{"error":{"kind":"overloaded","message":"yard full","ran":"no"}}"#;

// A job card is spilled, and the plain service there runs it and answers with an error of its
// own, which reads like a daemon's refusal as not run. The caller gets that answer untouched. The
// next data centre gets nothing, and a repeat reads the same answer: one truck goes up the hill.
#[test]
fn own_error_of_a_service_is_no_refusal() {
    harness::run(async {
        let head = "503 Service Unavailable\r\nLilaccrank-Refusal: overloaded";
        let (address, begun) = stub::target(head, OWN_WORDS);
        let mut layout = layout();
        layout.data_centres[1].services = 1;
        layout.data_centres.push(DataCentreLayout {
            name: "half-way-tree".to_owned(),
            ..layout.data_centres[1].clone()
        });
        let spill: Vec<_> = layout.data_centres[1..]
            .iter()
            .map(|d| d.name.clone())
            .collect();
        let cluster = Cluster::start_with(layout, |document| {
            let pools = &mut document.pools;
            let pool = pools.iter_mut().find(|pool| pool.id == SERVICES).unwrap();
            for target in &mut pool.targets {
                target.address.clone_from(&address);
            }
            document.rules[1].then.spill = spill;
        });
        let cluster = cluster.await.unwrap();
        let entry = cluster.daemons[ENTRY].callers.to_string();
        for _ in 0..2 {
            let answer = stub::post(&entry, "/jobs", "Idempotency-Key: card\r\n", "{}");
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains(OWN_WORDS), "{answer}");
            assert_eq!(begun.load(Ordering::SeqCst), 1, "{answer}");
        }
    });
}

/// Guards against a stream that goes on at a target of another data centre, whose software version may
/// be another one: of a stream that its caller takes up, nobody there knows where it began.
fn stream_of_unknown_origin(version: Option<&'static str>) {
    harness::run(async move {
        let (address, begun) = stub::target("200 OK", "id: 3\ndata: piece\n\n");
        let mut layout = layout();
        layout.data_centres[1].services = 1;
        let cluster = Cluster::start_with(layout, |document| {
            let pools = &mut document.pools;
            let pool = pools.iter_mut().find(|pool| pool.id == SERVICES).unwrap();
            for target in &mut pool.targets {
                target.address.clone_from(&address);
                target.version = version.map(str::to_owned);
            }
            let then = &mut document.rules[1].then;
            then.spill = vec!["portmore".to_owned()];
            then.terms.stream = true;
            then.terms.resumable = true;
        });
        let cluster = cluster.await.unwrap();
        for at in [ENTRY, OTHER] {
            let entry = cluster.daemons[at].callers.to_string();
            let answer = stub::post(&entry, "/jobs", "Last-Event-Id: 2\r\n", "{}");
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("cannot_resume"), "{answer}");
            assert_eq!(begun.load(Ordering::SeqCst), 0);
            let answer = stub::post(&entry, "/jobs", "", "{}");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert_eq!(begun.swap(0, Ordering::SeqCst), 1);
        }
    });
}

#[test]
fn stream_of_unknown_origin_at_a_version() {
    stream_of_unknown_origin(Some("v1"));
}

#[test]
fn stream_of_unknown_origin_at_an_unknown_version() {
    stream_of_unknown_origin(None);
}
