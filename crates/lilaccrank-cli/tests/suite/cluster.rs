//! A real cluster that the command line operates.

use lilaccrank_http::runtime;
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{EngineLayout, Layout};
use serde_json::Value;

use crate::test::Test;

/// One data centre with this many daemons and engines.
pub fn one_data_centre(daemons: usize, engines: usize) -> Layout {
    Layout::one_data_centre(daemons, vec![EngineLayout::default(); engines])
}

/// Runs `test` with a cluster.
pub fn with(layout: Layout, test: impl AsyncFnOnce(Cluster)) {
    runtime::block_on(async {
        let cluster = Cluster::start(layout).await.unwrap();
        test(cluster).await;
    })
    .unwrap();
}

/// A run of the command line as the operator, who knows the first daemon.
pub fn run(cluster: &Cluster, args: &str) -> Test {
    run_at(&[&cluster.daemons[0].admin.to_string()], args)
}

/// A run of the command line as the operator, who knows these daemons.
pub fn run_at(admins: &[&str], args: &str) -> Test {
    Test::new(args)
        .env("LILACCRANK_ADMIN", &admins.join(","))
        .env("LILACCRANK_KEY", &Layout::operator_key())
}

/// The generation that each daemon itself says is in force.
pub async fn generations(cluster: &Cluster) -> Vec<u64> {
    let mut generations = Vec::new();
    for daemon in &cluster.daemons {
        let (_, text) = cluster
            .get(&daemon.admin.to_string(), "/v1/status")
            .await
            .unwrap();
        let status: Value = serde_json::from_str(&text).unwrap();
        generations.push(status["identity"]["generation"].as_u64().unwrap());
    }
    generations
}
