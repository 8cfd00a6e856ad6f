//! What no policy can beat, worked out with full knowledge of the scenario.
//!
//! The bound on goodput treats the pool as one fluid: every engine busy at its full batch from
//! the first arrival to the last deadline, each shared block read once, any request split over
//! engines at will. Higher tiers go first, inside a tier the cheapest. A real pool stays below
//! it. The bound on prefill reads each block that any two prompts share once.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use lilaccrank::prompt;
use serde::Serialize;

use crate::layout::{EngineLayout, TIERS};

use super::plan::Planned;
use super::scenario::{Fault, Scenario};

/// Growth of a step's time with each further request, as the engine stand-in has it.
const BATCH_GROWTH: f64 = 0.02;

/// The bound of one scenario and seed.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// Most good answers, by tier.
    pub good: IndexMap<String, usize>,
    /// Part of the pool's capacity, while the load comes, that the whole load would take.
    pub load: f64,
    /// Fewest prompt tokens that answer everything.
    pub prefill_tokens: u64,
    /// Part of the pool's capacity that the urgent tier alone would take.
    pub urgent_load: f64,
    /// The same in the second in which most of it comes.
    pub urgent_peak_load: f64,
}

/// Seconds of one engine at speed 1 with a full batch.
struct Cost {
    at: Duration,
    seconds: f64,
    tier: String,
}

impl Bound {
    pub(super) fn new(scenario: &Scenario, plan: &[Planned]) -> Self {
        let layouts = scenario.engine_layouts();
        let Some(engine) = layouts.first() else {
            let (good, load) = (IndexMap::new(), 0.0);
            return Self {
                good,
                load,
                prefill_tokens: 0,
                urgent_load: 0.0,
                urgent_peak_load: 0.0,
            };
        };
        let mut read = IndexSet::new();
        let mut prefill_tokens = 0;
        let mut costs = Vec::new();
        for planned in plan {
            let digests = prompt::prefix_digests(&planned.call.prompt);
            let known = digests.iter().filter(|d| !read.insert(**d)).count();
            let tokens = u64::from(prompt::estimate_tokens(&planned.call.prompt));
            let left = tokens - (known * prompt::BLOCK_TOKENS) as u64;
            prefill_tokens += left.max(1);
            costs.push(Cost {
                at: planned.at,
                seconds: cost(engine, left, planned.call.max_tokens),
                tier: planned.tier.clone(),
            });
        }
        let capacity = capacity(scenario, &layouts, plan);
        let total = |costs: &[Cost]| costs.iter().map(|cost| cost.seconds).sum::<f64>();
        let arriving = costs.last().map_or(0.0, |cost| cost.at.as_secs_f64());
        let idle: f64 = layouts.iter().map(|layout| 1.0 / layout.speed).sum();
        let load = total(&costs) / (idle * arriving.max(1.0));
        let urgent: Vec<&Cost> = costs.iter().filter(|c| c.tier == TIERS[0]).collect();
        let urgent_load =
            urgent.iter().map(|c| c.seconds).sum::<f64>() / (idle * arriving.max(1.0));
        let peaks = urgent.iter().map(|first| {
            let second = first.at..first.at + Duration::from_secs(1);
            let within = urgent.iter().filter(|cost| second.contains(&cost.at));
            within.map(|cost| cost.seconds).sum::<f64>()
        });
        let urgent_peak_load = peaks.fold(0.0, f64::max) / idle;
        Self {
            good: fill(&mut costs, capacity),
            load,
            prefill_tokens,
            urgent_load,
            urgent_peak_load,
        }
    }
}

fn cost(engine: &EngineLayout, prefill: u64, decode: usize) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let step = engine.step_ms / 1000.0 * (1.0 + BATCH_GROWTH * (slots - 1.0));
    prefill as f64 / engine.prefill_tokens_per_s + decode as f64 * step / slots
}

/// Engine seconds from the first arrival to the last deadline; a slowed engine gives less from
/// its fault on.
fn capacity(scenario: &Scenario, layouts: &[EngineLayout], plan: &[Planned]) -> f64 {
    let ends = plan.iter().map(|p| (p.at + p.deadline).as_secs_f64());
    let end = ends.fold(0.0, f64::max);
    let begin = plan.first().map_or(0.0, |p| p.at.as_secs_f64());
    let engines = layouts.iter().enumerate().map(|(at, layout)| {
        let (mut sum, mut since, mut speed) = (0.0, begin, layout.speed);
        for timed in &scenario.faults {
            if let Fault::Slow { engine, factor } = timed.fault
                && engine == at
            {
                let until = (timed.at_ms as f64 / 1000.0).clamp(since, end);
                sum += (until - since) / speed;
                (since, speed) = (until, factor);
            }
        }
        sum + (end - since) / speed
    });
    engines.sum::<f64>().max(f64::MIN_POSITIVE)
}

fn fill(costs: &mut [Cost], capacity: f64) -> IndexMap<String, usize> {
    costs.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    let mut left = capacity;
    let mut good = IndexMap::new();
    for tier in TIERS {
        let mut count = 0;
        for cost in costs.iter().filter(|cost| cost.tier == tier) {
            if cost.seconds > left {
                break;
            }
            left -= cost.seconds;
            count += 1;
        }
        good.insert(tier.to_owned(), count);
    }
    good
}
