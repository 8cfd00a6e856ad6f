//! Orders of operators as this daemon knows them, and its part in each.
//!
//! A copy from which the platform's store comes back may lack orders. They go on for a while, until the
//! operator has written them again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::ids::PoolId;
use lilaccrank::rollout::order::{Order, OrderId, Orders};
use lilaccrank::rollout::participant::Participant;
use lilaccrank::store_revision::StoreRevision;
use lilaccrank_http::runtime;
use serde::{Deserialize, Serialize};

use super::{Rollouts, apply};
use crate::daemon::Daemon;

/// Time after a restore of the platform's store for which orders that it lacks go on: operators write them
/// again within two seconds, and the news takes up to one.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Orders with their ages, as daemons pass them on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KnownOrders {
    /// Time since each order, by pool.
    pub ages: IndexMap<PoolId, Duration>,
    /// The orders.
    pub orders: Orders,
}

impl Rollouts {
    /// Orders that this daemon knows, if they are newer than `revision`.
    #[must_use]
    pub fn newer_than(&self, revision: StoreRevision) -> Option<KnownOrders> {
        let orders = self.orders.borrow();
        if orders.revision <= revision {
            return None;
        }
        let now = Instant::now();
        let participants = self.participants.borrow();
        let ages = participants.iter().map(|(pool, participant)| {
            let age = now.saturating_duration_since(participant.started_at());
            (pool.clone(), age)
        });
        Some(KnownOrders {
            ages: ages.collect(),
            orders: orders.clone(),
        })
    }

    /// Returns `true` while the platform's store may lack orders after a restore.
    fn is_recovering(&self, now: Instant) -> bool {
        let restored_at = self.restored_at.get();
        restored_at.is_some_and(|at| now.saturating_duration_since(at) < RECOVERY_TIME)
    }
}

/// Takes over orders that are newer than those that this daemon knows.
pub fn update(daemon: &Rc<Daemon>, known: KnownOrders) {
    let rollouts = &daemon.rollouts;
    let before = rollouts.revision();
    if known.orders.revision <= before {
        return;
    }
    let is_first = before == StoreRevision::default();
    if !is_first && before.era < known.orders.revision.era {
        rollouts.restored_at.set(Some(Instant::now()));
        runtime::spawn(end_recovery(Rc::clone(daemon)));
    }
    update_participants(daemon, &known);
    update_controllers(rollouts, &known.orders);
    rollouts.note_old_targets(&daemon.live_list.listing());
    *rollouts.orders.borrow_mut() = known.orders;
    rollouts.wake.notify();
    apply(daemon);
}

/// Ends the part in orders that are still missing some time after a restore of the platform's store.
async fn end_recovery(daemon: Rc<Daemon>) {
    monoio::time::sleep(RECOVERY_TIME).await;
    let known = KnownOrders {
        orders: daemon.rollouts.orders.borrow().clone(),
        ..KnownOrders::default()
    };
    update_participants(&daemon, &known);
    apply(&daemon);
}

/// Takes part in new orders, and no longer in those that are gone or replaced.
fn update_participants(daemon: &Daemon, known: &KnownOrders) {
    let now = Instant::now();
    let is_recovering = daemon.rollouts.is_recovering(now);
    let mut participants = daemon.rollouts.participants.borrow_mut();
    participants.retain(|pool, participant| match known.orders.by_pool.get(pool) {
        Some(order) if order.id == participant.order().id => true,
        Some(order) => is_recovering && participant.order().is_written_again(order),
        None => is_recovering,
    });
    for (pool, order) in &known.orders.by_pool {
        let age = known.ages.get(pool).copied().unwrap_or_default();
        if let Some(participant) = participants.get_mut(pool) {
            participant.note_age(age, now);
            if participant.order().id != order.id {
                log::info!(before:% = participant.order().id, order:% = order.id; "a roll-out goes on after a restore");
            }
            participant.renew(order.clone());
            continue;
        }
        let started_at = now.checked_sub(age).unwrap_or(now);
        let participant = Participant::new(order.clone(), started_at, rand::random());
        participants.insert(pool.clone(), participant);
        log_order(daemon, order, age);
    }
}

/// Tells the judges of orders what the store has of them, and drops those of orders that are gone.
fn update_controllers(rollouts: &Rollouts, orders: &Orders) {
    let mut controllers = rollouts.controllers.borrow_mut();
    let current = |id: &OrderId| orders.by_pool.get(&id.pool).filter(|order| order.id == *id);
    controllers.retain(|id, _| current(id).is_some());
    for (id, controller) in controllers.iter_mut() {
        controller.note_recorded(current(id).and_then(|order| order.recorded));
    }
}

fn log_order(daemon: &Daemon, order: &Order, age: Duration) {
    let in_force = daemon.in_force().ok();
    let is_known = in_force.is_some_and(|f| f.document.pool(&order.id.pool).is_some());
    log::info!(
        age_ms = age.as_millis() as u64,
        duration_ms = order.duration.as_millis() as u64,
        is_pool_known = is_known,
        order:% = order.id,
        recorded = order.recorded.map(|state| state.to_string()).unwrap_or_default();
        "a roll-out is ordered"
    );
    if let Err(e) = order.check() {
        log::error!(order:% = order.id, why:% = e; "an order of a roll-out can't be carried out");
    }
}
