//! What daemons that each dispatch their own requests tell each other of a pool.
//!
//! A digest tells all that its sender has on the targets, so that one that is lost costs nothing
//! but its time. What was seen of targets is told once; all daemons then know a target's speed as
//! well as one that alone sent it everything.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::queue::Standing;
use super::state::State;
use super::target::Rival;
use super::work::Work;
use crate::ids::{TargetId, VmId};
use crate::rendezvous;
use crate::target_life::LifeDigest;

/// A peer of which nothing is heard for this long has nothing on the targets any more: its
/// connections ended with it, or it is cut off and its targets with it. Digests come four times a
/// second at least.
const PEER_LIFE: Duration = Duration::from_millis(1_500);
/// Longest time that a sample of another daemon may tell of: an hour's prompt. More was made up, and
/// would take a sound target out for good.
const BELIEVED: Duration = Duration::from_secs(3_600);
/// Samples kept between two digests; more would only make the estimates finer.
const SAMPLES_LIMIT: usize = 64;

/// What one daemon has on the targets of a pool.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Its requests by target, only targets with any.
    pub loads: Vec<TargetLoad>,
    /// What it saw since its last digest.
    pub samples: Vec<Sample>,
    /// Standing of the first ask that waits there.
    pub waiting: Option<Standing>,
}

/// Requests of one daemon on one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Tokens still to be generated.
    pub decode: u64,
    /// Tokens of prompts still to be read.
    pub prefill: u64,
    /// Number of requests.
    pub running: u32,
    /// The target.
    pub target: LifeDigest,
}

/// One thing that was seen of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// What was seen.
    pub seen: Seen,
    /// The target.
    pub target: LifeDigest,
}

/// What was seen of a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Seen {
    /// A whole answer.
    Answered,
    /// An answer that it failed, or would not run the request.
    Erred,
    /// No whole answer.
    Failed,
    /// A first token.
    FirstToken {
        /// Time since the request was sent.
        after: Duration,
        /// Prompt tokens before it when it was sent, its own included.
        before: u64,
    },
    /// Tokens that followed each other.
    Step {
        /// Requests in the batch.
        batch: u32,
        /// Time between two tokens.
        step: Duration,
    },
}

/// What the other daemons have on the targets.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    peers: IndexMap<VmId, Peer>,
    samples: Vec<Sample>,
}

#[derive(Debug)]
struct Peer {
    heard: Instant,
    loads: Vec<TargetLoad>,
    waiting: Option<Standing>,
}

impl Sharing {
    /// Notes what was seen, for the next digest.
    pub(super) fn note(&mut self, target: LifeDigest, seen: Seen) {
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
    fn totals(&self) -> IndexMap<LifeDigest, (u32, Work)> {
        let mut totals: IndexMap<LifeDigest, (u32, Work)> = IndexMap::new();
        for load in self.peers.values().flat_map(|peer| &peer.loads) {
            let total = totals.entry(load.target).or_default();
            total.0 = total.0.saturating_add(load.running);
            total.1 += Work {
                decode: load.decode,
                prefill: load.prefill,
            };
        }
        totals
    }
}

impl State {
    /// What this daemon has on the targets.
    pub(super) fn digest(&mut self) -> Digest {
        let targets = self.targets.values();
        let loads = targets.filter(|target| target.estimate.running() > 0);
        let loads = loads.map(|target| {
            let own = target.estimate.own_outstanding();
            TargetLoad {
                decode: own.decode,
                prefill: own.prefill,
                running: target.estimate.running(),
                target: target.digest,
            }
        });
        Digest {
            loads: loads.collect(),
            samples: std::mem::take(&mut self.sharing.samples),
            waiting: self.queue.standings().next(),
        }
    }

    /// Takes in what another daemon has.
    pub(super) fn take_digest(&mut self, from: &VmId, digest: Digest, now: Instant) {
        for sample in &digest.samples {
            self.learn(sample, now);
        }
        let heard = Peer {
            heard: now,
            loads: digest.loads,
            waiting: digest.waiting,
        };
        self.sharing.peers.insert(from.clone(), heard);
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
