//! Compares order and shedding of the dispatcher with a reference model: a list that is sorted and
//! rescanned at each step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilaccrank::dispatch::message::{Cancel, PartialAnswer, ReportKind, Submission, Verdict};
use lilaccrank::dispatch::status::TargetStatus;
use lilaccrank::document::TargetState;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_instance::TargetInstance;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::dispatch_harness::{self, Harness};

/// Partial answer that resumed requests start with.
const PARTIAL: PartialAnswer = PartialAnswer {
    remaining: None,
    tokens: 40,
};
/// Prompt length from which a request counts as long.
const LONG_PROMPT_TOKENS: u32 = 3000;
/// Longer than any run, because the reference model does not detect unresponsive targets.
const MIN_HANG_TIMEOUT: Duration = Duration::from_secs(3600);
/// Fixed, so that each run generates the same operations.
const SEED: u64 = 4;
const WAITING_LIMIT: usize = 8;

/// One operation on the dispatcher and the reference model.
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

/// A queued submission and its position in the order of arrival.
#[derive(Clone, Debug)]
struct Waiting {
    submission: Submission,
    sequence: usize,
}

impl Waiting {
    /// Returns the tokens charged to the customer: prompt, partial answer and what is left of the limit.
    fn tokens(&self) -> u64 {
        let partial = self.submission.partial.map_or(0, |partial| partial.tokens);
        let left = self.submission.max_tokens.saturating_sub(partial);
        u64::from(self.submission.prompt_tokens + partial) + u64::from(left)
    }

    fn is_long(&self) -> bool {
        self.submission.prompt_tokens == LONG_PROMPT_TOKENS
    }

    /// Returns the request class: requests with different needs of targets do not block each other.
    fn request_class(&self) -> (bool, bool, bool) {
        let partial = self.submission.partial.is_some();
        let excluding = !partial && !self.submission.exclusions.is_empty();
        (partial, excluding, self.is_long() && !excluding && !partial)
    }
}

/// A granted request.
#[derive(Debug)]
struct Running {
    submission: Submission,
    prefilled: bool,
    target: String,
}

impl Running {
    /// Returns the tokens that its target has to prefill.
    fn prompt(&self) -> u32 {
        self.submission.prompt_tokens + self.submission.partial.map_or(0, |partial| partial.tokens)
    }
}

/// Queue and grants as the dispatcher should have them.
#[derive(Debug, Default)]
struct ReferenceModel {
    running: Vec<Running>,
    /// Virtual time of each customer in each tier.
    customer_virtual_time: BTreeMap<(u8, String), u64>,
    sequence: usize,
    /// Virtual time of each tier.
    tier_virtual_time: BTreeMap<u8, u64>,
    waiting: Vec<Waiting>,
}

impl ReferenceModel {
    fn arrive(&mut self, submission: Submission) {
        let busy = self.waiting.iter().any(|w| {
            w.submission.tier == submission.tier && w.submission.customer == submission.customer
        });
        let tier_virtual_time = self
            .tier_virtual_time
            .get(&submission.tier)
            .copied()
            .unwrap_or(0);
        let customer_virtual_time = self
            .customer_virtual_time
            .entry((submission.tier, submission.customer.clone()))
            .or_default();
        if !busy {
            *customer_virtual_time = tier_virtual_time.max(*customer_virtual_time);
        }
        self.sequence += 1;
        self.waiting.push(Waiting {
            submission,
            sequence: self.sequence,
        });
    }

    fn remove(&mut self, request: &str) -> Waiting {
        let index = self
            .waiting
            .iter()
            .position(|w| w.submission.request == request)
            .unwrap();
        self.waiting.remove(index)
    }

    fn customer_virtual_time(&self, waiting: &Waiting) -> u64 {
        self.customer_virtual_time[&(waiting.submission.tier, waiting.submission.customer.clone())]
    }

    /// Returns all queued requests in dispatch order.
    fn sorted(&self) -> Vec<&Waiting> {
        let mut sorted: Vec<&Waiting> = self.waiting.iter().collect();
        sorted.sort_by_key(|w| {
            (
                w.submission.tier,
                w.submission.partial.is_none(),
                self.customer_virtual_time(w),
                w.sequence,
            )
        });
        sorted
    }

