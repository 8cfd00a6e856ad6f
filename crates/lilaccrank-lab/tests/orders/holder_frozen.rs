use std::rc::Rc;
use std::time::Duration;

use lilaccrank::document::Fencing;
use lilaccrank_lab::cluster::Cluster;
use serde_json::json;

use crate::harness;

/// A daemon that freezes for one of these comes back before its order has run out of time.
const LONG_LEASE: Duration = Duration::from_secs(8);
/// The lease of the other tests.
const SHORT_LEASE: Duration = Duration::from_secs(2);
/// Time for an order to get from the daemon's log onto the wire.
const SENDING: Duration = Duration::from_millis(500);

/// The first holder's order is on the wire when the holder freezes, and arrives after another
/// has given one. Then the first thaws.
async fn late_order(fencing: Fencing) -> Rc<Cluster> {
    let cluster = Cluster::start(harness::layout(fencing)).await.unwrap();
    let cluster = Rc::new(cluster);
    let ranked = harness::ranked(&cluster);
    harness::told(&cluster).await;
    harness::wire(&cluster, "slow", harness::IN_FLIGHT_MS).await;
    let late = harness::order_role(&cluster, ranked[0], "prefill", "first");
    harness::logged(&cluster, ranked[0], "orders be prefill").await;
    monoio::time::sleep(SENDING).await;
    cluster.daemons[ranked[0]].process.freeze().unwrap();
    harness::wire(&cluster, "open", 0).await;
    harness::role_done(&cluster, ranked[2], "decode", "second").await;
    harness::until("the late order arrives", async || {
        let received = harness::received(&cluster).await;
        received.iter().any(|order| order.argument == "prefill")
    })
    .await;
    cluster.daemons[ranked[0]].process.thaw().unwrap();
    harness::logged(
        &cluster,
        ranked[0],
        "order first to spanish-town-engine-0 ended",
    )
    .await;
    let told = late.await.outcome;
    assert!(["", "unknown"].contains(&told.as_str()), "told {told:?}");
    cluster
}

// The holder's order "prefill" is on the wire when the holder freezes. Its lease ends, another
// daemon takes over and gives "decode"; only then the first order arrives. The engine checks the
// number and refuses it, so it stays as the present holder wants it. When the first holder thaws,
// it must neither send its order again nor say that it was not carried out.
#[test]
fn late_order_to_an_engine_that_checks() {
    harness::run(async {
        let cluster = late_order(Fencing::Checked).await;
        let received = harness::received(&cluster).await;
        let find = |role| received.iter().find(|order| order.argument == role);
        let (late, newer) = (find("prefill").unwrap(), find("decode").unwrap());
        assert!(!late.accepted, "{received:?}");
        assert!(late.fencing < newer.fencing, "{received:?}");
        assert_eq!(
            harness::carried_out(&cluster, "change_role").await,
            ["decode"]
        );
    });
}

// As before, but the engine ignores numbers and carries out whatever arrives. The new holder waits
// until the earlier lease has ended for sure and all its orders have arrived, so its own comes
// last.
#[test]
fn late_order_to_an_engine_that_ignores() {
    harness::run(async {
        let cluster = late_order(Fencing::Ignored).await;
        let roles = harness::carried_out(&cluster, "change_role").await;
        assert_eq!(roles, ["prefill", "decode"]);
    });
}

/// A daemon freezes while its order waits, and thaws after another has given one.
async fn waiting_order(fencing: Fencing, lease: Duration, holder_killed: bool) {
    let mut layout = harness::layout(fencing);
    let lease_ms = json!(lease.as_millis());
    layout
        .settings
        .insert("order_lease_ms".to_owned(), lease_ms);
    let mut cluster = Cluster::start(layout).await.unwrap();
    let ranked = harness::ranked(&cluster);
    let frozen = ranked[usize::from(holder_killed)];
    if holder_killed {
        harness::told(&cluster).await;
        cluster.daemons[ranked[0]].process.kill();
    }
    let cluster = Rc::new(cluster);
    let first = harness::order_role(&cluster, frozen, "prefill", "first");
    harness::logged(
        &cluster,
        frozen,
        "order first to spanish-town-engine-0 begins",
    )
    .await;
    monoio::time::sleep(SENDING).await;
    cluster.daemons[frozen].process.freeze().unwrap();
    harness::role_done(&cluster, ranked[2], "decode", "second").await;
    cluster.daemons[frozen].process.thaw().unwrap();
    harness::logged(
        &cluster,
        frozen,
        "order first to spanish-town-engine-0 ended",
    )
    .await;
    let told = first.await.outcome;
    assert!(["", "refused"].contains(&told.as_str()), "told {told:?}");
    monoio::time::sleep(SENDING).await;
    let roles = harness::carried_out(&cluster, "change_role").await;
    assert_eq!(roles, ["decode"]);
}

// The holder waits for earlier orders to an engine that ignores numbers, and freezes in that wait.
// Another takes over and gives "decode". When the first thaws, its wait is over; it must look at
// its lease again and send nothing.
#[test]
fn holder_that_thaws_in_its_wait_sends_nothing() {
    harness::run(waiting_order(Fencing::Ignored, SHORT_LEASE, false));
}

// The holder is killed, and its successor freezes while it waits with an order "prefill" for the
// end of that lease. A third daemon takes the lease and gives "decode". The successor thaws, is
// live again and gets the lease back with time left; in this new term it must not go on with the
// order of its earlier one.
#[test]
fn successor_that_thaws_in_its_wait_for_the_lease_sends_nothing() {
    harness::run(waiting_order(Fencing::Checked, LONG_LEASE, true));
}

/// Delay of the wire before the engine that keeps an order unanswered while its giver is frozen.
const SLOW_WIRE_MS: u64 = 1_500;

// The holder is killed. Its successor has sent the engine its state on a slow wire, and an operator's
// order "prefill" waits behind that one, when the successor freezes. A third daemon gives "decode". The
// successor thaws and gets the lease back; the waiting order is of its earlier term and must not be
// sent in the new one.
#[test]
fn order_that_waits_behind_another_is_not_sent_in_a_new_term() {
    harness::run(async {
        let layout = harness::layout(Fencing::Checked);
        let mut cluster = Cluster::start(layout).await.unwrap();
        let ranked = harness::ranked(&cluster);
        harness::told(&cluster).await;
        let first_fence = harness::fence(&cluster).await;
        cluster.daemons[ranked[0]].process.kill();
        let cluster = Rc::new(cluster);
        harness::wire(&cluster, "slow", SLOW_WIRE_MS).await;
        harness::until("the successor has the lease", async || {
            harness::fence(&cluster).await > first_fence
        })
        .await;
        monoio::time::sleep(SENDING).await;
        let first = harness::order_role(&cluster, ranked[1], "prefill", "first");
        harness::logged(
            &cluster,
            ranked[1],
            "order first to spanish-town-engine-0 begins",
        )
        .await;
        cluster.daemons[ranked[1]].process.freeze().unwrap();
        harness::wire(&cluster, "open", 0).await;
        harness::role_done(&cluster, ranked[2], "decode", "second").await;
        cluster.daemons[ranked[1]].process.thaw().unwrap();
        harness::logged(
            &cluster,
            ranked[1],
            "order first to spanish-town-engine-0 ended",
        )
        .await;
        let told = first.await.outcome;
        assert_ne!(told, "done");
        let roles = harness::carried_out(&cluster, "change_role").await;
        assert_eq!(roles, ["decode"]);
    });
}
