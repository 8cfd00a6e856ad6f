use lilaccrank::configuration::manifest::Identity;
use lilaccrank::document::{Fencing, TargetState};
use lilaccrank::operators::{TimelineReply, path};
use lilaccrank::timeline::EventKind;
use lilaccrank_lab::cluster::Cluster;

use serde_json::json;

use crate::harness;

async fn publish(cluster: &Cluster, base: &Identity, state: TargetState) -> Identity {
    let mut engines = cluster.document.pools[0].targets.clone();
    engines[0].state = state;
    harness::publish(cluster, base, engines).await
}

/// Waits until the engine was last told this about a drain.
async fn last_told(cluster: &Cluster, argument: &str) {
    harness::until("told about the drain", async || {
        let drains = harness::carried_out(cluster, "drain").await;
        drains.last().is_some_and(|last| last == argument)
    })
    .await;
}

// An operator publishes that an engine drains, that it is live, and that it drains. The engine is
// told each; otherwise what reaches it past the system would go on, or it would refuse the
// system's work. Then the daemon that told it is killed and the drain is taken back before
// another has its duty. The successor has never heard of the drain; it tells each engine its
// state all the same, or the engine would refuse all work for good.
#[test]
fn drain_by_publication_reaches_the_engine() {
    harness::run(async {
        let layout = harness::layout(Fencing::Checked);
        let mut cluster = Cluster::start(layout).await.unwrap();
        let mut base = cluster.first.clone();
        last_told(&cluster, "off").await;
        for (state, argument) in [
            (TargetState::Draining, ""),
            (TargetState::Live, "off"),
            (TargetState::Draining, ""),
        ] {
            base = publish(&cluster, &base, state).await;
            last_told(&cluster, argument).await;
        }
        let holder = harness::ranked(&cluster)[0];
        cluster.daemons[holder].process.kill();
        publish(&cluster, &base, TargetState::Live).await;
        last_told(&cluster, "off").await;
    });
}

/// What the time lines of all daemons tell of orders to the engine.
async fn recorded_orders(cluster: &Cluster) -> Vec<String> {
    let mut orders = Vec::new();
    for daemon in &cluster.daemons {
        let query = json!({"target": harness::ENGINE});
        let address = daemon.admin.to_string();
        let (_, text) = cluster
            .post(&address, path::TIMELINE, &query)
            .await
            .unwrap();
        let reply: TimelineReply = serde_json::from_str(&text).unwrap();
        let ordered = reply
            .events
            .into_iter()
            .filter(|e| e.kind == EventKind::Ordered);
        orders.extend(ordered.map(|event| event.subject.detail));
    }
    orders
}

// Each new giver of orders tells every engine its state, and most engines are in it already. Such an
// order must not appear in the history of an engine: nobody drained or resumed it.
#[test]
fn order_that_changes_nothing_is_no_event() {
    harness::run(async {
        let layout = harness::layout(Fencing::Checked);
        let cluster = Cluster::start(layout).await.unwrap();
        let holder = harness::ranked(&cluster)[0];
        let told = "order to spanish-town-engine-0: resume: in that state already";
        harness::logged(&cluster, holder, told).await;
        assert_eq!(recorded_orders(&cluster).await, [""; 0]);
        let base = publish(&cluster, &cluster.first, TargetState::Draining).await;
        harness::logged(&cluster, holder, "order to spanish-town-engine-0: drain").await;
        publish(&cluster, &base, TargetState::Live).await;
        harness::until("resumed", async || {
            recorded_orders(&cluster).await == ["drain", "resume"]
        })
        .await;
    });
}
