//! What a dispatcher tells operators.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::health;
use super::state::State;
use crate::ids::{StartTimeMs, TargetId, Tier};

/// State of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Tokens of ended work in a second.
    pub drain_per_s: f64,
    /// Whether it waits for the entries and grants nothing.
    pub handover: bool,
    /// Granted requests that have not ended.
    pub running: usize,
    /// The targets.
    pub targets: Vec<TargetStatus>,
    /// Waiting asks by tier, only tiers with any.
    pub waiting: Vec<TierStatus>,
}

/// Waiting asks of one tier.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TierStatus {
    /// The tier.
    pub tier: Tier,
    /// Number of asks.
    pub waiting: usize,
}

/// Estimate of one life of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// When it started; 0 if it doesn't say.
    #[serde(default)]
    pub born: StartTimeMs,
    /// Blocks that its prefix cache is believed to hold.
    pub cached_blocks: usize,
    /// Tokens that it still has to generate.
    pub decode_outstanding: u64,
    /// Signs of life.
    pub health: health::State,
    /// Its name.
    pub id: TargetId,
    /// Whether it may get new work.
    pub live: bool,
    /// Tokens of prompts that it still has to read.
    pub prefill_outstanding: u64,
    /// Tokens of prompts that it reads in a second.
    pub prefill_per_s: f64,
    /// Requests of ours that it runs.
    pub running: u32,
    /// Times slower than its own history.
    pub slowness: f64,
    /// Requests that it may run at once now.
    pub slots: u32,
    /// Expected step time at its present batch.
    pub step: Duration,
}

impl State {
    pub(super) fn status(&self, now: Instant) -> Status {
        let tiers: BTreeSet<Tier> = self.queue.standings().map(|s| s.tier).collect();
        let waiting = tiers.into_iter().map(|tier| TierStatus {
            tier,
            waiting: self.queue.waiting(tier),
        });
        let targets = self.targets.values().map(|target| {
            let estimate = &target.estimate;
            TargetStatus {
                born: target.life.started_ms,
                cached_blocks: self.affinity.blocks(&target.life),
                decode_outstanding: estimate.outstanding().decode,
                health: target.health.state(),
                id: target.life.id.clone(),
                live: target.live,
                prefill_outstanding: estimate.outstanding().prefill,
                prefill_per_s: estimate.prefill_rate(now),
                running: estimate.running(),
                slowness: estimate.slowness(now),
                slots: target.slots_now(now),
                step: Duration::from_secs_f64(estimate.step(estimate.batch(now), now)),
            }
        });
        Status {
            drain_per_s: self.drain.per_s(now),
            handover: self.handover.is_some(),
            running: self.reservations.len(),
            targets: targets.collect(),
            waiting: waiting.collect(),
        }
    }
}
