//! What daemons that each dispatch their own requests tell each other of a pool.
//!
//! A digest tells what has changed since the last few, and every quarter of a second all that its
//! sender has on the targets, so that one that is lost costs nothing but its time. What was seen of
//! targets is told once; all daemons then know a target's speed as well as one that alone sent it
//! everything.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::queue::Priority;
use super::state::State;
use super::target::{PeerWaiter, Target};
use super::work::Work;
use crate::ids::{TargetId, VmId};
use crate::rendezvous;
use crate::target_life::LifeDigest;

mod sample;

pub use sample::{Observation, Sample};

/// A peer of which nothing is heard for this long has nothing on the targets any more: its
/// connections ended with it, or it is cut off and its targets with it. Digests come four times a
/// second at least.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time between two digests that tell all.
const FULL_DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Digests that tell one change: of datagrams one in forty is lost on a bad link, and three in a row
/// once in 64,000 times; the next one that tells all makes good for these.
const CHANGE_REPEATS: u8 = 3;
/// Longest time that a sample of another daemon may tell of: an hour's prompt. More was made up, and
/// would take a sound target out for good.
const MAX_SAMPLE_DURATION: Duration = Duration::from_secs(3_600);
/// Samples kept between two digests; more would only make the estimates finer.
const SAMPLES_LIMIT: usize = 64;
/// Free slots of a target from which on a change there is told at once. The others choose by what they
/// know: with more room than that, two of them may choose the same target and none waits for it.
const LOW_FREE_SLOTS: u32 = 2;
/// The same for prompts that it still has to read, in seconds of reading: half of what work of a last
/// tier may wait behind.
const LOW_PREFILL_BACKLOG_S: f64 = 0.03;

/// What one daemon has on the targets of a pool.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Its requests by target.
    pub loads: Vec<TargetLoad>,
    /// What it saw since its last digest.
    pub samples: Vec<Sample>,
    /// Running counts of requests sent to targets with a rate limit.
    pub sent: Vec<(LifeDigest, u32)>,
    /// Standing of the first ask that waits there for any target.
    pub waiting: Option<Priority>,
    /// Whether it has nothing on the targets that are left out; else they are as they were.
    pub whole: bool,
}

/// Requests of one daemon on one target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Tokens of prompts still to be read.
    pub prefill: u64,
    /// Number of requests.
    pub running: u32,
    /// The target.
    pub target: LifeDigest,
}

/// What the other daemons have on the targets, and what they were told.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    /// Whether something has changed that decides where others send.
    has_urgent_change: bool,
    peers: IndexMap<VmId, Peer>,
    samples: Vec<Sample>,
    announced: IndexMap<LifeDigest, Announced>,
    announced_waiting: Option<Priority>,
    last_full_digest: Option<Instant>,
}

#[derive(Debug)]
struct Peer {
    last_digest: Instant,
    loads: IndexMap<LifeDigest, TargetLoad>,
    sent: IndexMap<LifeDigest, u32>,
    waiting: Option<Priority>,
}

/// What was told of one target.
#[derive(Clone, Copy, Debug)]
struct Announced {
    load: TargetLoad,
    /// How often.
    send_count: u8,
}

impl Peer {
    /// Requests sent since its last digest; the first count of a target is only a baseline.
    fn apply_sent(&mut self, sent: &[(LifeDigest, u32)]) -> Vec<(LifeDigest, u32)> {
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

    fn apply(&mut self, digest: Digest, now: Instant) {
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
    }
}

impl Sharing {
    /// Notes what was seen, for the next digest.
    pub(super) fn record(&mut self, target: LifeDigest, observation: Observation) {
        if self.samples.len() < SAMPLES_LIMIT {
            self.samples.push(Sample {
                observation,
                target,
            });
        }
    }

    /// Who else waits for room on a target, as seen by `me`.
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

