//! Load digests exchanged by daemons that each dispatch their own requests to a pool.
//!
//! A digest contains recent changes, and every quarter of a second the sender's complete load, so
//! that a lost digest costs only a short delay. Samples of target speed and health are sent once;
//! with them, every daemon's estimates of a target are as good as if it had sent all requests
//! itself.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::queue::Priority;
use super::state::State;
use super::target::{PeerWaiter, Target};
use super::work::Work;
use crate::ids::{TargetId, VmId};
use crate::rendezvous;
use crate::target_instance::InstanceDigest;

mod sample;

pub use sample::{Observation, Sample};

/// Time without digests after which a peer's load is dropped: its connections have ended, or it is
/// partitioned together with its targets. Digests are sent at least four times per second.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum interval between two complete digests.
const FULL_DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Number of digests that repeat a change. On a bad link one datagram in 40 is lost, so all three
/// are lost once in 64,000 times; the next complete digest makes up for that.
const CHANGE_REPEATS: u8 = 3;
/// Maximum duration in a peer's sample, enough for a prompt that takes an hour. A longer one must
/// be invalid, and would exclude a healthy target permanently.
const MAX_SAMPLE_DURATION: Duration = Duration::from_secs(3_600);
/// Maximum number of samples per digest; more would hardly improve the estimates.
const SAMPLES_LIMIT: usize = 64;
/// Number of free slots up to which a change on a target is sent at once. With more free slots, two
/// daemons with outdated digests may choose the same target and both find a slot.
const LOW_FREE_SLOTS: u32 = 2;
/// Prefill backlog above which a change on a target is sent at once, in seconds: half of the
/// backlog limit of the last tier.
const LOW_PREFILL_BACKLOG_S: f64 = 0.03;

/// Load of one daemon on the targets of a pool.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Load of the daemon by target.
    pub loads: Vec<TargetLoad>,
    /// Samples since the last digest.
    pub samples: Vec<Sample>,
    /// Cumulative number of requests sent to each target with a rate limit.
    pub sent: Vec<(InstanceDigest, u32)>,
    /// Priority of the first waiting submission that would use any free slot.
    pub waiting: Option<Priority>,
    /// If set, targets that are left out have no load; otherwise their load is unchanged.
    pub whole: bool,
}

/// Load of one daemon on one target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Outstanding prefill tokens.
    pub prefill: u64,
    /// Number of running requests.
    pub running: u32,
    /// Digest of the target.
    pub target: InstanceDigest,
}

/// Load of the other daemons, and the state that was last sent to them.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    /// Set if a change since the last digest affects where other daemons send requests.
    has_urgent_change: bool,
    peers: IndexMap<VmId, Peer>,
    samples: Vec<Sample>,
    announced: IndexMap<InstanceDigest, Announced>,
    announced_waiting: Option<Priority>,
    last_full_digest: Option<Instant>,
}

#[derive(Debug)]
struct Peer {
    last_digest: Instant,
    loads: IndexMap<InstanceDigest, TargetLoad>,
    sent: IndexMap<InstanceDigest, u32>,
    waiting: Option<Priority>,
}

/// Load on one target as last sent.
#[derive(Clone, Copy, Debug)]
struct Announced {
    load: TargetLoad,
    /// Number of digests that included it.
    send_count: u8,
}

impl Peer {
    /// Returns the requests sent since the last digest; the first count of a target is only a
    /// baseline.
    fn apply_sent(&mut self, sent: &[(InstanceDigest, u32)]) -> Vec<(InstanceDigest, u32)> {
        let new = sent.iter().filter_map(|(target, count)| {
            let before = self.sent.insert(*target, *count)?;
            let new = count.checked_sub(before).unwrap_or(*count);
            (new > 0).then_some((*target, new))
        });
        let new = new.collect();
        self.sent
            .retain(|target, _| sent.iter().any(|(of, _)| of == target));
        new
    }

    /// Returns the targets at which requests have ended, with their number.
    fn apply(&mut self, digest: Digest, now: Instant) -> Vec<(InstanceDigest, u32)> {
        let before = self.loads.clone();
        self.last_digest = now;
        self.waiting = digest.waiting;
        if digest.whole {
            self.loads.clear();
        }
        for load in digest.loads {
            if load.running == 0 {
                self.loads.swap_remove(&load.target);
            } else {
                self.loads.insert(load.target, load);
            }
        }
        let running = |target| self.loads.get(target).map_or(0, |load| load.running);
        let ended = before.iter().map(|(target, load)| {
            let ended = load.running.saturating_sub(running(target));
            (*target, ended)
        });
        ended.filter(|(_, ended)| *ended > 0).collect()
    }
}

impl Sharing {
    /// Adds a sample to the next digest.
    pub(super) fn record(&mut self, target: InstanceDigest, observation: Observation) {
        if self.samples.len() < SAMPLES_LIMIT {
            self.samples.push(Sample {
                observation,
                target,
            });
        }
    }

