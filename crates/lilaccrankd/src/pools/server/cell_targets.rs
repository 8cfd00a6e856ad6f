//! The targets that the dispatchers of this daemon use: those of its cell, and spare ones.

use std::time::Instant;

use lilaccrank::cells;
use lilaccrank::dispatch::Dispatcher;
use lilaccrank::document::{Pool, Target, TargetState};
use lilaccrank::ids::PoolId;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;
use crate::pools::server::overflow::{self, Overflow};
use crate::targets::sendable;

/// Sets the targets of a dispatcher: those of the cell, out of the targets in this data centre and
/// in data centres that act as one with it. A daemon with most of the requests uses some of other cells.
pub(super) fn set_targets(
    daemon: &Daemon,
    dispatcher: &Dispatcher<MonoioClock>,
    overflow: &Overflow,
    configured: &Pool,
) {
    let mut pool = Pool {
        targets: near_targets(daemon, configured),
        ..configured.clone()
    };
    let near = pool.targets.clone();
    pool.targets = cell_targets(daemon, &pool.id, pool.targets);
    let spare = cells::spare_targets(&near, &pool.targets, &daemon.cfg.vm);
    let slots = pool.targets.iter().map(|target| target.slots);
    overflow.set_cell_slots(slots.fold(0, u32::saturating_add));
    if overflow.is_active() {
        pool.targets.extend(overflow::targets(daemon, &near, &pool));
    }
    if daemon.duties.is_dispatch_local() {
        cells::sort_by_daemon_hash(&mut pool.targets, &daemon.cfg.vm);
    }
    daemon.pool_server.rate_limits.targets_changed();
    dispatcher.set_targets_where(&pool, &spare, |data_centre| daemon.cfg.is_near(data_centre));
    if daemon.duties.is_dispatch_local() {
        for (target, left) in daemon.pauses.in_force(Instant::now()) {
            dispatcher.push_back(&target, left);
        }
        dispatcher.set_routes(&daemon.paths.routes());
    }
}

/// The targets that the cell of this daemon uses. The versions of a roll-out are dealt to the cells
/// apart, so that each cell has both.
fn cell_targets(daemon: &Daemon, pool: &PoolId, targets: Vec<Target>) -> Vec<Target> {
    let (mut targets, mut new) = daemon.rollouts.split(pool, targets);
    let cell = super::cell(daemon);
    cell.retain_targets(&mut targets);
    cell.retain_targets(&mut new);
    targets.extend(new);
    targets
}

/// Targets of a pool in this data centre and in data centres that act as one with it.
pub(in crate::pools) fn near_targets(daemon: &Daemon, configured: &Pool) -> Vec<Target> {
    let mut targets = daemon.live_list.apply(configured).targets;
    targets.retain(|target| daemon.cfg.is_near(&target.data_centre));
    for target in &mut targets {
        target.state = sendable::state_of(daemon, &configured.id, target);
    }
    targets
}

/// Targets of all pools that this daemon may send to.
pub fn sendable_targets(daemon: &Daemon) -> Vec<(PoolId, Target)> {
    let Ok(in_force) = daemon.in_force() else {
        return Vec::new();
    };
    let pools = in_force.document.pools.iter();
    let targets = pools.flat_map(|pool| {
        let targets = near_targets(daemon, pool);
        cell_targets(daemon, &pool.id, targets)
            .into_iter()
            .filter(|target| target.state == TargetState::Live)
            .map(|target| (pool.id.clone(), target))
    });
    targets.collect()
}

/// Finds a target with its pool.
pub fn find_target(daemon: &Daemon, instance: &TargetInstance) -> Option<(PoolId, Target)> {
    let in_force = daemon.in_force().ok()?;
    let mut pools = in_force.document.pools.iter();
    pools.find_map(|pool| Some((pool.id.clone(), daemon.target(&pool.id, instance)?)))
}
