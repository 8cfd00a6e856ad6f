use std::time::Instant;

use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{Layout, WireLayout};
use serde_json::{Value, json};

use crate::harness;

/// The only service.
const SERVICE: &str = "spanish-town-service-0";

/// Posts a job card while something is wrong between daemon and service; what the caller is told,
/// and how many jobs the service began.
fn job(fault: impl AsyncFnOnce(&Cluster)) -> (u16, Value, usize) {
    let mut told = (0, Value::Null, 0);
    let out = &mut told;
    harness::run(async move {
        let mut layout = harness::layout(2, vec![harness::engine(1)]);
        layout.data_centres[0].services = 1;
        layout
            .settings
            .insert("first_token_ms".to_owned(), json!(500));
        layout.wires = WireLayout {
            targets: true,
            ..WireLayout::default()
        };
        let cluster = Cluster::start(layout).await.unwrap();
        let bearer = Layout::customer_key("hospital");
        let address = cluster.daemons[0].callers.to_string();
        let card = json!({"job": 1});
        let first = cluster.post_as(&bearer, &address, "/jobs/cards", &card);
        assert_eq!(first.await.unwrap().0, 200);
        fault(&cluster).await;
        let begun = Instant::now();
        let second = cluster.post_as(&bearer, &address, "/jobs/cards", &card);
        let (status, text) = second.await.unwrap();
        assert!(begun.elapsed() < harness::LIMIT);
        let error = serde_json::from_str(&text).unwrap_or_default();
        let log = cluster.begun(&cluster.services[SERVICE].address).await;
        *out = (status, error, log.unwrap().len());
    });
    told
}

// The service takes a job and never answers. The job may have been done, so the caller is told
// that it may have run, in bounded time; the service began it once.
#[test]
fn service_hangs() {
    let (status, json, begun) = job(async |cluster| {
        let address = &cluster.services[SERVICE].address;
        harness::control(cluster, address, json!({"hang": true})).await;
    });
    assert_eq!((status, begun), (504, 2));
    assert_eq!(json["error"]["ran"], "maybe", "{json}");
}

// The connection that served the first job has fallen silent since, without a word. The second
// job goes out on a new one, and is done; on the old one it would be lost, and could neither be
// repeated nor called not run.
#[test]
fn idle_connection_silent() {
    let (status, json, begun) = job(async |cluster| {
        let wire = cluster.target_wires[SERVICE].control.clone().unwrap();
        harness::control(cluster, &wire, json!({"mode": "silent"})).await;
    });
    assert_eq!((status, begun), (200, 2), "{json}");
}

// The way to the service is cut. Nothing could be sent, so the refusal as not run is true.
#[test]
fn service_cut_off() {
    let (_, json, begun) = job(async |cluster| {
        let wire = cluster.target_wires[SERVICE].control.clone().unwrap();
        harness::control(cluster, &wire, json!({"mode": "cut"})).await;
    });
    assert_eq!(json["error"]["ran"], "no", "{json}");
    assert_eq!(begun, 1);
}
