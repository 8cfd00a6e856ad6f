//! Passes on to the dispatchers of this daemon what targets say of themselves in their answers.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use lilaccrank::dispatch::brittle;
use lilaccrank::document::Pool;
use lilaccrank::ids::PoolId;
use lilaccrank::paths::Route;
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};

use crate::daemon::Daemon;

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

/// Applies to the dispatchers of this daemon which targets are brittle, and whose their slots are.
pub fn apply_brittle(daemon: &Daemon) {
    let current = (daemon.advisories.brittle(), super::cell(daemon));
    let server = &daemon.pool_server;
    if *server.brittle.borrow() == current {
        return;
    }
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    for (pool, served) in server.served.borrow().iter() {
        if let Some(configured) = in_force.document.pool(pool) {
            let shares = brittle_shares(daemon, configured, &current.0);
            served.dispatcher.set_brittle(&shares);
        }
    }
    server.brittle.replace(current);
}

/// Slots of the brittle targets of a pool that this daemon owns.
pub(super) fn brittle_shares(
    daemon: &Daemon,
    pool: &Pool,
    limits: &IndexMap<InstanceDigest, u32>,
) -> IndexMap<InstanceDigest, brittle::Share> {
    let cell = super::cell(daemon);
    let targets = super::near_targets(daemon, pool);
    let cells = cell.cells_sharing_targets(targets.len());
    let shares = targets.iter().filter_map(|target| {
        let digest = TargetInstance::of(target).digest();
        let limit = *limits.get(&digest)?;
        let owned = match daemon.duties.is_dispatch_local() {
            true => cell.owned_slots(digest, &cells, &daemon.cfg.vm),
            false => u64::MAX,
        };
        Some((digest, brittle::Share { limit, owned }))
    });
    shares.collect()
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
