//! The judge of a run: what callers saw, held against what the engines logged.

use indexmap::IndexMap;
use lilaccrank::ids::RequestKey;
use lilaccrank::prompt;
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

use crate::caller::Outcome;
use crate::engine::cache::PrefixCache;
use crate::engine::cache_events::CacheEvents;
use crate::layout::{EngineLayout, TIERS};
use crate::stand_in::Result;

use super::plan::Planned;
use super::scenario::Scenario;

/// Two processes' sightings of one moment may be so far apart: what is closer is no inversion.
const RACE_MS: u64 = 50;

/// What a caller saw.
pub struct Seen {
    /// Wall time of the end.
    pub ended_ms: u64,
    /// What came.
    pub outcome: Outcome,
    /// Wall time of the first try.
    pub sent_ms: u64,
}

/// What the judge needs of an engine's log entry.
#[derive(Clone, Debug, Deserialize)]
struct Entry {
    at_ms: u64,
    cached_tokens: u32,
    ended_ms: Option<u64>,
    key: Option<RequestKey>,
    prefilled_ms: Option<u64>,
    prefilled_tokens: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The whole answer within the deadline.
    Good,
    /// The whole answer after the deadline, or an answer cut off by it.
    Late,
    /// Neither an answer nor a true refusal.
    Lost,
    /// A true refusal.
    Refused,
}

/// A judged run.
pub struct Judge {
    /// Begun more than once, by tier.
    pub doubled: IndexMap<String, usize>,
    /// Shed for overload while work of a lower tier was kept.
    pub inversions: usize,
    /// Prompt tokens that engines computed.
    pub prefill_tokens: u64,
    /// Prompt tokens of good answers computed while another engine held them.
    pub recomputed_tokens: u64,
    /// The same, while another engine that held them had a free slot.
    pub recomputed_with_room_tokens: u64,
    /// Kinds of refusals, by tier.
    pub refusals: IndexMap<String, IndexMap<String, usize>>,
    /// Times to the first token of whole answers, by tier.
    pub ttft: IndexMap<String, Vec<Duration>>,
    /// Verdicts, in the order of the plan.
    pub verdicts: Vec<Verdict>,
    /// Prompt tokens computed for answers that were not received in time.
    pub useless_tokens: u64,
}

impl Judge {
    /// Judges what callers saw, in the order of the plan, by the engines' logs.
    ///
    /// # Errors
    ///
    /// If a log is not what engines write.
    pub fn new(
        scenario: &Scenario,
        plan: &[Planned],
        seen: &[Seen],
        logs: &[Vec<Value>],
    ) -> Result<Self> {
        let mut engines: Vec<Vec<Entry>> = Vec::new();
        for log in logs {
            let entries = log.iter().cloned().map(serde_json::from_value);
            engines.push(entries.collect::<std::result::Result<_, _>>()?);
        }
        let begun = begun(&engines);
        let mut judge = Self {
            doubled: IndexMap::new(),
            inversions: inversions(plan, seen, &begun),
            prefill_tokens: 0,
            recomputed_tokens: 0,
            recomputed_with_room_tokens: 0,
            refusals: IndexMap::new(),
            ttft: IndexMap::new(),
            verdicts: Vec::new(),
            useless_tokens: 0,
        };
        for (planned, seen) in plan.iter().zip(seen) {
            judge.judge(planned, seen, &begun);
        }
        judge.judge_prefill(plan, &engines, &scenario.engine_layouts());
        Ok(judge)
    }

    fn judge(&mut self, planned: &Planned, seen: &Seen, begun: &Begun) {
        let times = begun.get(&planned.key).map_or(0, Vec::len);
        if times > 1 {
            *self.doubled.entry(planned.tier.clone()).or_default() += 1;
        }
        let verdict = match &seen.outcome {
            Outcome::Broken(why) | Outcome::Foreign(why) | Outcome::Lost(why) => {
                eprintln!("lost: {} {}: {why}", planned.key, planned.tier);
                Verdict::Lost
            }
            Outcome::Refused { kind, ran, .. } => {
                let kinds = self.refusals.entry(planned.tier.clone()).or_default();
                *kinds.entry(kind.clone()).or_default() += 1;
                if ran == "no" && times > 0 {
                    eprintln!("untrue: {} was run, though refused as {kind}", planned.key);
                    Verdict::Lost
                } else if kind == "deadline_passed" && ran == "maybe" {
                    Verdict::Late
                } else {
                    Verdict::Refused
                }
            }
            Outcome::Whole { first_token, total } => {
                let times = self.ttft.entry(planned.tier.clone()).or_default();
                times.push(*first_token);
                if *total <= planned.deadline {
                    Verdict::Good
                } else {
                    Verdict::Late
                }
            }
        };
        self.verdicts.push(verdict);
    }

