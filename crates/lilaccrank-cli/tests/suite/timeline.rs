//! The merged time line of a real cluster.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use lilaccrank::ids::RequestId;
use lilaccrank::timeline::{Event, EventKind};
use lilaccrank_lab::caller::{self, Call, Outcome};
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

/// Requests, enough for some to be asked for and granted within the same millisecond.
const REQUESTS: usize = 60;

async fn send(cluster: &Cluster, at: usize) {
    let call = Call {
        bearer: Layout::customer_key("hotel"),
        max_tokens: 1,
        model: MODEL.to_owned(),
        prompt: "site".to_owned(),
        ..Call::default()
    };
    let address = cluster.daemons[at % cluster.daemons.len()]
        .callers
        .to_string();
    let outcome = caller::call(&cluster.client, &address, &call).await;
    assert!(matches!(outcome, Outcome::Whole { .. }), "{outcome:?}");
}

fn events(merged: &Value) -> Vec<Event> {
    serde_json::from_value(merged["events"].clone()).unwrap()
}

/// An entry asks, the dispatcher on another vm grants, the entry dispatches: all within a
/// millisecond. Ordered by wall time alone, the grant could come before the question.
#[test]
fn a_request_over_two_daemons_is_in_causal_order() {
    cluster::with(cluster::one_data_centre(3, 1), async |cluster| {
        for at in 0..REQUESTS {
            send(&cluster, at).await;
        }
        let run = |args: &str| cluster::run(&cluster, args).run().json();
        let mut lives: IndexMap<RequestId, Vec<Event>> = IndexMap::new();
        for event in events(&run("timeline --json --since 1m")) {
            if let Some(request) = event.subject.request.clone() {
                lives.entry(request).or_default().push(event);
            }
        }
        assert_eq!(lives.len(), REQUESTS);
        let mut over_two = 0;
        for life in lives.values() {
            let kinds: Vec<_> = life.iter().map(|event| event.kind).collect();
            assert_eq!(kinds, LIFE);
            over_two += usize::from(life[0].stamp.vm != life[1].stamp.vm);
        }
        assert_eq!(over_two, REQUESTS * 2 / 3);
        let (request, life) = lives.first().unwrap();
        let by_request = run(&format!("timeline --json --request {request}"));
        assert_eq!(events(&by_request), *life);
        let by_target = events(&run("timeline --json --target spanish-town-engine-0"));
        assert_eq!(by_target.len(), REQUESTS * 3);
        let before = events(&run("timeline --json --until 1h"));
        assert!(before.is_empty());
    });
}

/// Time for which a dispatcher is frozen: longer than the timeout of a call between daemons, so that
/// the submission is repeated, and shorter than it takes to declare the dispatcher dead.
const FREEZE: Duration = Duration::from_millis(1_100);

/// Guards against a grant that appears as several: an entry repeats a submission whose reply is late,
/// and the dispatcher answers each repetition with the same grant.
#[test]
fn a_repeated_submission_is_granted_once() {
    cluster::with(cluster::one_data_centre(3, 1), async |cluster| {
        let cluster = Rc::new(cluster);
        send(&cluster, 0).await;
        let run = |args: &str| events(&cluster::run(&cluster, args).run().json());
        let is_takeover = |event: &Event| {
            event.kind == EventKind::TakenOver && event.subject.detail.ends_with("pool engines")
        };
        let takeover = run("timeline --json").into_iter().find(is_takeover);
        let dispatcher = takeover.unwrap().stamp.vm;
        let position = |is_dispatcher: bool| {
            let mut daemons = cluster.daemons.iter();
            daemons.position(|daemon| (daemon.vm == dispatcher) == is_dispatcher)
        };
        let (frozen, entry) = (position(true).unwrap(), position(false).unwrap());
        for _ in 0..4 {
            cluster.daemons[frozen].process.freeze().unwrap();
            let sent = monoio::spawn({
                let cluster = Rc::clone(&cluster);
                async move { send(&cluster, entry).await }
            });
            monoio::time::sleep(FREEZE).await;
            cluster.daemons[frozen].process.thaw().unwrap();
            sent.await;
        }
        let events = run("timeline --json");
        let granted = events
            .iter()
            .filter(|event| event.kind == EventKind::Granted);
        let (by_dispatchers, at_entries): (Vec<_>, Vec<_>) =
            granted.partition(|event| event.subject.detail.starts_with("by the dispatcher"));
        let mut grants: IndexMap<_, usize> = IndexMap::new();
        for Event { stamp, subject, .. } in &by_dispatchers {
            let submission = (&subject.request, &stamp.vm, &subject.detail);
            *grants.entry(submission).or_default() += 1;
        }
        assert!(grants.values().all(|grants| *grants == 1), "{grants:?}");
        for Event { subject, .. } in at_entries {
            let of_request = |event: &&&Event| event.subject.request == subject.request;
            let grant = by_dispatchers.iter().find(of_request);
            assert!(
                grant.is_some(),
                "{subject:?} by no dispatcher of {grants:?}"
            );
        }
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
