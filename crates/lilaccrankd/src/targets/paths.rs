//! Paths of this daemon to its targets: which work, which are probed, and which peer relays.
//!
//! A path whose connections fail is probed until one can be made. Requests don't find out for
//! themselves that it is still down: they go through a peer that reaches the target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::Target;
use lilaccrank::ids::{DataCentre, PoolId, VmId};
use lilaccrank::membership::State;
use lilaccrank::paths::{Paths, Route};
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::client;

use crate::daemon::Daemon;
use crate::pools::server;

mod probes;
mod search;

pub use probes::probe;
pub use search::{answer, is_reached_by_peer, until_relay};

/// Interval of the checks for paths to probe.
const TICK: Duration = Duration::from_millis(100);
/// Interval between two probes of a path that is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of probes of paths that are down in one tick.
const PROBES_PER_TICK: usize = 4;
/// Time without output of a target with requests in progress after which its path is probed. Targets
/// may be silent for longer, so a probe is all that follows.
const SILENCE: Duration = Duration::from_millis(500);
/// Interval between two probes of a path that is silent.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time since the last output of a target in which it counts as reached without a probe.
const RECENT: Duration = Duration::from_millis(250);
/// Number of paths that are down at the same time from which on this daemon's own links are suspected,
/// and all paths are probed.
const SUSPICIOUS_COUNT: usize = 2;
/// Ticks between two checks for records of targets that are gone.
const TICKS_PER_CLEANUP: u32 = 100;

/// What is known of a peer that relays.
#[derive(Clone, Debug)]
struct RelayPeer {
    address: SocketAddr,
    data_centre: DataCentre,
}

/// Paths of this daemon to its targets.
#[derive(Default)]
pub struct TargetPaths {
    /// Routes that were last given to the dispatchers.
    applied: RefCell<IndexMap<TargetInstance, Route>>,
    changed: Event,
    /// Records of the paths.
    records: RefCell<Paths>,
    /// Pools of the targets whose paths have been down.
    pools: RefCell<IndexMap<TargetInstance, PoolId>>,
    /// Targets that a probe is under way to.
    probing: RefCell<IndexSet<TargetInstance>>,
    relays: RefCell<IndexMap<VmId, RelayPeer>>,
    /// Targets that peers are being asked about.
    searching: RefCell<IndexSet<TargetInstance>>,
}

/// A request in progress over an own connection.
pub struct ActiveSend {
    daemon: Rc<Daemon>,
    target: TargetInstance,
}

impl ActiveSend {
    /// Counts a request that begins.
    #[must_use]
    pub fn new(daemon: &Rc<Daemon>, target: &TargetInstance) -> Self {
        let now = Instant::now();
        daemon
            .paths
            .records
            .borrow_mut()
            .record_running(target, true, now);
        Self {
            daemon: Rc::clone(daemon),
            target: target.clone(),
        }
    }

    /// Records that something came from the target.
    pub fn record_heard(&self) {
        let paths = &self.daemon.paths;
        let now = Instant::now();
        paths.records.borrow_mut().record_heard(&self.target, now);
    }

    /// Returns `true` if the answer can't arrive: the target is well, and this daemon's path to it is
    /// down.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        let paths = self.daemon.paths.records.borrow();
        paths.is_cut(&self.target, Instant::now())
    }
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        let paths = &self.daemon.paths;
        paths
            .records
            .borrow_mut()
            .record_running(&self.target, false, Instant::now());
    }
}

impl TargetPaths {
    /// Returns `true` if new connections to the target fail.
    #[must_use]
    pub fn is_down(&self, target: &TargetInstance) -> bool {
        self.records.borrow().is_down(target)
    }

    /// Returns `true` if kept connections may still work although new ones fail.
    #[must_use]
    pub fn keeps_working(&self, target: &TargetInstance) -> bool {
        self.records.borrow().keeps_working(target)
    }

    /// Routes that differ from a direct one.
    #[must_use]
    pub fn routes(&self) -> IndexMap<TargetInstance, Route> {
        let now = Instant::now();
        let paths = self.records.borrow();
        let down = paths.down().into_iter();
        let routes = down.map(|target| (paths.route(&target, now), target));
        let indirect = routes.filter(|(route, _)| *route != Route::Direct);
        indirect.map(|(route, target)| (target, route)).collect()
    }

    /// Targets that this daemon reaches neither directly nor through a peer.
    #[must_use]
    pub fn unreachable(&self) -> Vec<TargetInstance> {
        let routes = self.routes().into_iter();
        let unreachable = routes.filter(|(_, route)| *route == Route::Unreachable);
        unreachable.map(|(target, _)| target).collect()
    }

    /// Waits for a change, or the next check of the paths that are down.
    pub async fn changed(&self) {
        self.changed.listen().await;
    }

