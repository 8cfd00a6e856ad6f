//! Daemons count what they spend on control, and both ends count alike.

use std::time::{Duration, Instant};

use lilaccrank_http::runtime;
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{EngineLayout, Layout};
use lilaccrank_lab::scale::{self, Control};

const LIMIT: Duration = Duration::from_secs(8);
/// Channels of calls to peers.
const PEERS: [&str; 5] = [
    "peer_configuration",
    "peer_copies",
    "peer_keys",
    "peer_pools",
    "peer_transfers",
];

async fn read(cluster: &Cluster) -> Vec<Control> {
    let mut controls = Vec::new();
    for daemon in &cluster.daemons {
        let address = daemon.admin.to_string();
        let (_, text) = cluster.get(&address, "/metrics").await.unwrap();
        controls.push(scale::control(&text));
    }
    controls
}

fn bytes(controls: &[Control], name: &str) -> f64 {
    controls.iter().map(|control| control.bytes[name]).sum()
}

fn sent_to_peers(controls: &[Control]) -> f64 {
    let sent = PEERS.map(|channel| bytes(controls, &format!("{channel} sent")));
    sent.iter().sum()
}

#[test]
fn both_ends_count_the_same_bytes() {
    runtime::block_on(async {
        let layout = Layout::one_data_centre(3, vec![EngineLayout::default()]);
        let cluster = Cluster::start(layout).await.unwrap();
        let until = Instant::now() + LIMIT;
        loop {
            let before = read(&cluster).await;
            let after = read(&cluster).await;
            // What was sent before the first reading has come by the second, unless it was under
            // way; what came before the first was sent before the second.
            let (sent, later_sent) = (sent_to_peers(&before), sent_to_peers(&after));
            let came = bytes(&before, "peer_served received");
            let later_came = bytes(&after, "peer_served received");
            assert!(came <= later_sent, "{came} came of {later_sent}");
            let gossip = bytes(&before, "gossip sent");
            let gossip_came = bytes(&after, "gossip received");
            let store = bytes(&before, "store received");
            if sent > 0.0 && sent <= later_came && gossip > 0.0 && gossip_came > 0.0 && store > 0.0
            {
                return;
            }
            assert!(Instant::now() < until, "{sent} sent, {later_came} came");
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .unwrap();
}
