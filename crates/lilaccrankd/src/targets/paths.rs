//! Paths of this daemon to its targets: which work, which are probed, and which peer relays.
//!
//! A path whose connections fail is probed until one can be made. Requests don't find out for
//! themselves that it is still down: they go through a peer that reaches the target.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures::StreamExt;
use futures::future;
use futures::stream::FuturesUnordered;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::Target;
use lilaccrank::ids::{DataCentre, PoolId, VmId};
use lilaccrank::membership::State;
use lilaccrank::paths::{Paths, Route};
use lilaccrank::peers::Peers;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::client;
use rand::seq::IteratorRandom;

use crate::daemon::Daemon;
use crate::peers::message::{PathReply, PathRequest};
use crate::pools::server;
use crate::targets::sendable;

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
/// Time since the last output of a target in which a peer is told without a probe that it can be
/// reached.
const RECENT: Duration = Duration::from_millis(250);
/// Number of paths that are down at the same time from which on this daemon's own links are suspected,
/// and all paths are probed.
const SUSPICIOUS_COUNT: usize = 2;
/// Maximum number of paths that are probed on such a suspicion.
const SUSPECTS_LIMIT: usize = 64;
/// Time before the end of what is known of a relay at which peers are asked again.
const RELAY_REFRESH: Duration = Duration::from_secs(15);
/// Ticks between two checks for records of targets that are gone.
const TICKS_PER_CLEANUP: u32 = 100;
/// Maximum number of peers that a search asks about one target.
const CANDIDATES_LIMIT: usize = 6;
/// Number of peers that are asked at once whether they reach a target.
const PEERS_AT_ONCE: usize = 3;
/// Time that an answer of a peer may take on top of the connection that it may have to make.
const ASK_MARGIN: Duration = Duration::from_millis(150);

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
    paths: RefCell<Paths>,
    /// Pools of the targets whose paths have been down.
    pools: RefCell<IndexMap<TargetInstance, PoolId>>,
    /// Targets that a probe is under way to.
    probing: RefCell<IndexSet<TargetInstance>>,
    relays: RefCell<IndexMap<VmId, RelayPeer>>,
    /// Targets that peers are being asked about.
    searching: RefCell<IndexSet<TargetInstance>>,
}

/// A request in progress over an own connection.
pub struct Running {
    daemon: Rc<Daemon>,
    target: TargetInstance,
}

impl Running {
    /// Counts a request that begins.
    #[must_use]
    pub fn new(daemon: &Rc<Daemon>, target: &TargetInstance) -> Self {
        let now = Instant::now();
        daemon
            .paths
            .paths
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
        paths.paths.borrow_mut().record_heard(&self.target, now);
    }

    /// Returns `true` if the answer can't arrive: the target is well, and this daemon's path to it is
    /// down.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        let paths = self.daemon.paths.paths.borrow();
        paths.is_cut(&self.target, Instant::now())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let paths = &self.daemon.paths;
        paths
            .paths
            .borrow_mut()
            .record_running(&self.target, false, Instant::now());
    }
}

impl TargetPaths {
    /// Returns `true` if new connections to the target fail.
    #[must_use]
    pub fn is_down(&self, target: &TargetInstance) -> bool {
        self.paths.borrow().is_down(target)
    }

    /// Returns `true` if kept connections may still work although new ones fail.
    #[must_use]
    pub fn keeps_working(&self, target: &TargetInstance) -> bool {
        self.paths.borrow().keeps_working(target)
    }

    /// Routes that differ from a direct one.
    #[must_use]
    pub fn routes(&self) -> IndexMap<TargetInstance, Route> {
        let now = Instant::now();
        let paths = self.paths.borrow();
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
        self.paths
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
        let paths = self.paths.borrow();
        paths.is_heard_within(target, limit, Instant::now())
    }
}

/// Waits until the peers have been asked, and returns one that reaches the target.
pub async fn until_relay(
    daemon: &Rc<Daemon>,
    pool: &PoolId,
    target: &TargetInstance,
) -> Option<(VmId, SocketAddr)> {
    let paths = &daemon.paths;
    loop {
        let listener = paths.changed.listen();
        let now = Instant::now();
        let relay = paths.paths.borrow().relay(target, now);
        if let Some(vm) = relay {
            let address = paths.relays.borrow().get(&vm).map(|peer| peer.address);
            return address.map(|address| (vm, address));
        }
        if paths.paths.borrow().needs_search(target, now) {
            start_search(daemon, pool, target);
        }
        if !paths.searching.borrow().contains(target) {
            return None;
        }
        listener.await;
    }
}

