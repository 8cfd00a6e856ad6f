//! What the tests of orders share.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::configuration::manifest::Identity;
use lilaccrank::document::{Fencing, Target};
use lilaccrank::ids::VmId;
use lilaccrank::rendezvous;
use lilaccrank_http::runtime;
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{ENGINES, EngineLayout, Layout};
use monoio::task::JoinHandle;
use serde::Deserialize;
use serde_json::{Value, json};

/// The engine of all tests.
pub const ENGINE: &str = "spanish-town-engine-0";
/// Longest time that the tests keep an order on the wire.
pub const IN_FLIGHT_MS: u64 = 7_000;
/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// An order as the engine noted it.
#[derive(Clone, Debug, Deserialize)]
pub struct Received {
    pub accepted: bool,
    pub argument: String,
    pub fencing: u64,
    pub kind: String,
}

/// What an operator was told.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Told {
    pub outcome: String,
    #[serde(default)]
    pub reason: String,
}

/// Runs a test on the runtime of the daemons.
pub fn run(test: impl Future<Output = ()>) {
    runtime::block_on(test).unwrap();
}

/// Three daemons and one engine behind a wire; the lease lasts 2 s.
pub fn layout(fencing: Fencing) -> Layout {
    let engine = EngineLayout {
        fencing,
        ..EngineLayout::default()
    };
    let mut layout = Layout::one_data_centre(3, vec![engine]);
    layout.data_centres[0].services = 0;
    layout.wires.targets = true;
    layout.settings = [
        ("order_in_flight_ms".to_owned(), json!(IN_FLIGHT_MS)),
        ("order_lease_ms".to_owned(), json!(2_000)),
    ]
    .into();
    layout
}

/// Positions of the daemons by their rank for the pool; the first gives its orders.
pub fn ranked(cluster: &Cluster) -> Vec<usize> {
    let vms: Vec<VmId> = cluster.daemons.iter().map(|d| d.vm.clone()).collect();
    let ranked = rendezvous::top(&format!("pool/{ENGINES}"), &vms, vms.len());
    let position = |vm: &VmId| vms.iter().position(|v| v == vm).unwrap();
    ranked.into_iter().map(position).collect()
}

/// What the engine received, in its order; asked past the wire.
pub async fn received(cluster: &Cluster) -> Vec<Received> {
    let address = &cluster.engines[ENGINE].address;
    let (_, text) = cluster.get(address, "/orders").await.unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Arguments of one kind that the engine carried out, in its order.
pub async fn carried_out(cluster: &Cluster, kind: &str) -> Vec<String> {
    let mut all = received(cluster).await;
    all.retain(|order| order.accepted && order.kind == kind);
    all.into_iter().map(|order| order.argument).collect()
}

/// Asks a daemon once for a change of role, without waiting for its outcome.
pub fn order_role(cluster: &Rc<Cluster>, at: usize, role: &str, id: &str) -> JoinHandle<Told> {
    let cluster = Rc::clone(cluster);
    let order = json!({"argument": role, "id": id, "kind": "change_role", "target": ENGINE});
    monoio::spawn(async move {
        let address = cluster.daemons[at].admin.to_string();
        let answered = cluster.post(&address, "/v1/orders", &order).await;
        let (_, text) = answered.unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    })
}

/// Repeats an order until it is done.
pub async fn role_done(cluster: &Rc<Cluster>, at: usize, role: &str, id: &str) {
    until("done", async || {
        order_role(cluster, at, role, id).await.outcome == "done"
    })
    .await;
}

/// Waits until a daemon's log says so.
pub async fn logged(cluster: &Cluster, at: usize, text: &str) {
    let vm = &cluster.daemons[at].vm;
    until(text, async || cluster.log(vm).contains(text)).await;
}

/// Number of the lease in the store.
pub async fn fence(cluster: &Cluster) -> u64 {
    let path = "/v1/objects/lease/orders/spanish-town/engines";
    let got = cluster.get(&cluster.platform.address, path).await;
    let record: Value = serde_json::from_str(&got.unwrap().1).unwrap();
    record["fence"].as_u64().unwrap()
}

/// Publishes over `base` with other engines.
pub async fn publish(cluster: &Cluster, base: &Identity, engines: Vec<Target>) -> Identity {
    let mut document = cluster.document.clone();
    document.pools[0].targets = engines;
    let published = cluster.publish(Some(base.clone()), document);
    published.await.unwrap()
}

/// Sets how the wire before the engine behaves.
pub async fn wire(cluster: &Cluster, mode: &str, delay_ms: u64) {
    let wire = &cluster.target_wires[ENGINE];
    let control = wire.control.as_ref().unwrap();
    let fault = json!({"delay_ms": delay_ms, "mode": mode});
    cluster.post(control, "/control", &fault).await.unwrap();
}

/// Brings a fault about at the platform.
pub async fn platform(cluster: &Cluster, fault: Value) {
    let address = &cluster.platform.address;
    cluster.post(address, "/control", &fault).await.unwrap();
}

/// Waits until the first-ranked daemon has told the engine its state: it holds the lease. A daemon
/// that starts a second earlier may have the duty before it, tell the engine too, and release the
/// lease.
pub async fn told(cluster: &Cluster) {
    let holder = ranked(cluster)[0];
    logged(cluster, holder, &format!("order to {ENGINE}: resume")).await;
    until("told", async || !received(cluster).await.is_empty()).await;
}

/// Waits until `check` holds.
pub async fn until(what: &str, check: impl AsyncFn() -> bool) {
    let until = Instant::now() + LIMIT;
    while !check().await {
        assert!(Instant::now() < until, "{what}: not in time");
        monoio::time::sleep(POLL).await;
    }
}