    /// Moves the times of the last digests.
    pub(super) fn move_digests(&mut self, later: impl Fn(Instant) -> Instant) {
        for peer in self.peers.values_mut() {
            peer.last_digest = later(peer.last_digest);
        }
    }

    /// First waiting submission of the other daemons that competes with `me` for a target.
    fn peer_waiter(&self, me: &VmId, target: &TargetId) -> Option<PeerWaiter> {
        let waiting = self.peers.iter();
        let waiting = waiting.filter_map(|(vm, peer)| Some((peer.waiting?, vm)));
        let priority = waiting.clone().map(|(priority, _)| priority).min()?;
        let own = rendezvous::weight(target, me);
        let mut equals = waiting.filter(|(other, _)| *other == priority);
        Some(PeerWaiter {
            wins_ties: equals.any(|(_, vm)| rendezvous::weight(target, vm) > own),
            priority,
        })
    }

    /// Combined load of all peers by target.
    fn totals(&self) -> IndexMap<InstanceDigest, (u32, Work)> {
        let mut totals: IndexMap<InstanceDigest, (u32, Work)> = IndexMap::new();
        for load in self.peers.values().flat_map(|peer| peer.loads.values()) {
            let total = totals.entry(load.target).or_default();
            total.0 = total.0.saturating_add(load.running);
            total.1 += Work {
                decode: 0,
                prefill: load.prefill,
            };
        }
        totals
    }

    /// Selects the loads for a digest: all of them if `whole` is set, otherwise recent changes.
    fn loads_to_send(
        &mut self,
        loads: impl Iterator<Item = TargetLoad>,
        whole: bool,
    ) -> Vec<TargetLoad> {
        let mut before = std::mem::take(&mut self.announced);
        for load in loads {
            let announced = before.swap_remove(&load.target);
            let announced = announced.filter(|announced| announced.load == load);
            let announced = announced.unwrap_or(Announced {
                load,
                send_count: 0,
            });
            self.announced.insert(load.target, announced);
        }
        // These targets have no load any more.
        for (target, announced) in before {
            let load = TargetLoad {
                prefill: 0,
                running: 0,
                target,
            };
            let send_count = if announced.load == load {
                announced.send_count
            } else {
                0
            };
            if send_count < CHANGE_REPEATS {
                self.announced
                    .insert(target, Announced { load, send_count });
            }
        }
        let mut to_send = Vec::new();
        for announced in self.announced.values_mut() {
            if announced.send_count < CHANGE_REPEATS || (whole && announced.load.running > 0) {
                announced.send_count = announced.send_count.saturating_add(1);
                to_send.push(announced.load);
            }
        }
        to_send
    }
}

impl State {
    /// Builds the digest of this daemon's load for its peers.
    pub(super) fn digest(&mut self, now: Instant) -> Digest {
        let targets = self.targets.values();
        let loads = targets.filter(|target| target.estimate.running() > 0);
        let loads = loads.map(|target| TargetLoad {
            prefill: target.estimate.own_outstanding().prefill,
            running: target.estimate.running(),
            target: target.digest,
        });
        let limited = self.targets.values();
        let limited = limited.filter(|target| target.rate_limit.is_some());
        let sent = limited.map(|target| (target.digest, target.sent)).collect();
        let age = |at: Instant| now.saturating_duration_since(at);
        let sharing = &mut self.sharing;
        let whole = sharing
            .last_full_digest
            .is_none_or(|at| age(at) >= FULL_DIGEST_INTERVAL);
        if whole {
            sharing.last_full_digest = Some(now);
        }
        sharing.has_urgent_change = false;
        sharing.announced_waiting = self.queue.first_competing_priority();
        Digest {
            loads: sharing.loads_to_send(loads, whole),
            samples: std::mem::take(&mut sharing.samples),
            sent,
            waiting: sharing.announced_waiting,
            whole,
        }
    }

    /// Returns `true` if a change since the last digest affects where other daemons send requests:
    /// on a nearly full target, or in the first priority that waits.
    pub(super) fn has_urgent_changes(&self) -> bool {
        self.sharing.has_urgent_change
            || self.sharing.announced_waiting != self.queue.first_competing_priority()
    }

    /// Records that the load on a target is about to change or has changed.
    pub(super) fn note_load_change(sharing: &mut Sharing, target: &Target, now: Instant) {
        let is_urgent = target.rate_limit.is_some() || target.unanswered.is_silent();
        sharing.has_urgent_change |= is_urgent || is_nearly_full(target, now);
    }

