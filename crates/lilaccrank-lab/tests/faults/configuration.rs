use std::cell::RefCell;
use std::time::{Duration, Instant};

use futures::future;
use lilaccrank::configuration::manifest;
use lilaccrank::document::Document;
use lilaccrank_lab::caller::Outcome;
use lilaccrank_lab::cluster::Cluster;
use lilaccrank_lab::layout::WireLayout;
use serde_json::json;

use crate::harness;

/// Time in which a publication is to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);
/// Time over which nothing may revert: watches, comparisons and a healed store all come by.
const WATCHED: Duration = Duration::from_millis(2500);

/// The generations that the daemons were seen with; a lower one fails the test.
struct Generations(RefCell<Vec<u64>>);

impl Generations {
    fn new(cluster: &Cluster) -> Self {
        Self(RefCell::new(vec![0; cluster.daemons.len()]))
    }

    /// Whether all `daemons` have `generation` in force.
    async fn all(&self, cluster: &Cluster, daemons: &[usize], generation: u64) -> bool {
        let mut all = true;
        for at in 0..cluster.daemons.len() {
            let Some(seen) = self.look(cluster, at).await else {
                all &= !daemons.contains(&at);
                continue;
            };
            all &= seen == generation || !daemons.contains(&at);
        }
        all
    }

    async fn look(&self, cluster: &Cluster, at: usize) -> Option<u64> {
        if self.0.borrow()[at] == u64::MAX {
            return None;
        }
        let seen = harness::status(cluster, at).await["identity"]["generation"].as_u64()?;
        let mut highest = self.0.borrow_mut();
        assert!(seen >= highest[at], "daemon {at} went back to {seen}");
        highest[at] = seen;
        Some(seen)
    }

    /// Leaves a daemon out, since it would not answer.
    fn skip(&self, at: usize, skip: bool) {
        self.0.borrow_mut()[at] = if skip { u64::MAX } else { 0 };
    }