    /// What all peers have on each target.
    fn totals(&self) -> IndexMap<LifeDigest, (u32, Work)> {
        let mut totals: IndexMap<LifeDigest, (u32, Work)> = IndexMap::new();
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

    /// Of all that this daemon has, what the others have to be told: all of it now and then, else what
    /// has changed of late.
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
        // What it had there has ended.
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
    /// What the others are to know of what this daemon has on the targets.
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

    /// Whether something has changed since the last digest that decides where others send: at a target
    /// with little room, or in who waits for room.
    pub(super) fn has_urgent_changes(&self) -> bool {
        self.sharing.has_urgent_change
            || self.sharing.announced_waiting != self.queue.first_competing_priority()
    }

    /// This daemon's requests on a target are about to change, or have changed.
    pub(super) fn note_load_change(sharing: &mut Sharing, target: &Target, now: Instant) {
        sharing.has_urgent_change |= target.rate_limit.is_some() || is_nearly_full(target, now);
    }

    /// Takes in what another daemon has.
    pub(super) fn apply_digest(&mut self, from: &VmId, digest: Digest, now: Instant) {
        for sample in &digest.samples {
            self.apply_sample(sample, now);
        }
        let peer = self.sharing.peers.entry(from.clone());
        let peer = peer.or_insert_with(|| Peer {
            last_digest: now,
            loads: IndexMap::new(),
            sent: IndexMap::new(),
            waiting: None,
        });
        let sent = peer.apply_sent(&digest.sent);
        peer.apply(digest, now);
        for (target, requests) in sent {
            let mut targets = self.targets.values_mut();
            if let Some(target) = targets.find(|known| known.digest == target) {
                target.sent_by_peer(requests, now);
            }
        }
        self.apply_peer_loads(now);
        self.note_capacity_change();
        self.dispatch(now);
    }

    /// Forgets peers of which nothing is heard any more.
    pub(super) fn expire_peers(&mut self, now: Instant) {
        let before = self.sharing.peers.len();
        let is_alive = |peer: &Peer| now.saturating_duration_since(peer.last_digest) < PEER_TIMEOUT;
        self.sharing.peers.retain(|_, peer| is_alive(peer));
        if self.sharing.peers.len() < before {
            self.apply_peer_loads(now);
            self.note_capacity_change();
        }
    }

    fn apply_peer_loads(&mut self, now: Instant) {
        let totals = self.sharing.totals();
        for target in self.targets.values_mut() {
            let (running, work) = totals.get(&target.digest).copied().unwrap_or_default();
            if target.rate_limit.is_some() {
                target.peer_waiter = self.sharing.peer_waiter(&self.cfg.vm, &target.life.id);
            }
            if target.estimate.set_peer_load(running, work) {
                let peer_waiter = self.sharing.peer_waiter(&self.cfg.vm, &target.life.id);
                target.freed_by_peer(peer_waiter, now);
            }
        }
    }

    fn apply_sample(&mut self, sample: &Sample, now: Instant) {
        let mut targets = self.targets.values_mut();
        let Some(target) = targets.find(|target| target.digest == sample.target) else {
            return;
        };
        match sample.observation {
            Observation::Answered => target.health.record_success(now),
            Observation::Erred => target.health.record_error(now),
            Observation::Failed => target.health.record_failure(now),
            Observation::FirstToken { after, .. } if after > MAX_SAMPLE_DURATION => {}
            Observation::FirstToken {
                after,
                prefill_ahead,
            } => target.estimate.observe_first_token(prefill_ahead, after),
            Observation::Step { step, .. } if step > MAX_SAMPLE_DURATION => {}
            Observation::Step { batch, step } => target.estimate.observe_step(batch, step, now),
        }
    }
}

/// Whether a target has little room left.
fn is_nearly_full(target: &Target, now: Instant) -> bool {
    let estimate = &target.estimate;
    let prefill_time = estimate.outstanding().prefill as f64 / estimate.prefill_rate(now);
    let taken = estimate.batch(now).saturating_add(LOW_FREE_SLOTS);
    taken >= target.effective_slots(now) || prefill_time > LOW_PREFILL_BACKLOG_S
}