    /// Applies the digest of another daemon.
    pub(super) fn apply_digest(&mut self, from: &VmId, digest: Digest, now: Instant) {
        let mut counted: IndexMap<InstanceDigest, u32> = IndexMap::new();
        for sample in &digest.samples {
            if self.apply_sample(from, sample, now) {
                *counted.entry(sample.target).or_default() += 1;
            }
        }
        let is_new = !self.sharing.peers.contains_key(from);
        let peer = self.sharing.peers.entry(from.clone());
        let peer = peer.or_insert_with(|| Peer {
            last_digest: now,
            loads: IndexMap::new(),
            sent: IndexMap::new(),
            waiting: None,
        });
        let sent = peer.apply_sent(&digest.sent);
        let samples = digest.samples.iter();
        let answers = samples.filter(|sample| sample.observation.is_sign_of_life());
        let answered: IndexSet<InstanceDigest> = answers.map(|sample| sample.target).collect();
        let ended = peer.apply(digest, now).into_iter();
        for (target, requests) in ended.filter(|(of, _)| !answered.contains(of)) {
            let counted = counted.get(&target).copied().unwrap_or_default();
            let mut targets = self.targets.values_mut();
            if let Some(target) = targets.find(|known| known.digest == target) {
                let uncounted = requests.saturating_sub(counted);
                target.unanswered.record_abandoned(uncounted);
            }
        }
        for (target, requests) in sent {
            let mut targets = self.targets.values_mut();
            if let Some(target) = targets.find(|known| known.digest == target) {
                target.sent_by_peer(requests, now);
            }
        }
        if is_new {
            self.set_turns();
        }
        self.apply_peer_loads(now);
        self.note_capacity_change();
        self.dispatch(now);
    }

    /// Sets this daemon's turn at trials of each target, by a rendezvous hash over the cell.
    pub(super) fn set_turns(&mut self) {
        let me = &self.cfg.vm;
        for target in self.targets.values_mut() {
            let id = &target.instance.id;
            let own = rendezvous::weight(id, me);
            let peers = self.sharing.peers.keys();
            let earlier = peers.filter(|vm| rendezvous::weight(id, vm) > own).count();
            target
                .unanswered
                .set_turn(u32::try_from(earlier).unwrap_or(u32::MAX));
        }
    }

    /// Removes peers that have sent no digest for too long.
    pub(super) fn expire_peers(&mut self, now: Instant) {
        let before = self.sharing.peers.len();
        let is_alive = |peer: &Peer| now.saturating_duration_since(peer.last_digest) < PEER_TIMEOUT;
        self.sharing.peers.retain(|_, peer| is_alive(peer));
        if self.sharing.peers.len() < before {
            self.set_turns();
            self.apply_peer_loads(now);
            self.note_capacity_change();
        }
    }

    fn apply_peer_loads(&mut self, now: Instant) {
        let totals = self.sharing.totals();
        for target in self.targets.values_mut() {
            let (running, work) = totals.get(&target.digest).copied().unwrap_or_default();
            if target.rate_limit.is_some() {
                target.peer_waiter = self.sharing.peer_waiter(&self.cfg.vm, &target.instance.id);
            }
            if target.estimate.set_peer_load(running, work) {
                let peer_waiter = self.sharing.peer_waiter(&self.cfg.vm, &target.instance.id);
                target.freed_by_peer(peer_waiter, now);
            }
        }
    }

    /// Applies what another daemon has observed. Returns `true` if it counts a request as unanswered.
    fn apply_sample(&mut self, from: &VmId, sample: &Sample, now: Instant) -> bool {
        let mut targets = self.targets.values_mut();
        let Some(target) = targets.find(|target| target.digest == sample.target) else {
            return false;
        };
        if sample.observation.is_sign_of_life() && target.unanswered.may_predate_end(now) {
            return false;
        }
        match sample.observation {
            Observation::Answered => {
                target.observe_answer(from, now, |health| health.record_success(now))
            }
            Observation::Erred => {
                target.observe_answer(from, now, |health| health.record_error(now))
            }
            Observation::Failed => target.fail(from, now),
            Observation::FirstToken { after, .. } if after > MAX_SAMPLE_DURATION => {}
            Observation::FirstToken {
                after,
                prefill_ahead,
            } => {
                target.observe_answer(from, now, |health| health.record_activity(now));
                target.estimate.observe_first_token(prefill_ahead, after);
            }
            Observation::Step { step, .. } if step > MAX_SAMPLE_DURATION => {}
            Observation::Step { batch, step } => {
                target.observe_answer(from, now, |health| health.record_activity(now));
                target.estimate.observe_step(batch, step, now);
            }
            Observation::Head => target.unanswered.record_sign_of_life(now),
            Observation::Misdirected => return target.record_misdirected(from, now),
            // Its sender may have lost the path to a target that answers others.
            Observation::Silent if target.unanswered.is_alive(now) => {}
            Observation::Silent => return target.eject(from, now),
        }
        false
    }
}

/// Returns `true` if a target has little capacity left.
fn is_nearly_full(target: &Target, now: Instant) -> bool {
    let estimate = &target.estimate;
    let prefill_time = estimate.outstanding().prefill as f64 / estimate.prefill_rate(now);
    let taken = estimate.batch(now).saturating_add(LOW_FREE_SLOTS);
    taken >= target.effective_slots(now) || prefill_time > LOW_PREFILL_BACKLOG_S
}
