use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::document::Fencing;
use lilaccrank_lab::cluster::Cluster;
use serde_json::json;

use crate::harness;

/// Longer than the test of a lost answer may take.
const LONG_LEASE: Duration = Duration::from_secs(10);

// The write that takes the lease takes effect, but its answer is lost. The holder reads back and
// finds itself there; the engine is told at once. If it took the record for another's, nobody
// would give orders until a whole lease had passed.
#[test]
fn lost_answer_at_taking_the_lease() {
    harness::run(async {
        let mut layout = harness::layout(Fencing::Checked);
        let lease_ms = json!(LONG_LEASE.as_millis());
        layout
            .settings
            .insert("order_lease_ms".to_owned(), lease_ms);
        let mut engines = Vec::new();
        let without = Cluster::start_with(layout, |it| {
            engines = std::mem::take(&mut it.pools[0].targets);
        });
        let cluster = without.await.unwrap();
        harness::publish(&cluster, &cluster.first, engines).await;
        let begun = Instant::now();
        harness::platform(&cluster, json!({"lose_answers": 1})).await;
        harness::told(&cluster).await;
        let took = begun.elapsed();
        let (_, counters) = cluster
            .get(&cluster.platform.address, "/counters")
            .await
            .unwrap();
        assert!(counters.contains("\"answers_lost\":1"), "{counters}");
        assert!(took < LONG_LEASE, "{took:?}");
        let received = harness::received(&cluster).await;
        let fence = harness::fence(&cluster).await;
        assert_eq!(received[0].fencing, fence, "{received:?}");
    });
}

// The platform is away for longer than the lease. An operator's order is refused, truthfully: the
// engine hears nothing, though the daemon could reach it. When the platform is back, the same
// order is carried out once.
#[test]
fn store_away() {
    harness::run(async {
        let layout = harness::layout(Fencing::Checked);
        let cluster = Rc::new(Cluster::start(layout).await.unwrap());
        let ranked = harness::ranked(&cluster);
        harness::told(&cluster).await;
        harness::platform(&cluster, json!({"outage_ms": 60_000})).await;
        harness::logged(&cluster, ranked[0], "lost, not renewed in time").await;
        let told = harness::order_role(&cluster, ranked[1], "decode", "role").await;
        assert_eq!(told.outcome, "refused", "{told:?}");
        assert!(told.reason.contains("is not held"), "{told:?}");
        let roles = harness::carried_out(&cluster, "change_role").await;
        assert!(roles.is_empty(), "{roles:?}");
        harness::platform(&cluster, json!({"outage_ms": 0})).await;
        harness::role_done(&cluster, ranked[1], "decode", "role").await;
        harness::role_done(&cluster, ranked[1], "decode", "role").await;
        let roles = harness::carried_out(&cluster, "change_role").await;
        assert_eq!(roles, ["decode"]);
    });
}