/// Drops what is known of relays that are no longer alive.
pub fn members_changed(daemon: &Daemon) {
    let is_alive = |vm: &VmId| {
        let member = daemon.membership.find(vm);
        member.is_some_and(|member| member.state != State::Dead)
    };
    let paths = &daemon.paths;
    paths.paths.borrow_mut().retain_peers(is_alive);
    paths.relays.borrow_mut().retain(|vm, _| is_alive(vm));
    paths.changed.notify(usize::MAX);
    paths.apply(daemon);
}

/// Records that a connection to a target was made.
pub fn record_connected(daemon: &Rc<Daemon>, target: &TargetInstance) {
    let paths = &daemon.paths;
    let after = paths
        .paths
        .borrow_mut()
        .record_connected(target, Instant::now());
    let Some(after) = after else {
        return;
    };
    log::info!(after_ms = after.as_millis() as u64, target = target.id; "the path to a target works again");
    paths.changed.notify(usize::MAX);
    paths.apply(daemon);
    probe_all(daemon, paths.paths.borrow().down());
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
    let is_first = paths.paths.borrow_mut().record_unconnected(&instance, now);
    if !is_first {
        return;
    }
    log::warn!(target = instance.id, why:% = why; "the path to a target is down");
    paths
        .pools
        .borrow_mut()
        .insert(instance.clone(), pool.clone());
    start_search(daemon, pool, &instance);
    paths.apply(daemon);
    if paths.paths.borrow().down().len() >= SUSPICIOUS_COUNT {
        probe_unheard(daemon);
    }
}

/// Opens a connection to a target and keeps it for the next request. Returns `true` if it could be
/// made.
pub async fn probe(daemon: &Rc<Daemon>, pool: &PoolId, target: &Target) -> bool {
    let instance = TargetInstance::of(target);
    let paths = &daemon.paths;
    paths
        .paths
        .borrow_mut()
        .record_probe(&instance, Instant::now());
    let connect = daemon.bounds().connect;
    match daemon.client.open_idle(&target.address, connect).await {
        Ok(()) => {
            record_connected(daemon, &instance);
            true
        }
        Err(e) => {
            record_unconnected(daemon, pool, target, &e);
            false
        }
    }
}

/// Answers a peer that asks whether this daemon reaches a target.
pub async fn answer(daemon: &Rc<Daemon>, req: &PathRequest) -> PathReply {
    let reaches = match sendable::check(daemon, &req.pool, &req.target) {
        Err(_) => false,
        Ok(_) if daemon.paths.is_down(&req.target) => false,
        Ok(_) if daemon.paths.is_heard_within(&req.target, req.heard_within) => true,
        Ok(target) => probe(daemon, &req.pool, &target).await,
    };
    let relay = daemon
        .cfg
        .relay
        .filter(|_| reaches && !daemon.refusing.get());
    PathReply {
        data_centre: daemon.cfg.data_centre.clone(),
        relay,
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
        let paths = daemon.paths.paths.borrow();
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
        if let Some(target) = due.iter().find(|target| needs_relay(&daemon, target)) {
            search_again(&daemon, target);
        }
        // Whether an answer is cut depends on the time for which its path has been down.
        if !daemon.paths.routes().is_empty() {
            daemon.paths.changed.notify(usize::MAX);
        }
        probe_all(&daemon, due);
        daemon.paths.apply(&daemon);
    }
}

/// Drops the records of targets that are no longer listed.
fn retain_listed(daemon: &Daemon) {
    let paths = &daemon.paths;
    let mut pools = paths.pools.borrow_mut();
    pools.retain(|target, pool| daemon.target(pool, target).is_some());
    let mut known = paths.paths.borrow_mut();
    known.retain(|target| pools.contains_key(target) || is_listed(daemon, target));
}

fn is_listed(daemon: &Daemon, target: &TargetInstance) -> bool {
    let Ok(in_force) = daemon.in_force() else {
        return false;
    };
    let mut pools = in_force.document.pools.iter();
    pools.any(|pool| daemon.target(&pool.id, target).is_some())
}

/// Returns `true` if the path to a target is down and no peer has lately reached it.
fn needs_relay(daemon: &Daemon, target: &TargetInstance) -> bool {
    let paths = daemon.paths.paths.borrow();
    let refresh_at = Instant::now() + RELAY_REFRESH;
    paths.is_down(target) && paths.relay(target, refresh_at).is_none()
}

/// Asks one peer about a target: the present relay, or another one if there is none.
fn search_again(daemon: &Rc<Daemon>, target: &TargetInstance) {
    let pool = daemon.paths.pools.borrow().get(target).cloned();
    let relay = daemon.paths.paths.borrow().relay(target, Instant::now());
    let peer = relay.or_else(|| candidates(daemon, target).into_iter().next());
    let (Some(pool), Some(peer)) = (pool, peer) else {
        return;
    };
    let (daemon, target) = (Rc::clone(daemon), target.clone());
    monoio::spawn(async move {
        ask(&daemon, &peer, &pool, &target, RECENT).await;
        daemon.paths.apply(&daemon);
    });
}

