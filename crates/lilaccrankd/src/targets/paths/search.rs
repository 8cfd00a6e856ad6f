//! Search for peers that reach a target, and the answers to peers that search.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future;
use futures::stream::FuturesUnordered;
use lilaccrank::ids::{PoolId, VmId};
use lilaccrank::peers::Peers;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::runtime;
use lilaccrank_http::timeout;
use rand::seq::IteratorRandom;

use crate::daemon::Daemon;
use crate::peers::message::{PathReply, PathRequest};
use crate::targets::paths::probes;
use crate::targets::sendable;

/// Time before the end of what is known of a relay at which peers are asked again.
const RELAY_REFRESH: Duration = Duration::from_secs(15);
/// Maximum number of peers that a search asks about one target.
const CANDIDATES_LIMIT: usize = 6;
/// Number of peers that are asked at once whether they reach a target.
const PEERS_AT_ONCE: usize = 3;
/// Time that an answer of a peer may take on top of the connection that it may have to make.
const ASK_MARGIN: Duration = Duration::from_millis(150);

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
        let relay = paths.records.borrow().relay(target, now);
        if let Some(vm) = relay {
            let address = paths.relays.borrow().get(&vm).map(|peer| peer.address);
            return address.map(|address| (vm, address));
        }
        if paths.records.borrow().needs_search(target, now) {
            start(daemon, pool, target);
        }
        if !paths.searching.borrow().contains(target) {
            return None;
        }
        listener.await;
    }
}

/// Answers a peer that asks whether this daemon reaches a target.
pub async fn answer(daemon: &Rc<Daemon>, req: &PathRequest) -> PathReply {
    let reaches = match sendable::check(daemon, &req.pool, &req.target) {
        Err(_) => false,
        Ok(_) if daemon.paths.is_down(&req.target) => false,
        Ok(_) if daemon.paths.is_heard_within(&req.target, req.heard_within) => true,
        Ok(target) => probes::probe(daemon, &req.pool, &target).await,
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

/// Returns `true` if the path to a target is down and no peer has lately reached it.
pub(super) fn needs_relay(daemon: &Daemon, target: &TargetInstance) -> bool {
    let paths = daemon.paths.records.borrow();
    let refresh_at = Instant::now() + RELAY_REFRESH;
    paths.is_down(target) && paths.relay(target, refresh_at).is_none()
}

/// Asks one peer about a target: the present relay, or another one if there is none.
pub(super) fn search_again(daemon: &Rc<Daemon>, target: &TargetInstance) {
    let pool = daemon.paths.pools.borrow().get(target).cloned();
    let relay = daemon.paths.records.borrow().relay(target, Instant::now());
    let peer = relay.or_else(|| candidates(daemon, target).into_iter().next());
    let (Some(pool), Some(peer)) = (pool, peer) else {
        return;
    };
    let (daemon, target) = (Rc::clone(daemon), target.clone());
    runtime::spawn(async move {
        ask(&daemon, &peer, &pool, &target, super::RECENT).await;
        daemon.paths.apply(&daemon);
    });
}

pub(super) fn start(daemon: &Rc<Daemon>, pool: &PoolId, target: &TargetInstance) {
    if !daemon.paths.searching.borrow_mut().insert(target.clone()) {
        return;
    }
    let (daemon, pool, target) = (Rc::clone(daemon), pool.clone(), target.clone());
    runtime::spawn(async move {
        search(&daemon, &pool, &target).await;
        let paths = &daemon.paths;
        paths.searching.borrow_mut().swap_remove(&target);
        paths.records.borrow_mut().record_searched(&target);
        paths.changed.notify(usize::MAX);
        paths.apply(&daemon);
    });
}

/// Asks peers until one reaches the target or all candidates have been asked.
async fn search(daemon: &Rc<Daemon>, pool: &PoolId, target: &TargetInstance) {
    for asked in candidates(daemon, target).chunks(PEERS_AT_ONCE) {
        let mut asked: FuturesUnordered<_> = asked
            .iter()
            .map(|vm| ask(daemon, vm, pool, target, super::RECENT))
            .collect();
        while let Some(reaches) = asked.next().await {
            if reaches {
                return;
            }
        }
    }
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
    let paths = daemon.paths.records.borrow();
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
    let reply = timeout::timeout(limit, daemon.peers.call(vm, req)).await;
    let reply: Option<PathReply> = reply.ok().and_then(Result::ok);
    let relay = reply.and_then(|reply| {
        Some(super::RelayPeer {
            address: reply.relay?,
            data_centre: reply.data_centre,
        })
    });
    let reaches = relay.is_some();
    if let Some(relay) = relay {
        daemon.paths.relays.borrow_mut().insert(vm.clone(), relay);
    }
    let paths = &daemon.paths.records;
    paths
        .borrow_mut()
        .record_peer(target, vm, reaches, Instant::now());
    daemon.paths.changed.notify(usize::MAX);
    reaches
}
