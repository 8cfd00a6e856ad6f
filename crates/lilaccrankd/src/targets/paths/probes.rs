//! Probes of paths: connections that are opened to see whether a target can be reached.

use std::rc::Rc;
use std::time::Instant;

use lilaccrank::document::Target;
use lilaccrank::ids::PoolId;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::runtime;

use crate::daemon::Daemon;
use crate::pools::server;

/// Maximum number of paths that are probed when this daemon's own links are suspected.
const SUSPECTS_LIMIT: usize = 64;

/// Opens a connection to a target and keeps it for the next request. Returns `true` if it could be
/// made.
pub async fn probe(daemon: &Rc<Daemon>, pool: &PoolId, target: &Target) -> bool {
    let instance = TargetInstance::of(target);
    let paths = &daemon.paths;
    paths
        .records
        .borrow_mut()
        .record_probe(&instance, Instant::now());
    let connect = daemon.bounds().connect;
    match daemon.client.open_idle(&target.address, connect).await {
        Ok(()) => {
            super::record_connected(daemon, &instance);
            true
        }
        Err(e) => {
            super::record_unconnected(daemon, pool, target, &e);
            false
        }
    }
}

/// Probes targets of this daemon's list from which nothing has come lately.
pub(super) fn probe_unheard(daemon: &Rc<Daemon>) {
    let listed = server::sendable_targets(daemon);
    let unheard = listed.into_iter().filter(|(_, target)| {
        let instance = TargetInstance::of(target);
        !daemon.paths.is_down(&instance) && !daemon.paths.is_heard_within(&instance, super::RECENT)
    });
    for (pool, target) in unheard.take(SUSPECTS_LIMIT) {
        spawn_probe(daemon, pool, target);
    }
}

/// Probes those of the targets that are still listed.
pub(super) fn probe_all(daemon: &Rc<Daemon>, targets: Vec<TargetInstance>) {
    for instance in targets {
        let listed = server::find_target(daemon, &instance);
        if let Some((pool, target)) = listed {
            spawn_probe(daemon, pool, target);
        }
    }
}

fn spawn_probe(daemon: &Rc<Daemon>, pool: PoolId, target: Target) {
    let instance = TargetInstance::of(&target);
    if !daemon.paths.probing.borrow_mut().insert(instance.clone()) {
        return;
    }
    let daemon = Rc::clone(daemon);
    runtime::spawn(async move {
        probe(&daemon, &pool, &target).await;
        daemon.paths.probing.borrow_mut().swap_remove(&instance);
    });
}
