//! The dispatcher against a naive version: a list that is sorted and rescanned at each step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilaccrank::dispatch::message::{Ask, Cancel, PartialAnswer, ReportKind, Verdict};
use lilaccrank::dispatch::status::TargetStatus;
use lilaccrank::document::TargetState;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_instance::TargetInstance;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::dispatch_harness::{self, Harness};

/// The part of resumed answers that their callers have.
const PARTIAL: PartialAnswer = PartialAnswer {
    remaining: None,
    tokens: 40,
};
const LONG: u32 = 3000;
/// No target counts as hung here; the naive version knows nothing of that.
const PATIENCE: Duration = Duration::from_secs(3600);
/// Fixed, so that the verdict is the same each time.
const SEED: u64 = 4;
const WAITING_LIMIT: usize = 8;

#[derive(Clone, Debug)]
enum Op {
    Advance {
        ms: u64,
    },
    Arrive {
        partial: bool,
        customer: u8,
        exclude: Option<u8>,
        long: bool,
        max_tokens: u16,
        tier: u8,
    },
    Cancel {
        nth: usize,
    },
    End {
        nth: usize,
    },
    FirstToken {
        nth: usize,
    },
    Leave {
        target: usize,
    },
    Return {
        target: usize,
    },
    Slow {
        nth: usize,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let nth = usize::arbitrary(g);
        let target = usize::arbitrary(g) % 3;
        match u8::arbitrary(g) % 16 {
            0 => Self::Advance {
                ms: u64::arbitrary(g) % 500,
            },
            1 => Self::Cancel { nth },
            2 => Self::FirstToken { nth },
            3 => Self::Leave { target },
            4 => Self::Return { target },
            5 => Self::Slow { nth },
            6..=8 => Self::End { nth },
            _ => Self::Arrive {
                partial: u8::arbitrary(g) % 6 == 0,
                customer: u8::arbitrary(g) % 4,
                exclude: (u8::arbitrary(g) % 6 == 0).then_some(u8::arbitrary(g) % 2),
                long: u8::arbitrary(g) % 4 == 0,
                max_tokens: u16::arbitrary(g) % 500,
                tier: u8::arbitrary(g) % (dispatch_harness::LOWEST_TIER + 1),
            },
        }
    }
}

/// A waiting ask and the place where it came in.
#[derive(Clone, Debug)]
struct Waiting {
    ask: Ask,
    sequence: usize,
}

impl Waiting {
    fn tokens(&self) -> u64 {
        let partial = self.ask.partial.map_or(0, |partial| partial.tokens);
        let left = self.ask.max_tokens.saturating_sub(partial);
        u64::from(self.ask.prompt_tokens + partial) + u64::from(left)
    }

    fn is_long(&self) -> bool {
        self.ask.prompt_tokens == LONG
    }

    /// Asks that wait for different room don't wait for each other.
    fn lane(&self) -> (bool, bool, bool) {
        let partial = self.ask.partial.is_some();
        let excluding = !partial && !self.ask.exclusions.is_empty();
        (partial, excluding, self.is_long() && !excluding && !partial)
    }
}

#[derive(Debug)]
struct Running {
    ask: Ask,
    prefilled: bool,
    target: String,
}

impl Running {
    /// Tokens that its target reads.
    fn prompt(&self) -> u32 {
        self.ask.prompt_tokens + self.ask.partial.map_or(0, |partial| partial.tokens)
    }
}

#[derive(Debug, Default)]
struct Naive {
    running: Vec<Running>,
    /// Virtual time of each customer in each tier.
    served: BTreeMap<(u8, String), u64>,
    sequence: usize,
    /// Virtual time of each tier.
    started: BTreeMap<u8, u64>,
    waiting: Vec<Waiting>,
}

impl Naive {
    fn arrive(&mut self, ask: Ask) {
        let busy = self
            .waiting
            .iter()
            .any(|w| w.ask.tier == ask.tier && w.ask.customer == ask.customer);
        let started = self.started.get(&ask.tier).copied().unwrap_or(0);
        let served = self
            .served
            .entry((ask.tier, ask.customer.clone()))
            .or_default();
        if !busy {
            *served = started.max(*served);
        }
        self.sequence += 1;
        self.waiting.push(Waiting {
            ask,
            sequence: self.sequence,
        });
    }

    fn remove(&mut self, request: &str) -> Waiting {
        let at = self
            .waiting
            .iter()
            .position(|w| w.ask.request == request)
            .unwrap();
        self.waiting.remove(at)
    }

    fn served(&self, waiting: &Waiting) -> u64 {
        self.served[&(waiting.ask.tier, waiting.ask.customer.clone())]
    }