    /// Returns the targets that may take a request now.
    fn eligible(&self, waiting: &Waiting, targets: &[TargetStatus]) -> BTreeSet<String> {
        let running_on = |id: &str| {
            let id = id.to_owned();
            self.running.iter().filter(move |r| r.target == id)
        };
        let pending_prefill =
            |id: &str| running_on(id).filter(|r| !r.prefilled).map(Running::prompt);
        let live: Vec<&TargetStatus> = targets.iter().filter(|t| t.live).collect();
        let slots: u32 = live.iter().map(|t| t.slots).sum();
        let taken: u32 = live.iter().map(|t| running_on(&t.id).count() as u32).sum();
        let long = live
            .iter()
            .filter(|t| pending_prefill(&t.id).any(|p| p >= LONG_PROMPT_TOKENS))
            .count();
        let urgent = waiting.submission.tier == 0;
        let headroom = if slots > 1 { slots.div_ceil(8) } else { 0 };
        let long_prompt_targets = (live.len() - live.len() / 4).max(1);
        let full = taken + headroom >= slots || (waiting.is_long() && long >= long_prompt_targets);
        if !urgent && full {
            return BTreeSet::new();
        }
        let eligible = live.into_iter().filter(|t| {
            let reserved = if urgent { 0 } else { t.slots / 8 };
            running_on(&t.id).count() as u32 + reserved < t.slots
                && pending_prefill(&t.id).sum::<u32>() < 8192
                && !waiting
                    .submission
                    .exclusions
                    .contains(&TargetInstance::from(&*t.id))
        });
        eligible.map(|t| t.id.clone()).collect()
    }

    /// Returns the first request in dispatch order that has an eligible target. Within a size
    /// class, a customer's requests are dispatched in order.
    fn next(&self, targets: &[TargetStatus]) -> Option<(String, BTreeSet<String>)> {
        let mut blocked = BTreeSet::new();
        for waiting in self.sorted() {
            let customer_request_class = (
                waiting.submission.tier,
                waiting.submission.customer.clone(),
                waiting.request_class(),
            );
            if !blocked.insert(customer_request_class) {
                continue;
            }
            let eligible = self.eligible(waiting, targets);
            if !eligible.is_empty() {
                return Some((waiting.submission.request.clone(), eligible));
            }
        }
        None
    }

    fn grant(&mut self, request: &str, target: &str) {
        let waiting = self
            .waiting
            .iter()
            .find(|w| w.submission.request == request)
            .unwrap();
        let (key, tokens) = (
            (waiting.submission.tier, waiting.submission.customer.clone()),
            waiting.tokens(),
        );
        let customer_virtual_time = self.customer_virtual_time.get_mut(&key).unwrap();
        let tier_virtual_time = self.tier_virtual_time.entry(key.0).or_default();
        *tier_virtual_time = (*tier_virtual_time).max(*customer_virtual_time);
        *customer_virtual_time += tokens * 1024 / u64::from(waiting.submission.weight);
        let submission = self.remove(request).submission;
        self.running.push(Running {
            submission,
            prefilled: false,
            target: target.to_owned(),
        });
    }

    /// Returns the request to shed: in the lowest tier, the newest one of the customer with the largest
    /// backlog by weight.
    fn victim(&self) -> String {
        let tier = self
            .waiting
            .iter()
            .map(|w| w.submission.tier)
            .max()
            .unwrap();
        let candidates: Vec<&Waiting> = self
            .waiting
            .iter()
            .filter(|w| w.submission.tier == tier)
            .collect();
        let backlog = |customer: &str| {
            let own = candidates
                .iter()
                .filter(|w| w.submission.customer == customer);
            own.map(|w| w.tokens()).sum::<u64>() * 1024
        };
        let key = |w: &&&Waiting| {
            let excess = backlog(&w.submission.customer) / u64::from(w.submission.weight);
            (excess, w.submission.customer.clone(), w.sequence)
        };
        candidates
            .iter()
            .max_by_key(key)
            .unwrap()
            .submission
            .request
            .clone()
    }
}

