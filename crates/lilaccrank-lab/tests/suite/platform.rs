use std::time::{Duration, Instant};

use bytes::Bytes;
use lilaccrank::store::{Error, Expect, Store};
use lilaccrank_http::store_client::StoreClient;
use serde_json::{Value, json};

use crate::caller;
use crate::process::Process;

const WAIT: Duration = Duration::from_secs(5);

fn start(args: &[&str]) -> (Process, StoreClient) {
    let platform = Process::start(&[&["platform"], args].concat());
    let store = StoreClient::new(platform.address.clone());
    (platform, store)
}

fn value(text: &str) -> Bytes {
    Bytes::from(text.to_owned())
}

#[test]
fn one_of_two_writers_wins() {
    caller::run(async {
        let (_platform, store) = start(&[]);
        let first = store.put("k", value("a"), Expect::Absent).await.unwrap();
        let conflict = Error::Conflict {
            current: Some(first),
        };
        let again = store.put("k", value("b"), Expect::Absent).await;
        assert_eq!(again, Err(conflict));
        // One revision for the whole store: a version is never used twice, also not by another key.
        let other = store.put("l", value("c"), Expect::Any).await.unwrap();
        let second = store
            .put("k", value("d"), Expect::Version(first))
            .await
            .unwrap();
        assert!(first < other && other < second);
        let late = store.put("k", value("e"), Expect::Version(first)).await;
        let current = Some(second);
        assert_eq!(late, Err(Error::Conflict { current }));
        store.delete("k", Expect::Any).await.unwrap();
        assert_eq!(store.get("k").await, Ok(None));
    });
}

// The writer gets no answer although its write is in force: the connection closes after the
// write took effect. Only by reading back can it tell that from a write that was never taken.
#[test]
fn lost_answer_of_a_write_in_force() {
    caller::run(async {
        let (platform, store) = start(&[]);
        platform.control(json!({"lose_answers": 1})).await;
        let put = store.put("k", value("a"), Expect::Absent).await;
        assert_eq!(put, Err(Error::Unknown));
        let found = store.get("k").await.unwrap().unwrap();
        assert_eq!(found.value, value("a"));
        let next = store
            .put("k", value("b"), Expect::Version(found.version))
            .await;
        assert!(next.is_ok());
    });
}

#[test]
fn outage_ends_watches_and_passes() {
    caller::run(async {
        let (platform, store) = start(&[]);
        let watch = store.watch("k", None, WAIT);
        let outage = platform.control(json!({"outage_ms": 300}));
        let (watched, ()) = futures::join!(watch, outage);
        assert_eq!(watched, Err(Error::Unavailable));
        let put = store.put("k", value("a"), Expect::Any).await;
        assert_eq!(put, Err(Error::Unavailable));
        monoio::time::sleep(Duration::from_millis(350)).await;
        assert_eq!(store.get("k").await, Ok(None));
    });
}

#[test]
fn too_many_calls_are_throttled() {
    caller::run(async {
        let (platform, store) = start(&["--writes-per-s", "1", "--reads-per-s", "1"]);
        let retry_after = Duration::from_secs(1);
        store.put("k", value("a"), Expect::Any).await.unwrap();
        let put = store.put("k", value("b"), Expect::Any).await;
        assert_eq!(put, Err(Error::Throttled { retry_after }));
        store.get("k").await.unwrap();
        let get = store.get("k").await;
        assert_eq!(get, Err(Error::Throttled { retry_after }));
        let counters = platform.read("/counters").await;
        assert_eq!(counters["throttled"], 2);
        assert_eq!(counters["calls"], json!({"get": 2, "put": 2}));
    });
}

#[test]
fn watch_tells_a_change_and_counts_once() {
    caller::run(async {
        let (platform, store) = start(&[]);
        let change = async {
            monoio::time::sleep(Duration::from_millis(100)).await;
            store.put("k", value("a"), Expect::Absent).await.unwrap();
        };
        let (watched, ()) = futures::join!(store.watch("k", None, WAIT), change);
        assert_eq!(watched.unwrap().unwrap().value, value("a"));
        let counters = platform.read("/counters").await;
        assert_eq!(counters["calls"], json!({"put": 1, "watch": 1}));
        assert_eq!(counters["open_watches"], 0);
        assert_eq!(counters["open_watches_peak"], 1);
    });
}

#[test]
fn an_older_store_comes_back() {
    caller::run(async {
        let (platform, store) = start(&[]);
        let first = store.put("k", value("a"), Expect::Any).await.unwrap();
        platform.control(json!({"snapshot": true})).await;
        let second = store.put("k", value("b"), Expect::Any).await.unwrap();
        platform.control(json!({"restore": true})).await;
        let restored = store.get("k").await.unwrap().unwrap().version;
        assert_eq!(restored.number, first.number);
        // The older store hands the same number out again, for another value, in another era.
        let again = store.put("k", value("c"), Expect::Any).await.unwrap();
        assert_eq!(again.number, second.number);
        assert_eq!(again.era, second.era + 1);
    });
}

// Guards against a version that was given out again after a restore and is taken for the one before: a write
// under its condition replaces what somebody else wrote, and a watch from it does not tell that.
#[test]
fn a_version_of_an_earlier_era_is_another_one() {
    caller::run(async {
        let (platform, store) = start(&[]);
        store.put("k", value("a"), Expect::Any).await.unwrap();
        platform.control(json!({"snapshot": true})).await;
        let lost = store.put("k", value("b"), Expect::Any).await.unwrap();
        platform.control(json!({"restore": true})).await;
        store.put("k", value("c"), Expect::Any).await.unwrap();
        let written = store.put("k", value("d"), Expect::Version(lost)).await;
        assert!(
            matches!(written, Err(Error::Conflict { .. })),
            "{written:?}"
        );
        let begun = Instant::now();
        let watched = store.watch("k", Some(lost), WAIT).await;
        assert_eq!(watched.unwrap().unwrap().value, value("c"));
        assert!(begun.elapsed() < WAIT / 2, "{:?}", begun.elapsed());
    });
}

#[test]
fn list_of_vms_lags() {
    caller::run(async {
        let (platform, _) = start(&["--vm-lag-ms", "300"]);
        let vm = json!({
            "admin": "127.0.0.1:1", "callers": "127.0.0.1:2", "data_centre": "a",
            "gossip": "127.0.0.1:3", "peer": "127.0.0.1:4", "state": "live", "vm": "a1",
        });
        let begun = Instant::now();
        let put = hyper::Method::PUT;
        caller::call(&platform.address, put, "/v1/vms/a1", "", &vm)
            .await
            .ok();
        loop {
            let seen = platform.read("/v1/vms").await;
            if seen == json!([vm]) {
                break;
            }
            assert_eq!(seen, Value::Array(Vec::new()));
            assert!(begun.elapsed() < WAIT);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(begun.elapsed() >= Duration::from_millis(300));
    });
}
