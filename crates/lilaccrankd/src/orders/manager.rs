//! Manages the orders of this daemon, from operators and from the configuration, to the pools that
//! it dispatches for.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use lilaccrank::document::{Pool, PoolKind, Target};
use lilaccrank::ids::{Incarnation, PoolId};
use lilaccrank::request_key::Ranking;
use lilaccrank_http::runtime;

use crate::daemon::{Daemon, PlatformStore};
use crate::orders::drain_reconciler;
use crate::orders::jobs::OrderJobs;
use crate::orders::pool_orders::PoolOrders;
use crate::orders::timeouts::OrderTimeouts;
use crate::settings::Settings;

/// Orders of this incarnation of the daemon.
pub struct OrderManager {
    data_centre: String,
    /// This VM and incarnation, as the store names the holder of a lease.
    holder: String,
    /// Operators' orders by id.
    pub jobs: OrderJobs,
    pools: RefCell<IndexMap<PoolId, Rc<PoolOrders>>>,
    store: PlatformStore,
    /// Timeouts of orders.
    pub timeouts: OrderTimeouts,
}

impl OrderManager {
    /// Returns a manager that issues no orders before the first [`reconcile`].
    #[must_use]
    pub fn new(cfg: &Settings, incarnation: Incarnation, store: PlatformStore) -> Self {
        Self {
            data_centre: cfg.data_centre.clone(),
            holder: format!("{}@{incarnation}", cfg.vm),
            jobs: OrderJobs::default(),
            pools: RefCell::default(),
            store,
            timeouts: OrderTimeouts::new(cfg),
        }
    }

    /// Returns `true` if this daemon issues orders to any pool.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.pools.borrow().values().any(|it| it.is_active())
    }

    /// Returns the orders to a pool if this daemon issues them.
    #[must_use]
    pub fn active_orders(&self, pool: &PoolId) -> Option<Rc<PoolOrders>> {
        let pools = self.pools.borrow();
        let pool_orders = pools.get(pool).filter(|it| it.is_active())?;
        Some(Rc::clone(pool_orders))
    }

    fn start(&self, pool: &PoolId) -> Rc<PoolOrders> {
        let key = format!("lease/orders/{}/{pool}", self.data_centre);
        PoolOrders::start(key, self.holder.clone(), self.store.clone(), self.timeouts)
    }
}

/// Starts or stops issuing orders to pools after a change of members, of the configuration or of
/// the list of VMs.
pub fn reconcile(daemon: &Rc<Daemon>) {
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    let pools = &in_force.document.pools;
    let manager = &daemon.order_manager;
    let incarnation = daemon.duties.me().incarnation;
    for (pool, pool_orders) in manager.pools.borrow().iter() {
        if !pools.iter().any(|configured| configured.id == *pool) {
            pool_orders.set_active(false, incarnation);
        }
    }
    for pool in pools {
        let targets = local_engines(daemon, pool);
        let is_active = !targets.is_empty() && daemon.duties.is_dispatcher(&pool.id);
        let known = manager.pools.borrow().get(&pool.id).cloned();
        let pool_orders = match known {
            Some(pool_orders) => pool_orders,
            None if is_active => {
                let pool_orders = manager.start(&pool.id);
                runtime::spawn(drain_reconciler::run(
                    Rc::clone(daemon),
                    Rc::clone(&pool_orders),
                ));
                let mut all = manager.pools.borrow_mut();
                all.insert(pool.id.clone(), Rc::clone(&pool_orders));
                pool_orders
            }
            None => continue,
        };
        pool_orders.set_targets(targets);
        pool_orders.set_active(is_active, incarnation);
    }
}

/// Returns the engines of a pool in this data centre. Plain services and targets that the platform
/// manages take no orders.
fn local_engines(daemon: &Daemon, pool: &Pool) -> Vec<Target> {
    if pool.kind != PoolKind::Engine || pool.listed {
        return Vec::new();
    }
    let mut targets = daemon.live_list.apply(pool).targets;
    targets.retain(|target| target.data_centre == daemon.cfg.data_centre);
    targets
}
