//! What the bench prints.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::layout::TIERS;

use super::Policy;
use super::bound::Bound;
use super::judge::{Judge, Verdict};
use super::plan::Planned;
use super::scenario::Scenario;

/// Longest time that the histogram tells apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// The figures of one run; docs/BENCH.md defines them.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What no policy can beat.
    pub bound: Bound,
    /// Requests shed for overload while work of a lower tier was kept.
    pub inversions: usize,
    /// How requests found their engine.
    pub policy: Policy,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens of good answers computed while another serving engine held them.
    pub recomputed_prefill_tokens: u64,
    /// The same, while another serving engine that held them had a free slot.
    pub recomputed_with_room_prefill_tokens: u64,
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the load.
    pub seed: u64,
    /// By tier.
    pub tiers: IndexMap<String, TierReport>,
    /// Prompt tokens computed for answers that were not received in time.
    pub useless_prefill_tokens: u64,
    /// Useless and recomputed ones together.
    pub wasted_prefill_tokens: u64,
}

/// What became of one tier.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TierReport {
    /// Begun by engines more than once.
    pub doubled: usize,
    /// Whole answers within their deadlines.
    pub good: usize,
    /// Whole answers after their deadlines, or cut off by them.
    pub late: usize,
    /// Neither an answer nor a true refusal.
    pub lost: usize,
    /// Sent.
    pub offered: usize,
    /// True refusals.
    pub refused: usize,
    /// Kinds of refusals, those cut off by their deadline included.
    pub refused_kinds: IndexMap<String, usize>,
    /// Time from sending to the first token of whole answers.
    pub ttft_ms: Quantiles,
}

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Half are below.
    pub p50: u64,
    /// 95 in 100 are below.
    pub p95: u64,
    /// 99 in 100 are below.
    pub p99: u64,
}

impl Report {
    pub(super) fn new(
        scenario: &Scenario,
        policy: Policy,
        seed: u64,
        plan: &[Planned],
        judge: &Judge,
    ) -> Self {
        let mut tiers: IndexMap<String, TierReport> = IndexMap::new();
        for tier in TIERS {
            let of_tier = plan.iter().zip(&judge.verdicts);
            let mut report = TierReport::default();
            for (_, verdict) in of_tier.filter(|(planned, _)| planned.tier == tier) {
                report.count(*verdict);
            }
            if report.offered == 0 {
                continue;
            }
            report.doubled = judge.doubled.get(tier).copied().unwrap_or(0);
            report.refused_kinds = judge.refusals.get(tier).cloned().unwrap_or_default();
            report.ttft_ms = Quantiles::of(judge.ttft.get(tier).map_or(&[], Vec::as_slice));
            tiers.insert(tier.to_owned(), report);
        }
        Self {
            bound: Bound::new(scenario, plan),
            inversions: judge.inversions,
            policy,
            prefill_tokens: judge.prefill_tokens,
            recomputed_prefill_tokens: judge.recomputed_tokens,
            scenario: scenario.name.clone(),
            recomputed_with_room_prefill_tokens: judge.recomputed_with_room_tokens,
            seed,
            tiers,
            useless_prefill_tokens: judge.useless_tokens,
            wasted_prefill_tokens: judge.useless_tokens + judge.recomputed_tokens,
        }
    }
}

impl TierReport {
    fn count(&mut self, verdict: Verdict) {
        self.offered += 1;
        match verdict {
            Verdict::Good => self.good += 1,
            Verdict::Late => self.late += 1,
            Verdict::Lost => self.lost += 1,
            Verdict::Refused => self.refused += 1,
        }
    }
}

impl Quantiles {
    fn of(times: &[Duration]) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_MS, 3) else {
            return Self::default();
        };
        for time in times {
            let ms = u64::try_from(time.as_millis()).unwrap_or(LONGEST_MS);
            histogram.saturating_record(ms);
        }
        Self {
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} by {:?}, seed {}: prefill {} (wasted {}, bound {}), {} inversions, load {:.2}",
            self.scenario,
            self.policy,
            self.seed,
            self.prefill_tokens,
            self.wasted_prefill_tokens,
            self.bound.prefill_tokens,
            self.inversions,
            self.bound.load,
        )?;
        writeln!(
            f,
            "tier    offered  good  late  refused  lost  doubled  bound  first token ms"
        )?;
        for (tier, t) in &self.tiers {
            writeln!(
                f,
                "{tier:<8}{:>7}{:>6}{:>6}{:>9}{:>6}{:>9}{:>7}  {} / {} / {}  {:?}",
                t.offered,
                t.good,
                t.late,
                t.refused,
                t.lost,
                t.doubled,
                self.bound.good.get(tier).unwrap_or(&0),
                t.ttft_ms.p50,
                t.ttft_ms.p95,
                t.ttft_ms.p99,
                t.refused_kinds,
            )?;
        }
        Ok(())
    }
}