    /// All that waits, in the order of dispatch.
    fn sorted(&self) -> Vec<&Waiting> {
        let mut sorted: Vec<&Waiting> = self.waiting.iter().collect();
        sorted.sort_by_key(|w| {
            (
                w.ask.tier,
                w.ask.partial.is_none(),
                self.served(w),
                w.sequence,
            )
        });
        sorted
    }

    fn open(&self, waiting: &Waiting, targets: &[TargetStatus]) -> BTreeSet<String> {
        let on = |id: &str| {
            let id = id.to_owned();
            self.running.iter().filter(move |r| r.target == id)
        };
        let unread = |id: &str| on(id).filter(|r| !r.prefilled).map(Running::prompt);
        let live: Vec<&TargetStatus> = targets.iter().filter(|t| t.live).collect();
        let slots: u32 = live.iter().map(|t| t.slots).sum();
        let taken: u32 = live.iter().map(|t| on(&t.id).count() as u32).sum();
        let long = live
            .iter()
            .filter(|t| unread(&t.id).any(|p| p >= LONG))
            .count();
        let urgent = waiting.ask.tier == 0;
        let headroom = if slots > 1 { slots.div_ceil(8) } else { 0 };
        let lanes = (live.len() - live.len() / 4).max(1);
        let full = taken + headroom >= slots || (waiting.is_long() && long >= lanes);
        if !urgent && full {
            return BTreeSet::new();
        }
        let open = live.into_iter().filter(|t| {
            let kept = if urgent { 0 } else { t.slots / 8 };
            on(&t.id).count() as u32 + kept < t.slots
                && unread(&t.id).sum::<u32>() < 8192
                && !waiting
                    .ask
                    .exclusions
                    .contains(&TargetInstance::from(&*t.id))
        });
        open.map(|t| t.id.clone()).collect()
    }

    /// The first in order that finds an open target. A customer's asks of one lane wait for each
    /// other.
    fn next(&self, targets: &[TargetStatus]) -> Option<(String, BTreeSet<String>)> {
        let mut blocked = BTreeSet::new();
        for waiting in self.sorted() {
            let line = (
                waiting.ask.tier,
                waiting.ask.customer.clone(),
                waiting.lane(),
            );
            if !blocked.insert(line) {
                continue;
            }
            let open = self.open(waiting, targets);
            if !open.is_empty() {
                return Some((waiting.ask.request.clone(), open));
            }
        }
        None
    }

    fn grant(&mut self, request: &str, target: &str) {
        let waiting = self
            .waiting
            .iter()
            .find(|w| w.ask.request == request)
            .unwrap();
        let (key, tokens) = (
            (waiting.ask.tier, waiting.ask.customer.clone()),
            waiting.tokens(),
        );
        let served = self.served.get_mut(&key).unwrap();
        let started = self.started.entry(key.0).or_default();
        *started = (*started).max(*served);
        *served += tokens * 1024 / u64::from(waiting.ask.weight);
        let ask = self.remove(request).ask;
        self.running.push(Running {
            ask,
            prefilled: false,
            target: target.to_owned(),
        });
    }

    /// The newest ask of the customer with most waiting, in the lowest tier.
    fn victim(&self) -> String {
        let tier = self.waiting.iter().map(|w| w.ask.tier).max().unwrap();
        let low: Vec<&Waiting> = self.waiting.iter().filter(|w| w.ask.tier == tier).collect();
        let backlog = |customer: &str| {
            let own = low.iter().filter(|w| w.ask.customer == customer);
            own.map(|w| w.tokens()).sum::<u64>() * 1024
        };
        let key = |w: &&&Waiting| {
            let excess = backlog(&w.ask.customer) / u64::from(w.ask.weight);
            (excess, w.ask.customer.clone(), w.sequence)
        };
        low.iter().max_by_key(key).unwrap().ask.request.clone()
    }
}

