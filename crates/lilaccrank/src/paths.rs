//! Which targets a daemon reaches, directly or through other daemons.
//!
//! A connection that fails is evidence about the path between one daemon and one target. Only if the
//! daemons that were asked can't reach the target either, it counts as unreachable.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::VmId;
use crate::target_instance::TargetInstance;

/// Time for which a peer that can't reach a target is not asked again.
const PEER_FAILURE_TTL: Duration = Duration::from_secs(1);
/// Time without output, and for which the path has been down, after which answers in progress are given
/// up. A path on which packets are lost is back within it.
const CUT_AGE: Duration = Duration::from_millis(500);
/// Time for which a peer that reaches a target is used without asking it again.
const PEER_SUCCESS_TTL: Duration = Duration::from_secs(20);

/// How requests get to a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// Over this daemon's own connections.
    #[default]
    Direct,
    /// Through another daemon.
    Relayed,
    /// Neither this daemon nor one that it asked reaches the target.
    Unreachable,
}

/// What a peer said about its path to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerPath {
    Fails(Instant),
    Reaches(Instant),
}

/// Path to one target.
#[derive(Debug, Default)]
struct Path {
    /// When new connections began to fail; `None` while they work.
    down_since: Option<Instant>,
    /// Last time that anything came from the target over an own connection.
    heard_at: Option<Instant>,
    peers: IndexMap<VmId, PeerPath>,
    probed_at: Option<Instant>,
    /// Number of own requests in progress there.
    running: usize,
    /// When the first of these requests began.
    running_since: Option<Instant>,
    /// Set once the peers have been asked since the path went down.
    searched: bool,
}

impl Path {
    fn relay(&self, now: Instant) -> Option<&VmId> {
        let verified = self.peers.iter().filter_map(|(vm, path)| match path {
            PeerPath::Reaches(at) if age(*at, now) < PEER_SUCCESS_TTL => Some((*at, vm)),
            _ => None,
        });
        let (_, vm) = verified.max()?;
        Some(vm)
    }

    /// Time since which nothing has come for the requests in progress; `None` without any.
    fn silent_since(&self) -> Option<Instant> {
        let running_since = self.running_since?;
        self.heard_at.max(Some(running_since))
    }

    /// Returns `true` if something came from the target after new connections had begun to fail.
    fn outlives_failure(&self) -> bool {
        self.heard_at > self.down_since
    }
}

/// Paths of one daemon to its targets. Targets without a record are assumed to be reachable.
#[derive(Debug, Default)]
pub struct Paths {
    paths: IndexMap<TargetInstance, Path>,
}

impl Paths {
    /// Records that a connection was made. Returns for how long none could be made before.
    pub fn record_connected(&mut self, target: &TargetInstance, now: Instant) -> Option<Duration> {
        let path = self.path(target);
        path.heard_at = Some(now);
        path.peers.clear();
        path.searched = false;
        let since = path.down_since.take()?;
        Some(age(since, now))
    }

    /// Records that a connection could not be made. Returns `true` if it is the first failure.
    pub fn record_unconnected(&mut self, target: &TargetInstance, now: Instant) -> bool {
        let path = self.path(target);
        let is_first = path.down_since.is_none();
        path.down_since.get_or_insert(now);
        is_first
    }

    /// Records that something came from the target over an own connection.
    pub fn record_heard(&mut self, target: &TargetInstance, now: Instant) {
        self.path(target).heard_at = Some(now);
    }

    /// Records whether a peer reaches the target.
    pub fn record_peer(&mut self, target: &TargetInstance, vm: &VmId, reaches: bool, now: Instant) {
        let peer = match reaches {
            true => PeerPath::Reaches(now),
            false => PeerPath::Fails(now),
        };
        self.path(target).peers.insert(vm.clone(), peer);
    }

    /// Records that the peers have been asked since the path went down.
    pub fn record_searched(&mut self, target: &TargetInstance) {
        self.path(target).searched = true;
    }

    /// Drops what peers said that are no longer alive. Targets that lose their relay by this may have
    /// another one.
    pub fn retain_peers(&mut self, is_alive: impl Fn(&VmId) -> bool) {
        for path in self.paths.values_mut() {
            let had_relay = path
                .peers
                .iter()
                .any(|(vm, peer)| matches!(peer, PeerPath::Reaches(_)) && !is_alive(vm));
            path.peers.retain(|vm, _| is_alive(vm));
            path.searched &= !had_relay;
        }
    }

    /// Returns `true` if the peers have not been asked since the path went down or lost its relay.
    #[must_use]
    pub fn needs_search(&self, target: &TargetInstance, now: Instant) -> bool {
        self.paths.get(target).is_some_and(|path| {
            path.down_since.is_some() && path.relay(now).is_none() && !path.searched
        })
    }