    /// Replays the engines' caches from their logs and counts what was computed in vain.
    fn judge_prefill(
        &mut self,
        plan: &[Planned],
        engines: &[Vec<Entry>],
        layouts: &[EngineLayout],
    ) {
        let requests: IndexMap<&RequestKey, (Vec<u64>, Verdict)> = plan
            .iter()
            .zip(&self.verdicts)
            .map(|(planned, verdict)| {
                let digests = prompt::prefix_digests(&planned.call.prompt);
                (&planned.key, (digests, *verdict))
            })
            .collect();
        let mut caches: Vec<Replay> = layouts.iter().map(Replay::new).collect();
        for moment in moments(engines) {
            let entry = &engines[moment.engine][moment.entry];
            let request = entry.key.as_ref().and_then(|key| requests.get(key));
            let Some((digests, verdict)) = request else {
                continue;
            };
            match moment.kind {
                Kind::Ended => caches[moment.engine].running -= 1,
                Kind::Read => caches[moment.engine].store(digests),
                Kind::Sent => {
                    let computed = u64::from(entry.prefilled_tokens);
                    self.prefill_tokens += computed;
                    let others = caches.iter().enumerate();
                    let others = others.filter(|(at, _)| *at != moment.engine);
                    let held = |free: bool| {
                        let others = others.clone().filter(|(_, c)| !free || c.has_room());
                        let best = others.map(|(_, cache)| cache.held(digests)).max();
                        let again = best.unwrap_or(0).saturating_sub(entry.cached_tokens);
                        u64::from(again).min(computed)
                    };
                    if *verdict == Verdict::Good {
                        self.recomputed_tokens += held(false);
                        self.recomputed_with_room_tokens += held(true);
                    } else {
                        self.useless_tokens += computed;
                    }
                    caches[moment.engine].running += 1;
                }
            }
        }
    }
}

/// When the engines began each request.
type Begun = IndexMap<RequestKey, Vec<u64>>;

fn begun(engines: &[Vec<Entry>]) -> Begun {
    let mut begun = Begun::new();
    for entry in engines.iter().flatten() {
        if let Some(key) = &entry.key {
            begun.entry(key.clone()).or_default().push(entry.at_ms);
        }
    }
    begun
}

/// Requests shed as `overloaded` while a request of a lower tier waited that was later begun.
fn inversions(plan: &[Planned], seen: &[Seen], begun: &Begun) -> usize {
    let rank = |tier: &str| TIERS.iter().position(|t| *t == tier).unwrap_or(TIERS.len());
    let kept: Vec<(usize, u64, u64)> = plan
        .iter()
        .zip(seen)
        .filter_map(|(planned, seen)| {
            let begun = begun.get(&planned.key)?.first()?;
            Some((rank(&planned.tier), seen.sent_ms, *begun))
        })
        .collect();
    let is_inverted = |(planned, seen): &(&Planned, &Seen)| {
        let Outcome::Refused { kind, .. } = &seen.outcome else {
            return false;
        };
        let (tier, shed) = (rank(&planned.tier), seen.ended_ms);
        kind == "overloaded"
            && kept.iter().any(|(other, sent, begun)| {
                *other > tier && sent + RACE_MS < shed && shed + RACE_MS < *begun
            })
    };
    plan.iter().zip(seen).filter(is_inverted).count()
}

/// Something in an engine's log that changes its cache or its room.
struct Moment {
    at_ms: u64,
    engine: usize,
    entry: usize,
    kind: Kind,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Read,
    Ended,
    Sent,
}

fn moments(engines: &[Vec<Entry>]) -> Vec<Moment> {
    let mut moments = Vec::new();
    for (engine, entries) in engines.iter().enumerate() {
        for (entry, logged) in entries.iter().enumerate() {
            let times = [
                (Some(logged.at_ms), Kind::Sent),
                (logged.ended_ms, Kind::Ended),
                (logged.prefilled_ms, Kind::Read),
            ];
            for (at_ms, kind) in times {
                moments.extend(at_ms.map(|at_ms| Moment {
                    at_ms,
                    engine,
                    entry,
                    kind,
                }));
            }
        }
    }
    moments.sort_by_key(|moment| (moment.at_ms, moment.kind));
    moments
}

/// The cache of one engine, as its log shows it.
struct Replay {
    cache: PrefixCache,
    events: CacheEvents,
    running: usize,
    slots: usize,
}

impl Replay {
    fn new(layout: &EngineLayout) -> Self {
        Self {
            cache: PrefixCache::new(layout.cache_blocks),
            // Nobody reads these events: all are lost.
            events: CacheEvents::new(Duration::ZERO, 1.1, 0),
            running: 0,
            slots: layout.slots as usize,
        }
    }

    fn has_room(&self) -> bool {
        self.running < self.slots
    }

    fn held(&self, digests: &[u64]) -> u32 {
        self.cache.cached_tokens(digests)
    }

    fn store(&mut self, digests: &[u64]) {
        self.cache.store(digests, &mut self.events);
    }
}
