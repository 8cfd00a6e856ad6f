//! Draining targets and daemons of a real cluster.

use futures::future;
use lilaccrank_lab::caller::{self, Call, Outcome};
use lilaccrank_lab::cluster::{Cluster, Daemon};
use lilaccrank_lab::layout::{Layout, MODEL};

use crate::cluster;

const DRAINED: &str = "spanish-town-engine-0";
const STAYS: &str = "spanish-town-engine-1";

/// Sends calls at once; all have to be answered whole.
async fn send(cluster: &Cluster, calls: usize) {
    let calls = (0..calls).map(async |i| {
        let call = Call {
            bearer: Layout::customer_key("hotel"),
            max_tokens: 20,
            model: MODEL.to_owned(),
            prompt: format!("site {i}"),
            ..Call::default()
        };
        let daemon = &cluster.daemons[i % cluster.daemons.len()];
        caller::call(&cluster.client, &daemon.callers.to_string(), &call).await
    });
    for outcome in future::join_all(calls).await {
        assert!(matches!(outcome, Outcome::Whole { .. }), "{outcome:?}");
    }
}

async fn begun(cluster: &Cluster, engine: &str) -> usize {
    let address = &cluster.engines[engine].address;
    cluster.begun(address).await.unwrap().len()
}

/// An operator drains an engine for maintenance and switches it off when it has gone quiet. If
/// a daemon that has not heard of it sent it one more request, that request would be cut. The
/// judge is the engine's own log.
#[test]
fn a_drained_target_gets_nothing_new() {
    cluster::with(cluster::one_data_centre(2, 2), async |cluster| {
        send(&cluster, 30).await;
        let before = begun(&cluster, DRAINED).await;
        assert!(before > 0);
        let begin = std::time::Instant::now();
        cluster::run(&cluster, &format!("drain target {DRAINED} --wait")).run();
        assert!(begin.elapsed() < std::time::Duration::from_secs(3));
        send(&cluster, 30).await;
        assert_eq!(begun(&cluster, DRAINED).await, before);
        assert_eq!(begun(&cluster, STAYS).await, 60 - before);
        let again = cluster::run(&cluster, &format!("drain target {DRAINED}"));
        again.stderr("it is draining already").run();
        cluster::run(&cluster, "drain target none")
            .exit(4)
            .stderr("no target `none`")
            .run();
    });
}

/// Streams an answer of 300 tokens through a daemon while `leave` makes that daemon leave.
fn streaming(leave: impl AsyncFnOnce(&Cluster, &Daemon)) {
    cluster::with(cluster::one_data_centre(2, 1), async |mut cluster| {
        let leaving = cluster.daemons.remove(1);
        let args = format!(
            "send --model {MODEL} --max-tokens 300 --caller {}",
            leaving.callers
        );
        let key = Layout::customer_key("hotel");
        let answer = cluster::run(&cluster, &args)
            .arg("site")
            .env("LILACCRANK_KEY", &key);
        let answer = answer.start();
        let engine = &cluster.engines[DRAINED].address;
        while cluster.begun(engine).await.unwrap().is_empty() {}
        leave(&cluster, &leaving).await;
        let tokens = answer.finish().stdout;
        assert_eq!(tokens.split_whitespace().count(), 300);
    });
}

/// A daemon is asked to leave while it streams an answer. If it ended at once, the caller would
/// see its answer broken off.
#[test]
fn a_drained_daemon_finishes_its_answers() {
    streaming(async |cluster, leaving| {
        cluster::run(cluster, &format!("drain daemon {} --wait", leaving.vm))
            .stdout("it had 1 requests in progress")
            .run();
        let gone = leaving.admin.to_string();
        cluster::run_at(&[&gone], "status")
            .exit(3)
            .stderr(&gone)
            .run();
        cluster::run(cluster, "status --json").run();
        cluster::run(cluster, "drain daemon nobody")
            .exit(4)
            .stderr("no daemon `nobody`")
            .run();
    });
}

/// An operator drains a daemon, and then the platform replaces its vm and sends the customary
/// SIGTERM. If that counted as the second signal, which ends a daemon at once, the caller would
/// see its answer broken off.
#[test]
fn a_signal_after_draining_cuts_nothing() {
    streaming(async |cluster, leaving| {
        cluster::run(cluster, &format!("drain daemon {}", leaving.vm)).run();
        leaving.process.terminate().unwrap();
    });
}

/// The first daemon waits in vain for one that still streams, and says so.
#[test]
fn a_daemon_that_has_not_ended_is_told() {
    streaming(async |cluster, leaving| {
        let args = format!("drain daemon {} --wait --wait-limit 0", leaving.vm);
        cluster::run(cluster, &args)
            .exit(7)
            .stderr("has not ended")
            .run();
        let status = cluster::run(cluster, "status").run();
        assert!(
            status
                .stdout
                .contains(&format!("{} in spanish-town: leaving", leaving.vm))
        );
    });
}
