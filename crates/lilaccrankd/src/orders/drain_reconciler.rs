//! Brings the engines of a pool to the drain state that the configuration and the list of leaving
//! VMs ask for.
//!
//! No daemon knows for certain what an engine was last told: the daemon that told it may be gone,
//! and so may the reason for the order. Each new holder of the duty therefore sends every engine
//! its state once, also if that is "live". An engine that a forgotten order left draining would
//! serve nobody.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::future;
use futures::pin_mut;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::backoff::Backoff;
use lilaccrank::document::{Target, TargetState};
use lilaccrank::ids::TargetId;
use lilaccrank::orders::{Command, Effect};
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::runtime;

use crate::daemon::Daemon;
use crate::orders::pool_orders::{PoolOrders, Term};

/// Delay before orders are sent in a new term. While members are still being discovered, the duty
/// may move on within this time, and each order issued until then would cost the store a lease.
const SETTLE_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of the first wait before a failed order is repeated.
const BASE_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound of any wait. It is longer than the lease lingers, so that a dead engine does not
/// keep the lease held forever.
const MAX_BACKOFF: Duration = Duration::from_secs(120);

/// The state that an engine was told to take, at which address and in which term.
#[derive(Clone, Eq, PartialEq)]
struct DrainState {
    address: String,
    state: TargetState,
    term: Term,
}

struct DrainReconciler {
    in_progress: RefCell<IndexSet<TargetId>>,
    daemon: Rc<Daemon>,
    pool_orders: Rc<PoolOrders>,
    applied: RefCell<IndexMap<TargetId, DrainState>>,
}

/// Runs until the daemon ends.
pub async fn run(daemon: Rc<Daemon>, pool_orders: Rc<PoolOrders>) {
    let reconciler = Rc::new(DrainReconciler {
        in_progress: RefCell::default(),
        daemon,
        pool_orders: Rc::clone(&pool_orders),
        applied: RefCell::default(),
    });
    let mut settled_term = None;
    loop {
        let changed = pool_orders.listen();
        let term = pool_orders.term();
        if term != settled_term {
            monoio::time::sleep(SETTLE_DELAY).await;
            settled_term = term;
            continue;
        }
        if term.is_some() {
            reconciler.reconcile_all();
        }
        changed.await;
    }
}

impl DrainReconciler {
    /// Starts one task for each engine that needs an order, so that an engine that does not answer
    /// delays no other.
    fn reconcile_all(self: &Rc<Self>) {
        let ids = self.pool_orders.target_ids();
        self.applied.borrow_mut().retain(|id, _| ids.contains(id));
        for id in ids {
            if self.pending(&id).is_some() && self.in_progress.borrow_mut().insert(id.clone()) {
                runtime::spawn(Rc::clone(self).reconcile(id));
            }
        }
    }

    async fn reconcile(self: Rc<Self>, id: TargetId) {
        let mut backoff = Backoff::new(BASE_BACKOFF, MAX_BACKOFF);
        while let Some((target, desired)) = self.pending(&id) {
            if self.send_order(&target).await {
                self.applied.borrow_mut().insert(id.clone(), desired);
                backoff.reset();
            } else {
                self.wait(&id, &desired, backoff.next_wait()).await;
            }
        }
        self.in_progress.borrow_mut().swap_remove(&id);
    }

    /// Returns the state that an engine still has to be told, if any.
    fn pending(&self, id: &TargetId) -> Option<(Target, DrainState)> {
        let term = self.pool_orders.term()?;
        let target = self.pool_orders.target(id)?;
        let desired = DrainState {
            address: target.address.clone(),
            state: target.state,
            term,
        };
        let last_applied = self.applied.borrow().get(id).cloned();
        (last_applied.as_ref() != Some(&desired)).then_some((target, desired))
    }

    async fn send_order(&self, target: &Target) -> bool {
        let command = match target.state {
            TargetState::Draining => Command::Drain,
            TargetState::Live => Command::Resume,
        };
        let id = self.daemon.next_request_id();
        let result = self.pool_orders.issue(target, &id, command.clone()).await;
        let detail = match &result {
            Ok(Effect::Changed) => command.to_string(),
            Ok(Effect::Unchanged) => format!("{command}: in that state already"),
            Err(e) => format!("{command}: {e}"),
        };
        log::info!("order to {}: {detail}", target.id);
        // With each change of the duty every engine is told its state, which mostly changes
        // nothing: that is no event in the history of the engine.
        if result != Ok(Effect::Unchanged) {
            let subject = Subject {
                detail,
                target: Some(target.id.clone()),
                ..Subject::default()
            };
            self.daemon.record(EventKind::Ordered, subject);
        }
        result.is_ok()
    }

    /// Waits before the next try, but only until another state is desired.
    async fn wait(&self, id: &TargetId, desired: &DrainState, wait: Duration) {
        let changed = async {
            loop {
                let changed = self.pool_orders.listen();
                let now = self.pending(id).map(|(_, now)| now);
                if now.as_ref() != Some(desired) {
                    return;
                }
                changed.await;
            }
        };
        let timeout = monoio::time::sleep(wait);
        pin_mut!(changed, timeout);
        future::select(changed, timeout).await;
    }
}