/// Applies one operation to both and compares what follows.
fn apply(harness: &mut Harness, naive: &mut Naive, op: &Op, id: usize) -> Result<(), String> {
    match op {
        Op::Advance { ms } => harness.clock.advance(Duration::from_millis(*ms)),
        Op::Arrive {
            partial,
            customer,
            exclude,
            long,
            max_tokens,
            tier,
        } => {
            let mut ask = dispatch_harness::ask(&format!("r{id}"), *tier);
            ask.partial = partial.then_some(PARTIAL);
            ask.customer = format!("c{customer}");
            ask.exclusions = exclude
                .iter()
                .map(|i| TargetInstance::from(&*format!("t{i}")))
                .collect();
            ask.max_tokens = u32::from(*max_tokens);
            ask.prompt_tokens = if *long { LONG } else { ask.prompt_tokens };
            ask.weight = 1 + u32::from(customer % 2);
            let live = harness
                .pool
                .targets
                .iter()
                .filter(|t| t.state == TargetState::Live);
            if live
                .clone()
                .any(|t| !ask.exclusions.contains(&TargetInstance::of(t)))
            {
                naive.arrive(ask.clone());
            }
            harness.ask(ask);
        }
        Op::Cancel { nth } if !naive.waiting.is_empty() => {
            let nth = nth % naive.waiting.len();
            let request = naive.waiting[nth].ask.request.clone();
            naive.remove(&request);
            harness.dispatcher.cancel(&Cancel { ask: 1, request });
        }
        Op::End { nth } if !naive.running.is_empty() => {
            let ended = naive.running.remove(nth % naive.running.len());
            harness.end(&ended.ask.request, &ended.target);
        }
        Op::FirstToken { nth } if !naive.running.is_empty() => {
            let nth = nth % naive.running.len();
            let running = &mut naive.running[nth];
            running.prefilled = true;
            let after = Duration::from_millis(100);
            let kind = ReportKind::FirstToken { after };
            harness.report(&running.ask.request, &running.target, kind);
        }
        Op::Leave { target } => harness.set_state(*target, TargetState::Draining),
        Op::Return { target } => harness.set_state(*target, TargetState::Live),
        Op::Slow { nth } if !naive.running.is_empty() => {
            let running = &naive.running[nth % naive.running.len()];
            let (request, target) = (running.ask.request.clone(), running.target.clone());
            for step_ms in [8; 20].into_iter().chain([80; 3]) {
                harness.steps(&request, &target, step_ms, 1);
                check(harness, naive)?;
            }
        }
        Op::Cancel { .. } | Op::End { .. } | Op::FirstToken { .. } | Op::Slow { .. } => {}
    }
    check(harness, naive)
}

/// Checks the verdicts of one step, and takes them over.
fn check(harness: &mut Harness, naive: &mut Naive) -> Result<(), String> {
    let mut granted = BTreeMap::new();
    let mut shed = Vec::new();
    for verdict in harness.verdicts() {
        match verdict {
            Verdict::Grant(grant) => {
                let twice = granted.insert(grant.request.clone(), grant.target.id);
                if twice.is_some() {
                    return Err(format!("{} granted twice", grant.request));
                }
            }
            Verdict::Refuse(refuse) if refuse.kind == ErrorKind::Overloaded => {
                shed.push(refuse.request);
            }
            Verdict::Refuse(refuse) if refuse.kind == ErrorKind::NoTarget => {
                naive.waiting.retain(|w| w.ask.request != refuse.request);
            }
            Verdict::Refuse(_) => {}
        }
    }
    let targets = harness.dispatcher.status().targets;
    while let Some((request, open)) = naive.next(&targets) {
        let target = granted
            .remove(&request)
            .ok_or(format!("{request} not granted"))?;
        if !open.contains(&target) {
            return Err(format!("{request} went to {target}, open are {open:?}"));
        }
        naive.grant(&request, &target);
        harness.report(&request, &target, ReportKind::Began);
    }
    if !granted.is_empty() {
        return Err(format!("granted out of order: {granted:?}"));
    }
    while naive.waiting.len() > WAITING_LIMIT {
        let victim = naive.victim();
        let gone = naive.remove(&victim);
        let lowest = naive.waiting.iter().map(|w| w.ask.tier).max();
        if lowest > Some(gone.ask.tier) {
            return Err(format!("{victim} shed before lower-tier work"));
        }
        let at = shed.iter().position(|request| *request == victim);
        shed.remove(at.ok_or(format!("{victim} not shed"))?);
    }
    match shed.is_empty() {
        true => Ok(()),
        false => Err(format!("shed in vain: {shed:?}")),
    }
}

fn agree(ops: Vec<Op>) -> Result<(), String> {
    let mut harness = Harness::new(&[1, 3, 8], WAITING_LIMIT, PATIENCE);
    let mut naive = Naive::default();
    for (id, op) in ops.iter().enumerate() {
        apply(&mut harness, &mut naive, op, id)?;
        let status = harness.dispatcher.status();
        let waiting: usize = status.waiting.iter().map(|tier| tier.waiting).sum();
        if waiting != naive.waiting.len() || status.running != naive.running.len() {
            return Err(format!("lost: {status:?} but {naive:?}"));
        }
    }
    finish(&mut harness, &mut naive)
}

/// Ends all that runs until nothing is left: each ask has its verdict.
fn finish(harness: &mut Harness, naive: &mut Naive) -> Result<(), String> {
    for target in 0..harness.pool.targets.len() {
        apply(harness, naive, &Op::Return { target }, 0)?;
    }
    while !naive.running.is_empty() {
        apply(harness, naive, &Op::End { nth: 0 }, 0)?;
    }
    match naive.waiting.is_empty() {
        true => Ok(()),
        false => Err(format!("left waiting: {:?}", naive.waiting)),
    }
}

#[test]
fn order_and_shedding_are_those_of_a_rescanned_list() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(400)
        .quickcheck(agree as fn(Vec<Op>) -> Result<(), String>);
}
