//! Dispatcher state for operators.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::health;
use super::state::State;
use crate::ids::{StartTimeMs, TargetId, Tier};

/// State of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Completed tokens per second.
    pub drain_per_s: f64,
    /// Set during a handover, when nothing is granted.
    pub handover: bool,
    /// Number of granted requests that have not ended.
    pub running: usize,
    /// Targets of the pool.
    pub targets: Vec<TargetStatus>,
    /// Waiting submissions by tier; tiers without any are left out.
    pub waiting: Vec<TierStatus>,
}

/// Waiting submissions of one tier.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TierStatus {
    /// The tier.
    pub tier: Tier,
    /// Number of waiting submissions.
    pub waiting: usize,
}

/// State of one incarnation of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Start time of the target; 0 if unknown.
    #[serde(default)]
    pub born: StartTimeMs,
    /// Estimated number of blocks in its prefix cache.
    pub cached_blocks: usize,
    /// Outstanding decode tokens.
    pub decode_outstanding: u64,
    /// Health of the target.
    pub health: health::State,
    /// Name of the target.
    pub id: TargetId,
    /// Set if the target may get new work.
    pub live: bool,
    /// Outstanding prefill tokens.
    pub prefill_outstanding: u64,
    /// Prefill rate in tokens per second.
    pub prefill_per_s: f64,
    /// Number of running requests of this daemon.
    pub running: u32,
    /// Factor by which the target is slower than its own history.
    pub slowness: f64,
    /// Number of slots usable at its current speed.
    pub slots: u32,
    /// Expected step time at the current batch size.
    pub step: Duration,
}

impl State {
    pub(super) fn status(&self, now: Instant) -> Status {
        let tiers: BTreeSet<Tier> = self.queue.priorities().map(|s| s.tier).collect();
        let waiting = tiers.into_iter().map(|tier| TierStatus {
            tier,
            waiting: self.queue.waiting(tier),
        });
        let targets = self.targets.values().map(|target| {
            let estimate = &target.estimate;
            TargetStatus {
                born: target.instance.started_ms,
                cached_blocks: self.affinity.block_count(&target.instance),
                decode_outstanding: estimate.outstanding().decode,
                health: target.health.state(),
                id: target.instance.id.clone(),
                live: target.live,
                prefill_outstanding: estimate.outstanding().prefill,
                prefill_per_s: estimate.prefill_rate(now),
                running: estimate.running(),
                slowness: estimate.slowness(now),
                slots: target.effective_slots(now),
                step: Duration::from_secs_f64(estimate.step(estimate.batch(now), now)),
            }
        });
        Status {
            drain_per_s: self.drain.per_s(now),
            handover: self.handover.is_some(),
            running: self.active_grants.len(),
            targets: targets.collect(),
            waiting: waiting.collect(),
        }
    }
}