    /// Counts a request that begins or ends on an own connection.
    pub fn record_running(&mut self, target: &TargetInstance, begins: bool, now: Instant) {
        let path = self.path(target);
        if begins {
            path.running += 1;
            path.running_since.get_or_insert(now);
        } else {
            path.running = path.running.saturating_sub(1);
        }
        if path.running == 0 {
            path.running_since = None;
        }
    }

    /// Records that a probe begins.
    pub fn record_probe(&mut self, target: &TargetInstance, now: Instant) {
        self.path(target).probed_at = Some(now);
    }

    /// Returns `true` if new connections to the target fail.
    #[must_use]
    pub fn is_down(&self, target: &TargetInstance) -> bool {
        self.paths
            .get(target)
            .is_some_and(|path| path.down_since.is_some())
    }

    /// Returns `true` if kept connections may still work although new ones fail.
    #[must_use]
    pub fn keeps_working(&self, target: &TargetInstance) -> bool {
        self.paths.get(target).is_some_and(Path::outlives_failure)
    }

    /// Returns `true` if the target is known to be well while this daemon hears nothing from it. An
    /// answer that is in progress there will not arrive before the path is back.
    #[must_use]
    pub fn is_cut(&self, target: &TargetInstance, now: Instant) -> bool {
        self.paths.get(target).is_some_and(|path| {
            let is_down = path.down_since.is_some_and(|at| age(at, now) >= CUT_AGE);
            let is_silent = path
                .silent_since()
                .is_some_and(|at| age(at, now) >= CUT_AGE);
            is_down && is_silent && !path.outlives_failure() && path.relay(now).is_some()
        })
    }

    /// Returns `true` if something came from the target within this time.
    #[must_use]
    pub fn is_heard_within(&self, target: &TargetInstance, limit: Duration, now: Instant) -> bool {
        let heard_at = self.paths.get(target).and_then(|path| path.heard_at);
        heard_at.is_some_and(|at| age(at, now) < limit)
    }

    /// Returns a peer that has lately reached the target.
    #[must_use]
    pub fn relay(&self, target: &TargetInstance, now: Instant) -> Option<VmId> {
        self.paths.get(target)?.relay(now).cloned()
    }

    /// Sorts peers by how likely they reach the target, and leaves out those that have just failed.
    /// A peer that fails to reach many targets has probably lost its own links.
    #[must_use]
    pub fn candidates(&self, target: &TargetInstance, peers: Vec<VmId>, now: Instant) -> Vec<VmId> {
        let fails = |path: &Path, vm: &VmId| match path.peers.get(vm) {
            Some(PeerPath::Fails(at)) => age(*at, now) < PEER_FAILURE_TTL,
            _ => false,
        };
        let failures = |vm: &VmId| self.paths.values().filter(|path| fails(path, vm)).count();
        let known = self.paths.get(target);
        let mut candidates = peers;
        candidates.retain(|vm| known.is_none_or(|path| !fails(path, vm)));
        candidates.sort_by_cached_key(failures);
        candidates
    }

    /// Returns how requests get to the target.
    #[must_use]
    pub fn route(&self, target: &TargetInstance, now: Instant) -> Route {
        match self.paths.get(target) {
            Some(path) if path.down_since.is_none() => Route::Direct,
            Some(path) if path.relay(now).is_some() || !path.searched => Route::Relayed,
            Some(path) if path.outlives_failure() => Route::Direct,
            Some(_) => Route::Unreachable,
            None => Route::Direct,
        }
    }

    /// Targets that new connections to fail, the one first whose last probe is longest ago.
    #[must_use]
    pub fn down(&self) -> Vec<TargetInstance> {
        let down = self.paths.iter();
        let down = down.filter(|(_, path)| path.down_since.is_some());
        let mut down: Vec<_> = down
            .map(|(target, path)| (path.probed_at, target))
            .collect();
        down.sort();
        down.into_iter().map(|(_, target)| target.clone()).collect()
    }

    /// Returns `true` if the last probe of the target is longer ago than `interval`.
    #[must_use]
    pub fn is_probe_due(&self, target: &TargetInstance, interval: Duration, now: Instant) -> bool {
        let probed_at = self.paths.get(target).and_then(|path| path.probed_at);
        probed_at.is_none_or(|at| age(at, now) >= interval)
    }

    /// Targets with requests in progress from which nothing has come for this time.
    #[must_use]
    pub fn silent(&self, limit: Duration, now: Instant) -> Vec<TargetInstance> {
        let silent = self.paths.iter().filter(|(_, path)| {
            let since = path.silent_since();
            since.is_some_and(|at| age(at, now) >= limit)
        });
        silent.map(|(target, _)| target.clone()).collect()
    }

    /// Drops the records of targets that are gone, unless requests are in progress there.
    pub fn retain(&mut self, is_known: impl Fn(&TargetInstance) -> bool) {
        self.paths
            .retain(|target, path| path.running > 0 || is_known(target));
    }

    fn path(&mut self, target: &TargetInstance) -> &mut Path {
        if !self.paths.contains_key(target) {
            self.paths.insert(target.clone(), Path::default());
        }
        &mut self.paths[target]
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
