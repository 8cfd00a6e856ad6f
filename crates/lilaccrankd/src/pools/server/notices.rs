//! Passes on to the dispatchers of this daemon what targets say of themselves in their answers.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use lilaccrank::ids::PoolId;
use lilaccrank::paths::Route;
use lilaccrank::target_instance::TargetInstance;

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
