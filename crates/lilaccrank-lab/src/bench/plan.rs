//! The load of a run, drawn from its seed: the same for each policy.

use std::time::Duration;

use lilaccrank::ids::RequestKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::Call;
use crate::layout::{Layout, MODEL};

use super::scenario::{Arrival, Flow, Lengths, Scenario};

/// Part of a burst that comes early, and part of the time that counts as early.
const EARLY: (f64, f64) = (0.5, 1.0 / 6.0);
/// Bytes of text in one token.
const TOKEN_BYTES: usize = lilaccrank::prompt::BYTES_PER_TOKEN;

/// One request of the plan.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// The request.
    pub call: Call,
    /// Time for the whole answer.
    pub deadline: Duration,
    /// Its key, by which engines log it.
    pub key: RequestKey,
    /// Its tier.
    pub tier: String,
}

/// Draws the plan, in order of time.
#[must_use]
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Planned> {
    let mut plan = Vec::new();
    for (number, flow) in scenario.load.iter().enumerate() {
        // A flow of its own seed: a change of one flow leaves the others as they were.
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(number as u64));
        let prefixes = prefixes(flow, &mut rng);
        for i in 0..flow.requests {
            plan.push(request(flow, &prefixes, &mut rng, format!("{number}-{i}")));
        }
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn prefixes(flow: &Flow, rng: &mut StdRng) -> Vec<String> {
    let Some(prefixes) = flow.prefixes else {
        return vec![String::new()];
    };
    let texts = (0..prefixes.count).map(|_| text(prefixes.tokens, rng));
    texts.collect()
}

fn request(flow: &Flow, prefixes: &[String], rng: &mut StdRng, key: RequestKey) -> Planned {
    let customer = &flow.customers[rng.random_range(0..flow.customers.len())];
    let prefix = &prefixes[rng.random_range(0..prefixes.len())];
    let own = length(flow.prompt_tokens, rng);
    let part = arrival(flow.arrival, rng);
    let after = Duration::from_millis(flow.over_ms).mul_f64(part);
    let call = Call {
        bearer: Layout::customer_key(customer),
        deadline_ms: Some(flow.deadline_ms),
        key: Some(key.clone()),
        max_tokens: length(flow.max_tokens, rng),
        model: MODEL.to_owned(),
        prompt: format!("{prefix}{}", text(own, rng)),
        stream: true,
        tier: Some(flow.tier.clone()),
        ..Call::default()
    };
    Planned {
        at: Duration::from_millis(flow.from_ms) + after,
        call,
        deadline: Duration::from_millis(flow.deadline_ms),
        key,
        tier: flow.tier.clone(),
    }
}

fn arrival(arrival: Arrival, rng: &mut StdRng) -> f64 {
    let part = rng.random::<f64>();
    match arrival {
        Arrival::Burst if rng.random::<f64>() < EARLY.0 => part * EARLY.1,
        Arrival::Burst | Arrival::Uniform => part,
    }
}

fn length(lengths: Lengths, rng: &mut StdRng) -> usize {
    let (min, max) = (lengths.min.max(1) as f64, lengths.max.max(1) as f64);
    let exponent = rng.random::<f64>() * (max / min).ln();
    (min * exponent.exp()).round() as usize
}

fn text(tokens: usize, rng: &mut StdRng) -> String {
    let bytes = tokens * TOKEN_BYTES;
    let mut text = String::with_capacity(bytes + 16);
    while text.len() < bytes {
        text.push_str(&format!("{:016x}", rng.random::<u64>()));
    }
    text.truncate(bytes);
    text
}
