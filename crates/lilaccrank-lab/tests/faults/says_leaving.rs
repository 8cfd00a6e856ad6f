//! Engines and services whose answers say that they leave.

use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{Layout, WireLayout};
use serde_json::json;

use crate::harness;

/// Requests to each daemon, enough to reach all targets.
const REQUESTS: usize = 12;

// Guards against daemons that send to an engine whose answers say that it leaves: the entry that got the
// answer, the dispatcher, and the entries that did not.
#[test]
fn an_engine() {
    harness::run(async {
        let layout = harness::layout(3, vec![harness::engine(1); 2]);
        let cluster = Cluster::start(layout).await.unwrap();
        let address = &cluster.engines["spanish-town-engine-0"].address;
        harness::control(&cluster, address, json!({"leaving": true})).await;
        let send_all = async |name: &str| {
            let calls = (0..REQUESTS).map(|number| {
                let call = harness::keyed(&format!("{name}-{number}"), 5);
                harness::send(&cluster, number % 3, call)
            });
            for call in calls.collect::<Vec<_>>() {
                harness::assert_whole(&call.await);
            }
        };
        let begun = async || cluster.begun(address).await.unwrap().len();
        harness::until("an answer of the engine", async || {
            send_all("before").await;
            begun().await > 0
        })
        .await;
        let before = begun().await;
        send_all("after").await;
        assert_eq!(begun().await, before);
    });
}

// Guards against daemons that read the heads of first answers only: the connection to the engine falls
// silent, and it says that it leaves when the daemon continues the answer on a new one.
#[test]
fn an_engine_that_continues_an_answer() {
    harness::run(async {
        let mut layout = harness::layout(2, vec![harness::engine(2); 2]);
        layout
            .settings
            .insert("between_tokens_ms".to_owned(), json!(300));
        layout.wires = WireLayout {
            targets: true,
            ..WireLayout::default()
        };
        let cluster = Cluster::start(layout).await.unwrap();
        let call = harness::send(&cluster, 0, harness::once("long", 60));
        harness::running(&cluster, "long").await;
        let mut leaving = None;
        for (id, engine) in &cluster.engines {
            if !cluster.begun(&engine.address).await.unwrap().is_empty() {
                leaving = Some((id, &engine.address));
            }
        }
        let (id, address) = leaving.unwrap();
        harness::control(&cluster, address, json!({"leaving": true})).await;
        let wire = cluster.target_wires[id].control.clone().unwrap();
        harness::control(&cluster, &wire, json!({"mode": "silent"})).await;
        harness::assert_whole(&call.await);
        let calls = (0..REQUESTS).map(|number| {
            let call = harness::keyed(&format!("after-{number}"), 5);
            harness::send(&cluster, number % 2, call)
        });
        for call in calls.collect::<Vec<_>>() {
            harness::assert_whole(&call.await);
        }
        let begun = cluster.begun(address).await.unwrap().len();
        assert_eq!(begun, 1);
    });
}

// The same for a plain service.
#[test]
fn a_service() {
    harness::run(async {
        let mut layout = harness::layout(2, vec![harness::engine(1)]);
        layout.data_centres[0].services = 2;
        let cluster = Cluster::start(layout).await.unwrap();
        let address = &cluster.services["spanish-town-service-0"].address;
        harness::control(&cluster, address, json!({"leaving": true})).await;
        let bearer = Layout::customer_key("hospital");
        let send_all = async || {
            for number in 0..REQUESTS {
                let daemon = cluster.daemons[number % 2].callers.to_string();
                let card = json!({});
                let sent = cluster.post_as(&bearer, &daemon, "/jobs/cards", &card);
                assert_eq!(sent.await.unwrap().0, 200);
            }
        };
        let begun = async || cluster.begun(address).await.unwrap().len();
        harness::until("an answer of the service", async || {
            send_all().await;
            begun().await > 0
        })
        .await;
        let before = begun().await;
        send_all().await;
        assert_eq!(begun().await, before);
    });
}