    async fn never_lower_for(&self, cluster: &Cluster, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for at in 0..cluster.daemons.len() {
                self.look(cluster, at).await;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn changed(cluster: &Cluster) -> Document {
    let mut document = cluster.document.clone();
    document.pools[0].waiting_limit += 1;
    document
}

async fn publish(cluster: &Cluster) -> u64 {
    let published = cluster.publish(Some(cluster.first.clone()), changed(cluster));
    published.await.unwrap().generation
}

/// Publishes and asserts that the daemons have it in force in time.
async fn publish_to(cluster: &Cluster, generations: &Generations, daemons: &[usize]) -> u64 {
    let generation = publish(cluster).await;
    let begun = Instant::now();
    harness::until("in force", async || {
        generations.all(cluster, daemons, generation).await
    })
    .await;
    assert!(begun.elapsed() < IN_FORCE_LIMIT, "{:?}", begun.elapsed());
    generation
}

async fn control_platform(cluster: &Cluster, control: serde_json::Value) {
    harness::control(cluster, &cluster.platform.address, control).await;
}

// An operator publishes while one daemon is frozen. All others have the publication in force
// within four seconds. The frozen one thaws with the old one in force, hears of the new one and
// takes it in time too; no daemon is ever seen to go back.
#[test]
fn published_while_one_is_frozen() {
    harness::run(async {
        let layout = harness::layout(4, vec![harness::engine(4)]);
        let cluster = Cluster::start(layout).await.unwrap();
        let generations = Generations::new(&cluster);
        assert!(generations.all(&cluster, &[0, 1, 2, 3], 1).await);
        cluster.daemons[3].process.freeze().unwrap();
        generations.skip(3, true);
        let generation = publish_to(&cluster, &generations, &[0, 1, 2]).await;
        harness::forgotten(&cluster, 0, 3).await;
        cluster.daemons[3].process.thaw().unwrap();
        generations.skip(3, false);
        let thawed = Instant::now();
        harness::until("in force after the thaw", async || {
            generations.all(&cluster, &[0, 1, 2, 3], generation).await
        })
        .await;
        assert!(thawed.elapsed() < IN_FORCE_LIMIT, "{:?}", thawed.elapsed());
    });
}

// The platform's store comes back from a copy that is older than what is in force, and a daemon
// is killed and started again at that moment. Nobody ever goes back, the new life neither: it
// hears of the newer configuration from the others, which write it to the store again.
#[test]
fn store_comes_back_older() {
    harness::run(async {
        let layout = harness::layout(3, vec![harness::engine(4)]);
        let mut cluster = Cluster::start(layout).await.unwrap();
        let generations = Generations::new(&cluster);
        control_platform(&cluster, json!({"snapshot": true})).await;
        let generation = publish_to(&cluster, &generations, &[0, 1, 2]).await;
        cluster.daemons[0].process.kill();
        control_platform(&cluster, json!({"restore": true})).await;
        cluster.restart(0).unwrap();
        generations.never_lower_for(&cluster, WATCHED).await;
        assert!(generations.all(&cluster, &[0, 1, 2], generation).await);
    });
}

// The store takes a publication and its answer is lost. The publisher reads back and finds its
// own publication id; the operator hears of one accepted generation, which is in force
// everywhere, and no second one follows.
#[test]
fn answer_to_a_publication_lost() {
    harness::run(async {
        let layout = harness::layout(3, vec![harness::engine(4)]);
        let cluster = Cluster::start(layout).await.unwrap();
        let generations = Generations::new(&cluster);
        let lost = json!({"lose_answers": 1, "lose_answers_of": manifest::KEY});
        control_platform(&cluster, lost).await;
        let generation = publish_to(&cluster, &generations, &[0, 1, 2]).await;
        assert_eq!(generation, 2);
        generations.never_lower_for(&cluster, WATCHED / 2).await;
        assert!(generations.all(&cluster, &[0, 1, 2], generation).await);
    });
}

// One data centre loses the platform, and an operator publishes. The cut-off daemons hear of the
// publication from the other data centre and have it in force in time; meanwhile and afterwards
// their callers are served.
#[test]
fn data_centre_cut_from_the_platform() {
    harness::run(async {
        let mut layout = harness::two_data_centres(2);
        layout.wires = WireLayout {
            platform: true,
            ..WireLayout::default()
        };
        let cluster = Cluster::start(layout).await.unwrap();
        let generations = Generations::new(&cluster);
        let wire = cluster.platform_wires["portmore"].control.clone().unwrap();
        harness::control(&cluster, &wire, json!({"mode": "cut"})).await;
        let served = harness::send(&cluster, 2, harness::keyed("before", 5));
        publish_to(&cluster, &generations, &[0, 1, 2, 3]).await;
        harness::assert_whole(&served.await);
        let served = harness::send(&cluster, 3, harness::keyed("after", 5));
        harness::assert_whole(&served.await);
    });
}

// A request waits for a busy engine when an operator removes its pool. No dispatcher has the pool
// any more, so nobody would ever grant the request. Its caller is told so as soon as the
// publication is in force, while the request that runs already is answered whole.
#[test]
fn pool_removed_while_a_request_waits() {
    harness::run(async {
        let layout = harness::layout(2, vec![harness::engine(1)]);
        let cluster = Cluster::start(layout).await.unwrap();
        let running = harness::send(&cluster, 0, harness::keyed("running", 300));
        harness::running(&cluster, "running").await;
        let waiting = [0, 1].map(|at| {
            let call = harness::keyed(&format!("waiting-{at}"), 5);
            harness::send(&cluster, at, call)
        });
        let dispatcher = harness::dispatcher(&cluster);
        harness::until("waiting", async || {
            harness::waiting(&cluster, dispatcher).await == 2
        })
        .await;
        let mut document = cluster.document.clone();
        let removed = document.pools.remove(0).id;
        document
            .rules
            .retain(|rule| rule.then.pool.as_ref() != Some(&removed));
        let published = cluster.publish(Some(cluster.first.clone()), document);
        published.await.unwrap();
        let begun = Instant::now();
        for outcome in waiting {
            let outcome = outcome.await;
            let Outcome::Refused { kind, ran, .. } = &outcome else {
                panic!("{outcome:?}");
            };
            assert_eq!([kind, ran], ["no_target", "no"]);
        }
        assert!(begun.elapsed() < IN_FORCE_LIMIT, "{:?}", begun.elapsed());
        harness::assert_whole(&running.await);
        assert_eq!(harness::begun(&cluster).await.len(), 1);
    });
}

// Two operators edit the same configuration and publish at the same moment. One of them wins and
// its document is in force everywhere; the other is told of a conflict and nothing of it is seen.
#[test]
fn operators_race() {
    harness::run(async {
        let layout = harness::layout(3, vec![harness::engine(4)]);
        let cluster = Cluster::start(layout).await.unwrap();
        let generations = Generations::new(&cluster);
        let base = || Some(cluster.first.clone());
        let (one, other) = (changed(&cluster), changed(&cluster));
        let racing = future::join(cluster.publish(base(), one), cluster.publish(base(), other));
        let (one, other) = racing.await;
        let (winner, loser) = match (one, other) {
            (Ok(winner), Err(loser)) | (Err(loser), Ok(winner)) => (winner, loser),
            both => panic!("{both:?}"),
        };
        assert!(format!("{loser:?}").contains("Conflict"), "{loser:?}");
        harness::until("the winner's in force", async || {
            generations
                .all(&cluster, &[0, 1, 2], winner.generation)
                .await
        })
        .await;
        for at in 0..3 {
            let publication = &harness::status(&cluster, at).await["identity"]["publication"];
            assert_eq!(*publication, winner.publication);
        }
    });
}
