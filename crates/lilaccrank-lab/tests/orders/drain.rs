use lilaccrank::document::{Fencing, TargetState};
use lilaccrank_lab::cluster::Cluster;

use crate::harness;

async fn publish_state(cluster: &Cluster, state: TargetState) {
    harness::publish(cluster, |engines| engines[0].state = state).await;
}

/// Waits until the engine was last told this about a drain.
async fn last_told(cluster: &Cluster, argument: &str) {
    harness::until("told about the drain", async || {
        let drains = harness::carried_out(cluster, "drain").await;
        drains.last().is_some_and(|last| last == argument)
    })
    .await;
}

// An operator publishes that an engine drains, and later that it is live again. The engine is
// told both; otherwise what reaches it past the system would go on, or it would refuse work that
// the system sends it.
#[test]
fn drain_by_publication_reaches_the_engine() {
    harness::run(async {
        let layout = harness::layout(Fencing::Checked);
        let cluster = Cluster::start(layout).await.unwrap();
        last_told(&cluster, "off").await;
        publish_state(&cluster, TargetState::Draining).await;
        last_told(&cluster, "").await;
        publish_state(&cluster, TargetState::Live).await;
        last_told(&cluster, "off").await;
    });
}

// The daemon that told an engine to drain is killed, and the drain is taken back before another
// has its duty. The successor has never heard of the drain; it tells each engine its state all
// the same, or the engine would refuse all work for good.
#[test]
fn drain_of_a_killed_holder_is_taken_back() {
    harness::run(async {
        let layout = harness::layout(Fencing::Checked);
        let mut cluster = Cluster::start(layout).await.unwrap();
        last_told(&cluster, "off").await;
        publish_state(&cluster, TargetState::Draining).await;
        last_told(&cluster, "").await;
        let holder = harness::ranked(&cluster)[0];
        cluster.daemons[holder].process.kill();
        publish_state(&cluster, TargetState::Live).await;
        last_told(&cluster, "off").await;
    });
}