    /// Records whether a peer relays requests to the target.
    pub fn record_relay(&self, daemon: &Daemon, target: &TargetInstance, vm: &VmId, reaches: bool) {
        let now = Instant::now();
        self.records
            .borrow_mut()
            .record_peer(target, vm, reaches, now);
        if !reaches {
            self.apply(daemon);
        }
    }

    /// Gives changed routes to the dispatchers.
    fn apply(&self, daemon: &Daemon) {
        let routes = self.routes();
        if *self.applied.borrow() == routes {
            return;
        }
        let unreachable = routes
            .values()
            .filter(|route| **route == Route::Unreachable);
        let unreachable = i64::try_from(unreachable.count()).unwrap_or(i64::MAX);
        daemon.metrics.unreachable_targets.set(unreachable);
        server::apply_routes(daemon, &routes);
        self.applied.replace(routes);
    }

    fn is_heard_within(&self, target: &TargetInstance, limit: Duration) -> bool {
        let paths = self.records.borrow();
        paths.is_heard_within(target, limit, Instant::now())
    }
}

/// Drops what is known of relays that are no longer alive.
pub fn members_changed(daemon: &Daemon) {
    let is_alive = |vm: &VmId| {
        let member = daemon.membership.find(vm);
        member.is_some_and(|member| member.state != State::Dead)
    };
    let paths = &daemon.paths;
    paths.records.borrow_mut().retain_peers(is_alive);
    paths.relays.borrow_mut().retain(|vm, _| is_alive(vm));
    paths.changed.notify(usize::MAX);
    paths.apply(daemon);
}

/// Records that a connection to a target was made.
pub fn record_connected(daemon: &Rc<Daemon>, target: &TargetInstance) {
    let paths = &daemon.paths;
    let after = paths
        .records
        .borrow_mut()
        .record_connected(target, Instant::now());
    let Some(after) = after else {
        return;
    };
    log::info!(after_ms = after.as_millis() as u64, target = target.id; "the path to a target works again");
    paths.changed.notify(usize::MAX);
    paths.apply(daemon);
    probes::probe_all(daemon, paths.records.borrow().down());
}

/// Records that a connection to a target could not be made.
pub fn record_unconnected(
    daemon: &Rc<Daemon>,
    pool: &PoolId,
    target: &Target,
    why: &client::Error,
) {
    let paths = &daemon.paths;
    let instance = TargetInstance::of(target);
    let now = Instant::now();
    let is_first = paths
        .records
        .borrow_mut()
        .record_unconnected(&instance, now);
    if !is_first {
        return;
    }
    log::warn!(target = instance.id, why:% = why; "the path to a target is down");
    paths
        .pools
        .borrow_mut()
        .insert(instance.clone(), pool.clone());
    search::start(daemon, pool, &instance);
    paths.apply(daemon);
    if paths.records.borrow().down().len() >= SUSPICIOUS_COUNT {
        probes::probe_unheard(daemon);
    }
}

/// Probes paths for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>) {
    for tick in 0_u32.. {
        monoio::time::sleep(TICK).await;
        let now = Instant::now();
        if tick % TICKS_PER_CLEANUP == 0 {
            retain_listed(&daemon);
        }
        let paths = daemon.paths.records.borrow();
        let silent = paths.silent(SILENCE, now);
        let is_due = |target: &TargetInstance, every| paths.is_probe_due(target, every, now);
        let silent = silent
            .into_iter()
            .filter(|target| is_due(target, SILENT_PROBE_INTERVAL));
        let down = paths.down().into_iter();
        let down = down.filter(|target| is_due(target, PROBE_INTERVAL));
        let due: Vec<_> = silent.chain(down.take(PROBES_PER_TICK)).collect();
        drop(paths);
        // One in a tick, so that a cell of targets costs no more than one of them.
        if let Some(target) = due
            .iter()
            .find(|target| search::needs_relay(&daemon, target))
        {
            search::search_again(&daemon, target);
        }
        // Whether an answer is cut depends on the time for which its path has been down.
        if !daemon.paths.routes().is_empty() {
            daemon.paths.changed.notify(usize::MAX);
        }
        probes::probe_all(&daemon, due);
        daemon.paths.apply(&daemon);
    }
}

/// Drops the records of targets that are no longer listed.
fn retain_listed(daemon: &Daemon) {
    let paths = &daemon.paths;
    let mut pools = paths.pools.borrow_mut();
    pools.retain(|target, pool| daemon.target(pool, target).is_some());
    let mut known = paths.records.borrow_mut();
    known.retain(|target| pools.contains_key(target) || is_listed(daemon, target));
}

fn is_listed(daemon: &Daemon, target: &TargetInstance) -> bool {
    let Ok(in_force) = daemon.in_force() else {
        return false;
    };
    let mut pools = in_force.document.pools.iter();
    pools.any(|pool| daemon.target(&pool.id, target).is_some())
}
