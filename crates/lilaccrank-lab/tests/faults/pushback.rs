//! Engines that turn requests away and ask for a pause.

use std::time::Duration;

use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::EngineLayout;
use serde_json::json;

use crate::harness;

const PAUSE: Duration = Duration::from_secs(3);
/// Time after such an answer in which requests on their way may still reach the engine.
const ON_THE_WAY: Duration = Duration::from_millis(500);

async fn cluster(engines: Vec<EngineLayout>) -> Cluster {
    let cluster = Cluster::start(harness::layout(1, engines)).await.unwrap();
    let pause = json!({"pause_s": PAUSE.as_secs_f64()});
    harness::control(&cluster, address(&cluster), pause).await;
    cluster
}

/// Address of the engine that asks for pauses.
fn address(cluster: &Cluster) -> &str {
    &cluster.engines["spanish-town-engine-0"].address
}

/// Wall times at which it turned requests away.
async fn turned_away(cluster: &Cluster) -> Vec<u64> {
    let (_, text) = cluster.get(address(cluster), "/turned-away").await.unwrap();
    serde_json::from_str(&text).unwrap()
}

// Guards against a daemon that goes on sending to an engine that has asked it for a pause. Other engines
// serve meanwhile.
#[test]
fn the_engine_gets_nothing_until_the_end_of_the_pause() {
    harness::run(async {
        let cluster = cluster(vec![harness::engine(1); 2]).await;
        let turned_away = async || turned_away(&cluster).await.len();
        let send_all = async |name: &str| {
            let keys = (0..20).map(|number| format!("{name}-{number}"));
            let calls = keys.map(|key| harness::send(&cluster, 0, harness::keyed(&key, 5)));
            let mut outcomes = Vec::new();
            for call in calls.collect::<Vec<_>>() {
                outcomes.push(call.await);
            }
            outcomes
        };
        send_all("before").await;
        assert!(turned_away().await > 0);
        monoio::time::sleep(ON_THE_WAY).await;
        let before = turned_away().await;
        for outcome in send_all("after").await {
            harness::assert_whole(&outcome);
        }
        assert_eq!(turned_away().await, before);
    });
}
