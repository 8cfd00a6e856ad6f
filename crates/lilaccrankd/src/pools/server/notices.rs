//! Passes on to the dispatchers of this daemon what targets say of themselves in their answers.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use lilaccrank::ids::PoolId;
use lilaccrank::paths::Route;
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};

use crate::daemon::Daemon;
use crate::pools::slot_leases;

/// Applies the advertised rate limits to the dispatchers of this daemon.
pub fn apply_rate_limits(daemon: &Daemon) {
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    let server = &daemon.pool_server;
    server.rate_limits.apply(daemon, |shares_of| {
        for (pool, served) in server.served.borrow().iter() {
            if let Some(configured) = in_force.document.pool(pool) {
                served.dispatcher.set_rate_limits(&shares_of(configured));
            }
        }
    });
}

/// Updates which targets are brittle. Those of a service are brittle together, so one that has not said
/// anything yet, as after a restart, is taken for brittle while others are.
pub fn apply_brittle(daemon: &Rc<Daemon>) {
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    let announced = daemon.advisories.brittleness();
    let state = &daemon.pool_server.brittle;
    if state.borrow().is_current(&announced) {
        return;
    }
    let pools = in_force.document.pools.iter();
    let pools = pools.map(|pool| (&pool.id, super::near_targets(daemon, pool)));
    if state.borrow_mut().update(&announced, pools) {
        slot_leases::register_running(daemon);
    }
}

/// Number of the first `slots` slots of a target that this daemon owns.
pub fn owned_slots(daemon: &Daemon, pool: &PoolId, target: InstanceDigest, slots: u32) -> u32 {
    let cell = super::cell(daemon);
    let targets = daemon.in_force().ok().and_then(|in_force| {
        let pool = in_force.document.pool(pool)?;
        Some(super::near_targets(daemon, pool).len())
    });
    let cells = cell.cells_sharing_targets(targets.unwrap_or_default());
    let owned = cell.owned_slots(target, &cells, &daemon.cfg.vm);
    let mask = match slots {
        0..64 => (1 << slots) - 1,
        _ => u64::MAX,
    };
    (owned & mask).count_ones()
}

/// Grants nothing on a target for a time, where each daemon dispatches its own requests.
pub fn hold(daemon: &Rc<Daemon>, pool: &PoolId, target: &TargetInstance, pause: Duration) {
    if !daemon.duties.is_dispatch_local() {
        return;
    }
    if let Some(served) = super::served_pool(daemon, pool) {
        served.dispatcher.hold(target, pause);
    }
}

/// Tells the dispatchers how requests of this daemon get to the targets. A dispatcher of several
/// daemons is told of the unreachable ones with each submission.
pub fn apply_routes(daemon: &Daemon, routes: &IndexMap<TargetInstance, Route>) {
    if !daemon.duties.is_dispatch_local() {
        return;
    }
    for served in daemon.pool_server.served.borrow().values() {
        served.dispatcher.set_routes(routes);
    }
}

/// Stops granting targets whose answers have said that they leave.
pub fn apply_leaving(daemon: &Rc<Daemon>) {
    let leaving = daemon.advisories.leaving();
    let known = &daemon.pool_server.leaving;
    if *known.borrow() != leaving {
        known.replace(leaving);
        super::configuration_changed(daemon);
    }
}

/// Pauses the grants of a target that has asked for it, where each daemon dispatches its own
/// requests. A dispatcher of several daemons is told of the targets to leave out with each
/// submission, since the pause binds one of them only.
pub fn push_back(daemon: &Rc<Daemon>, pool: &PoolId, target: &TargetInstance, pause: Duration) {
    if !daemon.duties.is_dispatch_local() {
        return;
    }
    if let Some(served) = super::served_pool(daemon, pool) {
        served.dispatcher.push_back(target, pause);
    }
}
