//! What daemons that each dispatch their own requests tell each other of a pool.
//!
//! A digest tells what has changed since the last few, and every quarter of a second all that its
//! sender has on the targets, so that one that is lost costs nothing but its time. What was seen of
//! targets is told once; all daemons then know a target's speed as well as one that alone sent it
//! everything.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::queue::Standing;
use super::state::State;
use super::target::{Rival, Target};
use super::work::Work;
use crate::ids::{TargetId, VmId};
use crate::rendezvous;
use crate::target_instance::InstanceDigest;

mod sample;

pub use sample::{Sample, Seen};

/// A peer of which nothing is heard for this long has nothing on the targets any more: its
/// connections ended with it, or it is cut off and its targets with it. Digests come four times a
/// second at least.
const PEER_LIFE: Duration = Duration::from_millis(1_500);
/// Longest time between two digests that tell all.
const WHOLE_EVERY: Duration = Duration::from_millis(250);
/// Digests that tell one change: of datagrams one in forty is lost on a bad link, and three in a row
/// once in 64,000 times; the next one that tells all makes good for these.
const TOLD_TIMES: u8 = 3;
/// Longest time that a sample of another daemon may tell of: an hour's prompt. More was made up, and
/// would take a sound target out for good.
const BELIEVED: Duration = Duration::from_secs(3_600);
/// Samples kept between two digests; more would only make the estimates finer.
const SAMPLES_LIMIT: usize = 64;
/// Free slots of a target from which on a change there is told at once. The others choose by what they
/// know: with more room than that, two of them may choose the same target and none waits for it.
const SHORT_SLOTS: u32 = 2;
/// The same for prompts that it still has to read, in seconds of reading: half of what work of a last
/// tier may wait behind.
const SHORT_READING: f64 = 0.03;

/// What one daemon has on the targets of a pool.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Its requests by target.
    pub loads: Vec<TargetLoad>,
    /// What it saw since its last digest.
    pub samples: Vec<Sample>,
    /// Running counts of requests sent to targets with a rate limit.
    pub sent: Vec<(InstanceDigest, u32)>,
    /// Standing of the first ask that waits there for any target.
    pub waiting: Option<Standing>,
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
    pub target: InstanceDigest,
}

/// What the other daemons have on the targets, and what they were told.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    /// Whether something has changed that decides where others send.
    is_urgent: bool,
    peers: IndexMap<VmId, Peer>,
    samples: Vec<Sample>,
    told: IndexMap<InstanceDigest, Told>,
    told_waiting: Option<Standing>,
    told_whole: Option<Instant>,
}

#[derive(Debug)]
struct Peer {
    heard: Instant,
    loads: IndexMap<InstanceDigest, TargetLoad>,
    sent: IndexMap<InstanceDigest, u32>,
    waiting: Option<Standing>,
}

/// What was told of one target.
#[derive(Clone, Copy, Debug)]
struct Told {
    load: TargetLoad,
    /// How often.
    times: u8,
}

