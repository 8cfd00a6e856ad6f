//! The merged time line of a real cluster.

use lilaccrank::timeline::{Event, EventKind};
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::{Layout, MODEL};
use serde_json::Value;

use crate::cluster;

/// What happens to one request, in causal order.
const LIFE: [EventKind; 5] = [
    EventKind::Asked,
    EventKind::Granted,
    EventKind::Granted,
    EventKind::Dispatched,
    EventKind::Ended,
];

fn send(cluster: &Cluster, at: usize) {
    let args = format!("send --model {MODEL} --max-tokens 5 --caller");
    cluster::run(cluster, &args)
        .arg(&cluster.daemons[at].callers.to_string())
        .arg("site")
        .env("LILACCRANK_KEY", &Layout::customer_key("hotel"))
        .run();
}

fn events(merged: &Value) -> Vec<Event> {
    serde_json::from_value(merged["events"].clone()).unwrap()
}

/// An entry asks, the dispatcher on another vm grants, the entry dispatches: all within a
/// millisecond. Ordered by wall time alone, the grant could come before the question.
#[test]
fn a_request_over_two_daemons_is_in_causal_order() {
    cluster::with(cluster::one_data_centre(3, 1), async |cluster| {
        (0..3).for_each(|at| send(&cluster, at));
        let run = |args: &str| cluster::run(&cluster, args).run().json();
        let all = events(&run("timeline --json --since 1m"));
        let asked = all.iter().filter(|event| event.kind == EventKind::Asked);
        let requests: Vec<_> = asked.filter_map(|e| e.subject.request.clone()).collect();
        assert_eq!(requests.len(), 3);
        let mut over_two = 0;
        for request in requests {
            let life = events(&run(&format!("timeline --json --request {request}")));
            let kinds: Vec<_> = life.iter().map(|event| event.kind).collect();
            assert_eq!(kinds, LIFE);
            let [asked, granted, ..] = life.as_slice() else {
                unreachable!()
            };
            over_two += usize::from(asked.stamp.vm != granted.stamp.vm);
        }
        assert_eq!(over_two, 2);
        let by_target = events(&run("timeline --json --target spanish-town-engine-0"));
        assert_eq!(by_target.len(), 9);
        let before = events(&run("timeline --json --until 1h"));
        assert!(before.is_empty());
    });
}

/// One daemon is dead, and its events with it. Without being told, an operator would take what
/// the others know for the whole story.
#[test]
fn a_daemon_that_cannot_be_reached_is_named() {
    cluster::with(cluster::one_data_centre(2, 1), async |mut cluster| {
        cluster.daemons[1].process.kill();
        let admins = [0, 1].map(|at| cluster.daemons[at].admin.to_string());
        let admins = [admins[0].as_str(), admins[1].as_str()];
        let run = cluster::run_at(&admins, "timeline --json --since 1m")
            .exit(3)
            .run();
        let unreachable = &run.json()["unreachable"];
        assert_eq!(unreachable[0]["admin"], admins[1]);
        assert_eq!(unreachable.as_array().unwrap().len(), 1);
        assert!(!events(&run.json()).is_empty());
        cluster::run_at(&admins, "timeline")
            .exit(3)
            .stderr(admins[1])
            .run();
    });
}