/// Applies one operation to the dispatcher and the model and compares the results.
fn apply(
    harness: &mut Harness,
    model: &mut ReferenceModel,
    op: &Op,
    id: usize,
) -> Result<(), String> {
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
            let mut submission = dispatch_harness::submission(&format!("r{id}"), *tier);
            submission.partial = partial.then_some(PARTIAL);
            submission.customer = format!("c{customer}");
            submission.exclusions = exclude
                .iter()
                .map(|i| TargetInstance::from(&*format!("t{i}")))
                .collect();
            submission.max_tokens = u32::from(*max_tokens);
            submission.prompt_tokens = if *long {
                LONG_PROMPT_TOKENS
            } else {
                submission.prompt_tokens
            };
            submission.weight = 1 + u32::from(customer % 2);
            let live = harness
                .pool
                .targets
                .iter()
                .filter(|t| t.state == TargetState::Live);
            if live
                .clone()
                .any(|t| !submission.exclusions.contains(&TargetInstance::of(t)))
            {
                model.arrive(submission.clone());
            }
            harness.submit(submission);
        }
        Op::Cancel { nth } if !model.waiting.is_empty() => {
            let nth = nth % model.waiting.len();
            let request = model.waiting[nth].submission.request.clone();
            model.remove(&request);
            harness.dispatcher.cancel(&Cancel {
                submission: 1,
                request,
            });
        }
        Op::End { nth } if !model.running.is_empty() => {
            let ended = model.running.remove(nth % model.running.len());
            harness.end(&ended.submission.request, &ended.target);
        }
        Op::FirstToken { nth } if !model.running.is_empty() => {
            let nth = nth % model.running.len();
            let running = &mut model.running[nth];
            running.prefilled = true;
            let after = Duration::from_millis(100);
            let kind = ReportKind::FirstToken { after };
            harness.report(&running.submission.request, &running.target, kind);
        }
        Op::Leave { target } => harness.set_state(*target, TargetState::Draining),
        Op::Return { target } => {
            harness.set_state(*target, TargetState::Live);
            harness.prove_targets();
        }
        Op::Slow { nth } if !model.running.is_empty() => {
            let running = &model.running[nth % model.running.len()];
            let (request, target) = (running.submission.request.clone(), running.target.clone());
            for step_ms in [8; 20].into_iter().chain([80; 3]) {
                harness.report_steps(&request, &target, step_ms, 1);
                check(harness, model)?;
            }
        }
        Op::Cancel { .. } | Op::End { .. } | Op::FirstToken { .. } | Op::Slow { .. } => {}
    }
    check(harness, model)
}

/// Compares the verdicts of one step with the model and updates the model.
fn check(harness: &mut Harness, model: &mut ReferenceModel) -> Result<(), String> {
    let mut granted = BTreeMap::new();
    let mut shed = Vec::new();
    for verdict in harness.verdicts() {
        match verdict {
            Verdict::Grant(grant) => {
                let previous = granted.insert(grant.request.clone(), grant.target.id);
                if previous.is_some() {
                    return Err(format!("{} granted twice", grant.request));
                }
            }
            Verdict::Refuse(refuse) if refuse.kind == ErrorKind::Overloaded => {
                shed.push(refuse.request);
            }
            Verdict::Refuse(refuse) if refuse.kind == ErrorKind::NoTarget => {
                model
                    .waiting
                    .retain(|w| w.submission.request != refuse.request);
            }
            Verdict::Refuse(_) => {}
        }
    }
    let targets = harness.dispatcher.status().targets;
    while let Some((request, eligible)) = model.next(&targets) {
        let target = granted
            .remove(&request)
            .ok_or(format!("{request} not granted"))?;
        if !eligible.contains(&target) {
            return Err(format!(
                "{request} granted to {target}, eligible are {eligible:?}"
            ));
        }
        model.grant(&request, &target);
        harness.report(&request, &target, ReportKind::Began);
    }
    if !granted.is_empty() {
        return Err(format!("granted out of order: {granted:?}"));
    }
    while model.waiting.len() > WAITING_LIMIT {
        let victim = model.victim();
        let removed = model.remove(&victim);
        let lowest = model.waiting.iter().map(|w| w.submission.tier).max();
        if lowest > Some(removed.submission.tier) {
            return Err(format!("{victim} shed before lower-tier work"));
        }
        let index = shed.iter().position(|request| *request == victim);
        shed.remove(index.ok_or(format!("{victim} not shed"))?);
    }
    match shed.is_empty() {
        true => Ok(()),
        false => Err(format!("shed without need: {shed:?}")),
    }
}

/// Runs the operations on both and returns the first difference.
fn matches_reference_model(ops: Vec<Op>) -> Result<(), String> {
    let mut harness = Harness::new(&[1, 3, 8], WAITING_LIMIT, MIN_HANG_TIMEOUT);
    let mut model = ReferenceModel::default();
    for (id, op) in ops.iter().enumerate() {
        apply(&mut harness, &mut model, op, id)?;
        let status = harness.dispatcher.status();
        let waiting: usize = status.waiting.iter().map(|tier| tier.waiting).sum();
        if waiting != model.waiting.len() || status.running != model.running.len() {
            return Err(format!("counts differ: {status:?} but {model:?}"));
        }
    }
    finish(&mut harness, &mut model)
}

/// Ends all running requests until the queue is empty, so that every submission has got its
/// verdict.
fn finish(harness: &mut Harness, model: &mut ReferenceModel) -> Result<(), String> {
    for target in 0..harness.pool.targets.len() {
        apply(harness, model, &Op::Return { target }, 0)?;
    }
    while !model.running.is_empty() {
        apply(harness, model, &Op::End { nth: 0 }, 0)?;
    }
    match model.waiting.is_empty() {
        true => Ok(()),
        false => Err(format!("left waiting: {:?}", model.waiting)),
    }
}

#[test]
fn order_and_shedding_match_the_reference_model() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(400)
        .quickcheck(matches_reference_model as fn(Vec<Op>) -> Result<(), String>);
}
