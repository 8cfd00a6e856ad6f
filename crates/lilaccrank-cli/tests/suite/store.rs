//! Publishing while the platform's store fails.

use lilaccrank_lab::cluster::Cluster;
use serde_json::{Value, json};

use crate::cluster;

async fn control(cluster: &Cluster, fault: Value) {
    let (status, text) = cluster
        .post(&cluster.platform.address, "/control", &fault)
        .await
        .unwrap();
    assert_eq!(status, 200, "{text}");
}

fn generations(cluster: &Cluster) -> Vec<u64> {
    let history = cluster::run(cluster, "rules history --json").run().json();
    let entries = history["entries"].as_array().unwrap().clone();
    let generation = |entry: &Value| entry["identity"]["generation"].as_u64();
    entries.iter().filter_map(generation).collect()
}

/// The store writes the history and then the manifest, and both answers are lost; no section
/// differs, so there is no other write. If the daemon took the lost answer for a failure, it
/// would report its own publication as somebody else's, or publish the document twice.
#[test]
fn lost_answers_publish_once() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        control(&cluster, json!({"lose_answers": 2})).await;
        let publish = cluster::run(&cluster, "rules rollback 1 --wait");
        publish.stdout("published generation 2").run();
        assert_eq!(generations(&cluster), [2, 1]);
        let (_, text) = cluster
            .get(&cluster.platform.address, "/counters")
            .await
            .unwrap();
        let counters: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(counters["answers_lost"], 2);
    });
}

/// The store comes back as it was before generation 2, which the daemons hold. If the daemon
/// went by the store alone, it would give out generation 2 again, and no daemon that holds the
/// first one would ever adopt it.
#[test]
fn a_store_that_came_back_older_gives_no_generation_twice() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        control(&cluster, json!({"snapshot": true})).await;
        cluster::run(&cluster, "rules move jobs --before models --wait").run();
        control(&cluster, json!({"restore": true})).await;
        let publish = cluster::run(&cluster, "rules move jobs --after models --wait");
        publish.stdout("published generation 3").run();
        assert_eq!(cluster::generations(&cluster).await, [3, 3]);
        assert_eq!(generations(&cluster), [3, 2, 1]);
    });
}

/// The store is away. What is in force stays in force and can be read; a publication is
/// refused, and the refusal that says that nothing was changed is true.
#[test]
fn a_store_that_is_away_changes_nothing() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        control(&cluster, json!({"outage_ms": 600_000})).await;
        let publish = cluster::run(&cluster, "rules move jobs --before models");
        publish.exit(4).stderr("nothing was changed").run();
        cluster::run(&cluster, "rules show --json")
            .stdout("\"generation\": 1")
            .run();
        cluster::run(&cluster, "explain --customer hotel --path /jobs")
            .stdout("jobs: decides")
            .run();
        control(&cluster, json!({"outage_ms": 0})).await;
        // The daemon's circuit lets calls through some seconds after the store is back.
        let history = || cluster::run(&cluster, "rules history").start().end();
        let mut answer = history();
        for _ in 0..20 {
            if answer.0 == 0 {
                break;
            }
            assert!(
                answer.1.stderr.contains("can't be read"),
                "{}",
                answer.1.stderr
            );
            answer = history();
        }
        assert_eq!(answer.1.stdout.lines().count(), 1, "{}", answer.1.stdout);
        assert!(answer.1.stdout.starts_with("1  lab"));
    });
}
