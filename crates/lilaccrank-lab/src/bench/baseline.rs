//! Baselines: the caller's side chooses an engine by itself and sends straight to it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures::future;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;

use crate::cluster::Cluster;

use super::Policy;

/// Time between two readings of the engines' reports.
const POLL_EVERY: Duration = Duration::from_millis(100);

/// What the choice needs of a report.
#[derive(Deserialize)]
struct Load {
    running: usize,
    waiting: usize,
}

/// Chooses engines by one of the baseline policies.
pub(super) struct Chooser {
    /// Requests in each engine, as it reported last.
    reported: RefCell<Vec<usize>>,
    policy: Policy,
    rng: RefCell<StdRng>,
    turn: Cell<usize>,
}

impl Chooser {
    pub(super) fn new(policy: Policy, engines: usize, seed: u64) -> Self {
        Self {
            reported: RefCell::new(vec![0; engines]),
            policy,
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            turn: Cell::new(0),
        }
    }

    /// Number of the engine for the next request.
    pub(super) fn choose(&self) -> usize {
        let reported = self.reported.borrow();
        let count = reported.len();
        match self.policy {
            Policy::LeastReportedLoad => {
                // Ties by lot, else the first engine gets all of an idle pool.
                let offset = self.rng.borrow_mut().random_range(0..count);
                let order = (0..count).map(|i| (offset + i) % count);
                order.min_by_key(|at| reported[*at]).unwrap_or(0)
            }
            Policy::TwoChoices => {
                let mut rng = self.rng.borrow_mut();
                let first = rng.random_range(0..count);
                let second = (first + rng.random_range(1..count.max(2))) % count;
                if reported[second] < reported[first] {
                    second
                } else {
                    first
                }
            }
            Policy::Lilaccrank | Policy::RoundRobin => {
                self.turn.set(self.turn.get() + 1);
                self.turn.get() % count
            }
        }
    }

    /// Reads the engines' reports until it is dropped.
    pub(super) async fn poll(&self, cluster: &Rc<Cluster>) {
        if matches!(self.policy, Policy::Lilaccrank | Policy::RoundRobin) {
            return;
        }
        loop {
            let targets = &cluster.document.pools[0].targets;
            let readings = targets.iter().enumerate().map(|(i, target)| async move {
                let Ok((200, text)) = cluster.get(&target.address, "/load").await else {
                    return;
                };
                if let Ok(load) = serde_json::from_str::<Load>(&text) {
                    self.reported.borrow_mut()[i] = load.running + load.waiting;
                }
            });
            future::join_all(readings).await;
            monoio::time::sleep(POLL_EVERY).await;
        }
    }
}