/// Probes targets of this daemon's list from which nothing has come lately.
fn probe_unheard(daemon: &Rc<Daemon>) {
    let listed = server::sendable_targets(daemon);
    let unheard = listed.into_iter().filter(|(_, target)| {
        let instance = TargetInstance::of(target);
        !daemon.paths.is_down(&instance) && !daemon.paths.is_heard_within(&instance, RECENT)
    });
    for (pool, target) in unheard.take(SUSPECTS_LIMIT) {
        spawn_probe(daemon, pool, target);
    }
}

fn probe_all(daemon: &Rc<Daemon>, targets: Vec<TargetInstance>) {
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
    monoio::spawn(async move {
        probe(&daemon, &pool, &target).await;
        daemon.paths.probing.borrow_mut().swap_remove(&instance);
    });
}

fn start_search(daemon: &Rc<Daemon>, pool: &PoolId, target: &TargetInstance) {
    if !daemon.paths.searching.borrow_mut().insert(target.clone()) {
        return;
    }
    let (daemon, pool, target) = (Rc::clone(daemon), pool.clone(), target.clone());
    monoio::spawn(async move {
        search(&daemon, &pool, &target).await;
        let paths = &daemon.paths;
        paths.searching.borrow_mut().swap_remove(&target);
        paths.paths.borrow_mut().record_searched(&target);
        paths.changed.notify(usize::MAX);
        paths.apply(&daemon);
    });
}

/// Asks peers until one reaches the target or all candidates have been asked.
async fn search(daemon: &Rc<Daemon>, pool: &PoolId, target: &TargetInstance) {
    for asked in candidates(daemon, target).chunks(PEERS_AT_ONCE) {
        let mut asked: FuturesUnordered<_> = asked
            .iter()
            .map(|vm| ask(daemon, vm, pool, target, RECENT))
            .collect();
        while let Some(reaches) = asked.next().await {
            if reaches {
                return;
            }
        }
    }
}

/// Returns `true` if a peer can connect to a target now.
pub async fn is_reached_by_peer(
    daemon: &Rc<Daemon>,
    pool: &PoolId,
    target: &TargetInstance,
) -> bool {
    let candidates = candidates(daemon, target);
    let asked = candidates.iter().take(PEERS_AT_ONCE);
    let asked = asked.map(|vm| ask(daemon, vm, pool, target, Duration::ZERO));
    future::join_all(asked).await.contains(&true)
}

/// A sample of the peers that may reach the target, known relays of this data centre first.
fn candidates(daemon: &Daemon, target: &TargetInstance) -> Vec<VmId> {
    let live = daemon.membership.live();
    let relays = daemon.paths.relays.borrow();
    let is_near = |vm: &VmId| {
        let relay = relays.get(vm);
        relay.is_some_and(|relay| relay.data_centre == daemon.cfg.data_centre)
    };
    let others = live.members.iter().map(|member| &member.vm);
    let others = others.filter(|vm| **vm != daemon.cfg.vm);
    let (near, others): (Vec<_>, Vec<_>) = others.partition(|vm| is_near(vm));
    let mut rng = rand::rng();
    let mut sampled = near.into_iter().sample(&mut rng, CANDIDATES_LIMIT / 2);
    let rest = CANDIDATES_LIMIT - sampled.len();
    sampled.extend(others.into_iter().sample(&mut rng, rest));
    let sampled = sampled.into_iter().cloned().collect();
    let paths = daemon.paths.paths.borrow();
    paths.candidates(target, sampled, Instant::now())
}

/// Asks a peer whether it reaches a target.
async fn ask(
    daemon: &Rc<Daemon>,
    vm: &VmId,
    pool: &PoolId,
    target: &TargetInstance,
    heard_within: Duration,
) -> bool {
    let req = PathRequest {
        heard_within,
        pool: pool.clone(),
        target: target.clone(),
    };
    let limit = daemon.bounds().connect + ASK_MARGIN;
    let reply = monoio::time::timeout(limit, daemon.peers.call(vm, req)).await;
    let reply: Option<PathReply> = reply.ok().and_then(Result::ok);
    let relay = reply.and_then(|reply| {
        Some(RelayPeer {
            address: reply.relay?,
            data_centre: reply.data_centre,
        })
    });
    let reaches = relay.is_some();
    if let Some(relay) = relay {
        daemon.paths.relays.borrow_mut().insert(vm.clone(), relay);
    }
    let paths = &daemon.paths.paths;
    paths
        .borrow_mut()
        .record_peer(target, vm, reaches, Instant::now());
    daemon.paths.changed.notify(usize::MAX);
    reaches
}