impl Peer {
    /// Requests sent since its last digest; the first count of a target is only a baseline.
    fn take_sent(&mut self, sent: &[(InstanceDigest, u32)]) -> Vec<(InstanceDigest, u32)> {
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

    fn take(&mut self, digest: Digest, now: Instant) {
        self.heard = now;
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
    pub(super) fn note(&mut self, target: InstanceDigest, seen: Seen) {
        if self.samples.len() < SAMPLES_LIMIT {
            self.samples.push(Sample { seen, target });
        }
    }

    /// Who else waits for room on a target, as seen by `me`.
    fn rival(&self, me: &VmId, target: &TargetId) -> Option<Rival> {
        let waiting = self.peers.iter();
        let waiting = waiting.filter_map(|(vm, peer)| Some((peer.waiting?, vm)));
        let standing = waiting.clone().map(|(standing, _)| standing).min()?;
        let own = rendezvous::weight(target, me);
        let mut equals = waiting.filter(|(other, _)| *other == standing);
        Some(Rival {
            goes_before_equals: equals.any(|(_, vm)| rendezvous::weight(target, vm) > own),
            standing,
        })
    }

    /// What all peers have on each target.
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

    /// Of all that this daemon has, what the others have to be told: all of it now and then, else what
    /// has changed of late.
    fn due(&mut self, loads: impl Iterator<Item = TargetLoad>, whole: bool) -> Vec<TargetLoad> {
        let mut before = std::mem::take(&mut self.told);
        for load in loads {
            let told = before.swap_remove(&load.target);
            let told = told.filter(|told| told.load == load);
            let told = told.unwrap_or(Told { load, times: 0 });
            self.told.insert(load.target, told);
        }
        // What it had there has ended.
        for (target, told) in before {
            let load = TargetLoad {
                prefill: 0,
                running: 0,
                target,
            };
            let times = if told.load == load { told.times } else { 0 };
            if times < TOLD_TIMES {
                self.told.insert(target, Told { load, times });
            }
        }
        let mut tell = Vec::new();
        for told in self.told.values_mut() {
            if told.times < TOLD_TIMES || (whole && told.load.running > 0) {
                told.times = told.times.saturating_add(1);
                tell.push(told.load);
            }
        }
        tell
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
        let whole = sharing.told_whole.is_none_or(|at| age(at) >= WHOLE_EVERY);
        if whole {
            sharing.told_whole = Some(now);
        }
        sharing.is_urgent = false;
        sharing.told_waiting = self.queue.first_contender();
        Digest {
            loads: sharing.due(loads, whole),
            samples: std::mem::take(&mut sharing.samples),
            sent,
            waiting: sharing.told_waiting,
            whole,
        }
    }

    /// Whether something has changed since the last digest that decides where others send: at a target
    /// with little room, or in who waits for room.
    pub(super) fn is_news_urgent(&self) -> bool {
        self.sharing.is_urgent || self.sharing.told_waiting != self.queue.first_contender()
    }

    /// This daemon's requests on a target are about to change, or have changed.
    pub(super) fn note_change(sharing: &mut Sharing, target: &Target, now: Instant) {
        sharing.is_urgent |= target.rate_limit.is_some() || is_short(target, now);
    }

    /// Takes in what another daemon has.
    pub(super) fn take_digest(&mut self, from: &VmId, digest: Digest, now: Instant) {
        for sample in &digest.samples {
            self.learn(sample, now);
        }
        let peer = self.sharing.peers.entry(from.clone());
        let peer = peer.or_insert_with(|| Peer {
            heard: now,
            loads: IndexMap::new(),
            sent: IndexMap::new(),
            waiting: None,
        });
        let sent = peer.take_sent(&digest.sent);
        peer.take(digest, now);
        for (target, requests) in sent {
            let mut targets = self.targets.values_mut();
            if let Some(target) = targets.find(|known| known.digest == target) {
                target.sent_by_peer(requests, now);
            }
        }
        self.spread_peer_loads(now);
        self.note_opening();
        self.dispatch(now);
    }

    /// Forgets peers of which nothing is heard any more.
    pub(super) fn forget_silent_peers(&mut self, now: Instant) {
        let before = self.sharing.peers.len();
        let lives = |peer: &Peer| now.saturating_duration_since(peer.heard) < PEER_LIFE;
        self.sharing.peers.retain(|_, peer| lives(peer));
        if self.sharing.peers.len() < before {
            self.spread_peer_loads(now);
            self.note_opening();
        }
    }

    fn spread_peer_loads(&mut self, now: Instant) {
        let totals = self.sharing.totals();
        for target in self.targets.values_mut() {
            let (running, work) = totals.get(&target.digest).copied().unwrap_or_default();
            if target.rate_limit.is_some() {
                target.rival = self.sharing.rival(&self.cfg.vm, &target.life.id);
            }
            if target.estimate.set_peers(running, work) {
                let rival = self.sharing.rival(&self.cfg.vm, &target.life.id);
                target.opened(rival, now);
            }
        }
    }

    fn learn(&mut self, sample: &Sample, now: Instant) {
        let mut targets = self.targets.values_mut();
        let Some(target) = targets.find(|target| target.digest == sample.target) else {
            return;
        };
        match sample.seen {
            Seen::Answered => target.health.answered(now),
            Seen::Erred => target.health.erred(now),
            Seen::Failed => target.health.failed(now),
            Seen::FirstToken { after, .. } if after > BELIEVED => {}
            Seen::FirstToken { after, before } => target.estimate.learn_first_token(before, after),
            Seen::Step { step, .. } if step > BELIEVED => {}
            Seen::Step { batch, step } => target.estimate.learn_step(batch, step, now),
        }
    }
}

/// Whether a target has little room left.
fn is_short(target: &Target, now: Instant) -> bool {
    let estimate = &target.estimate;
    let reading = estimate.outstanding().prefill as f64 / estimate.prefill_rate(now);
    let taken = estimate.batch(now).saturating_add(SHORT_SLOTS);
    taken >= target.slots_now(now) || reading > SHORT_READING
}
