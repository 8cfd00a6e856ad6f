//! Target selection: which targets are eligible for a submission, and which of them is best.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::affinity::Affinity;
use super::health;
use super::queue::{Priority, RequestClass};
use super::reservation::Reservation;
use super::target::Target;
use super::work::Work;
use crate::ids::{DataCentre, Tier};
use crate::paths::Route;
use crate::software_version::VersionNeeds;
use crate::target_instance::TargetInstance;

/// One in this many slots is reserved for urgent tiers.
pub const HEADROOM_DIVISOR: u32 = 8;
/// Number of least loaded targets that are scored with their cached prefix.
const MAX_LEAST_LOADED: usize = 8;
/// Maximum number of targets with a cached prefix that are scored.
pub(super) const MAX_HOLDERS: usize = 16;
/// Outstanding prefill tokens at which a target gets no more work without an objective.
pub const PREFILL_LIMIT: u64 = 8192;
/// Cost of an error for a caller, who loses at least the time until the retry. Weighted by the
/// error rate, it steers work away from a failing target while the others can serve it in less
/// time, but never excludes the target: if all targets fail, one may still answer.
const ERROR_PENALTY: Duration = Duration::from_secs(2);
/// Cost of sending through another daemon, which does the work of passing the answer on.
const RELAY_COST: Duration = Duration::from_millis(10);
/// Relative and absolute (in seconds) difference in cost below which targets count as tied.
/// Estimates are no more accurate than this. If the single best target always won, the others would
/// never be measured, and a failing target could attract all work. Nine daemons with the same view
/// would also send everything that arrives within 20 ms to the same target.
const TIE_RATIO: f64 = 0.15;
const TIE_MARGIN_S: f64 = 0.000_5;
/// Maximum prefill backlog of a target, in time, for further work with an objective, indexed by the
/// number of active tiers before its own. Submissions in the dispatcher's queue go to the first
/// target that becomes free, in tier order. Those behind a target's backlog are bound to that
/// target, whatever their tier, and prefill also pauses all streams on the target.
const PREFILL_BACKLOG_LIMITS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(90),
    Duration::from_millis(60),
];
/// Prompts with more tokens than this are long. Trials of an unresponsive target use shorter ones.
pub const LONG_PROMPT_TOKENS: u64 = 2048;
/// Fraction of the expected answer length that is assumed when a submission is checked against its
/// deadline.
const OPTIMISTIC_LENGTH_RATIO: f64 = 0.5;
/// Weight of the prefill of a non-urgent submission as a cost to the pool, since the submissions
/// behind it wait for it. Without this cost, copies of a prefix spread to all targets as soon as
/// its holders are busy, and evict each other from the caches.
const SHARED_PREFILL_WEIGHT: f64 = 1.0;
/// Fraction of the likely completion time that must remain until the deadline when a submission is
/// granted. With less time, most answers are cut off by the deadline and their prefill is wasted.
const MIN_TIME_RATIO: f64 = 0.8;
/// Number of tiers, starting at 0, that may use the headroom.
const URGENT_TIERS: Tier = 1;

/// Requirements of a submission on a target.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Data centre of the caller's daemon.
    pub data_centre: &'a DataCentre,
    /// Tokens per block of the prefix.
    pub block_tokens: u32,
    /// How far the expected length of the answer rests on evidence, up to 1.
    pub certainty: f64,
    /// Time within which the target must finish the answer, for a resumed answer.
    pub finish_within: Option<Duration>,
    /// Targets that must not be chosen.
    pub exclusions: &'a [TargetInstance],
    /// Time until the caller expects the first token, if it has an objective.
    pub objective: Option<Duration>,
    /// Request class of the submission in the queue.
    pub request_class: RequestClass,
    /// Digests of the blocks of the prompt.
    pub prefix: &'a [u64],
    /// Priority of the submission.
    pub priority: Priority,
    /// Tier of the submission.
    pub tier: Tier,
    /// Slots reserved for the tiers before its own.
    pub reservation: Reservation,
    /// Number of active tiers before its own.
    pub tiers_before: usize,
    /// What it demands of the version of its target.
    pub versions: VersionNeeds,
    /// Expected length in tokens.
    pub work: Work,
}

impl Requirements<'_> {
    /// Returns `true` if the caller expects the first token within a given time.
    #[must_use]
    pub fn has_objective(&self) -> bool {
        self.objective.is_some()
    }

    /// Tokens of the answer that there is evidence for. With little evidence few deadlines count as missed
    /// because of the answer's length.
    fn certain_decode(&self) -> f64 {
        self.work.decode as f64 * self.certainty
    }
}

/// Target selected for a submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Completion time in seconds that is checked against the deadline when the submission is
    /// granted.
    pub earliest_completion: f64,
    /// Prefill tokens that remain after the expected cache hits.
    pub prefill: u64,
    /// Selected target.
    pub target: TargetInstance,
}

/// Occupancy of a pool at one moment. Only targets that are healthy, can be reached and are in no
/// pushback count: the free slots of others would count as headroom, and urgent work would find no free
/// slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Healthy targets with an outstanding long prefill.
    long_prefills: usize,
    /// Slots of the healthy targets.
    slots: u32,
    /// Occupied slots of the healthy targets.
    taken: u32,
    /// Number of healthy targets.
    healthy_targets: usize,
}

impl Occupancy {
    /// Computes the occupancy of the live and healthy targets.
    #[must_use]
    pub fn of(targets: &IndexMap<TargetInstance, Target>, now: Instant) -> Self {
        let is_healthy = |target: &&Target| {
            target.health.state() == health::State::Healthy
                && target.pushback.is_none()
                && target.route != Route::Unreachable
        };
        let healthy = targets
            .values()
            .filter(|target| target.live)
            .filter(is_healthy);
        healthy.fold(Self::default(), |occupancy, target| Self {
            long_prefills: occupancy.long_prefills + usize::from(target.long_prefills > 0),
            slots: occupancy.slots.saturating_add(target.effective_slots(now)),
            taken: occupancy.taken.saturating_add(target.estimate.batch(now)),
            healthy_targets: occupancy.healthy_targets + 1,
        })
    }

    /// Returns `true` if the pool as a whole has capacity for this tier and request class.
    /// Non-urgent work leaves some slots free, and keeps a quarter of the targets free of long
    /// prompts: prefill can't be interrupted, and with a long prompt on every target a short urgent
    /// request would wait for seconds.
    #[must_use]
    pub fn admits(self, tier: Tier, request_class: RequestClass, prefill: u64) -> bool {
        if is_urgent(tier) {
            return true;
        }
        let headroom = match self.slots {
            0 | 1 => 0,
            slots => slots.div_ceil(HEADROOM_DIVISOR),
        };
        let max_long_prefills = (self.healthy_targets - self.healthy_targets / 4).max(1);
        let is_long = request_class == RequestClass::Long || prefill > LONG_PROMPT_TOKENS;
        self.taken.saturating_add(headroom) < self.slots
            && (!is_long || self.long_prefills < max_long_prefills)
    }
}

/// Returns `true` if a target may serve a submission of this tier. The prefill limits count
/// outstanding work only, not the submission's own prompt: otherwise a long request could starve
/// behind short ones that still fit.
#[must_use]
pub fn is_eligible(
    target: &Target,
    needs: &Requirements<'_>,
    occupancy: Occupancy,
    now: Instant,
) -> bool {
    let urgent = is_urgent(needs.tier);
    let slots = target.effective_slots(now);
    let reserved = match (needs.has_objective(), urgent) {
        (true, _) => needs
            .reservation
            .slots(slots, likely_completion(target, needs, 0, now)),
        (false, true) => 0,
        (false, false) => slots / HEADROOM_DIVISOR,
    };
    let accepts_work = match target.health.state() {
        health::State::Unresponsive => {
            // Urgent work is sent on a trial only if no target is healthy.
            let is_short = needs.work.prefill <= LONG_PROMPT_TOKENS;
            target.health.is_trial_due(now)
                && is_short
                && (!urgent || occupancy.healthy_targets == 0)
        }
        health::State::HalfOpen => false,
        health::State::Healthy => {
            needs.has_objective()
                || occupancy.admits(needs.tier, needs.request_class, needs.work.prefill)
        }
    };
    target.serves(needs.versions)
        && target.route != Route::Unreachable
        && accepts_work
        && target.pushback.is_none_or(|pushback| pushback.allows(now))
        && target.is_within_rate_limit(needs.priority, needs.reservation.requests(), now)
        && !target.is_held_for_peer(needs.priority, now)
        && !target.is_held(now)
        && target.unanswered.allows(target.estimate.batch(now), now)
        && target.estimate.batch(now).saturating_add(reserved) < slots
        && has_prefill_capacity(target, needs, now)
        && finishes_in_time(target, needs, now)
        && !needs.exclusions.contains(&target.instance)
}

/// Returns `true` if the target's prefill backlog still allows a timely first token.
fn has_prefill_capacity(target: &Target, needs: &Requirements<'_>, now: Instant) -> bool {
    let outstanding = target.estimate.outstanding().prefill;
    if !needs.has_objective() {
        return outstanding < PREFILL_LIMIT;
    }
    let limit = PREFILL_BACKLOG_LIMITS[needs.tiers_before.min(PREFILL_BACKLOG_LIMITS.len() - 1)];
    outstanding as f64 / target.estimate.prefill_rate(now) < limit.as_secs_f64()
}

/// Returns `true` if the target is likely to finish a resumed answer in time.
fn finishes_in_time(target: &Target, needs: &Requirements<'_>, now: Instant) -> bool {
    let likely_completion = || likely_completion(target, needs, 0, now) * MIN_TIME_RATIO;
    needs
        .finish_within
        .is_none_or(|limit| likely_completion() <= limit.as_secs_f64())
}

/// Returns `true` if a tier may use the headroom.
#[must_use]
pub fn is_urgent(tier: Tier) -> bool {
    tier < URGENT_TIERS
}

/// Returns `true` if at least one target is eligible for a submission.
#[must_use]
pub fn any_eligible(
    targets: &IndexMap<TargetInstance, Target>,
    needs: &Requirements<'_>,
    occupancy: Occupancy,
    now: Instant,
) -> bool {
    targets
        .values()
        .any(|t| is_eligible(t, needs, occupancy, now))
}

/// Selects an eligible target with the least expected cost.
///
/// Only the least loaded targets and the holders of the prefix are scored with their cache
/// contents. A holder wins only if the prefill it saves takes longer than the wait for the work
/// already on it. Ties go to a target in the same data centre, then to the least recently granted
/// one.
#[must_use]
pub fn choose(
    targets: &IndexMap<TargetInstance, Target>,
    affinity: &Affinity,
    needs: &Requirements<'_>,
    occupancy: Occupancy,
    now: Instant,
) -> Option<Choice> {
    let mut least_loaded: Vec<(f64, &Target)> = Vec::with_capacity(MAX_LEAST_LOADED + 1);
    for target in targets.values() {
        if !is_eligible(target, needs, occupancy, now) {
            continue;
        }
        let cost = expected_cost(target, needs, 0, now);
        let index = least_loaded.partition_point(|(other, _)| *other <= cost);
        if index < MAX_LEAST_LOADED {
            least_loaded.insert(index, (cost, target));
            least_loaded.truncate(MAX_LEAST_LOADED);
        }
    }
    let holders = affinity.holders(needs.prefix, MAX_HOLDERS);
    let holders = holders
        .iter()
        .filter_map(|holder| targets.get(holder.target));
    let holders = holders.filter(|target| is_eligible(target, needs, occupancy, now));
    let candidates = least_loaded
        .iter()
        .map(|(_, target)| *target)
        .chain(holders);
    let choices = candidates.map(|target| {
        let blocks = affinity.matched_blocks(&target.instance, needs.prefix) as u64;
        let saved = (blocks * u64::from(needs.block_tokens)).min(needs.work.prefill);
        let expected_cost = expected_cost(target, needs, saved, now);
        (expected_cost, saved, target)
    });
    let choices: Vec<_> = choices.collect();
    let least = choices
        .iter()
        .map(|choice| choice.0)
        .fold(f64::INFINITY, f64::min);
    let tied = |expected_cost: f64| expected_cost <= least * (1.0 + TIE_RATIO) + TIE_MARGIN_S;
    let tied = choices.into_iter().filter(|choice| tied(choice.0));
    let is_far = |target: &Target| target.data_centre != *needs.data_centre;
    let tie_break = |target: &Target| {
        (
            is_far(target),
            target.grant_sequence,
            targets.get_index_of(&target.instance),
        )
    };
    let (_, saved, target) = tied.min_by_key(|(_, _, target)| tie_break(target))?;
    Some(Choice {
        earliest_completion: needed_time(target, needs, saved, now),
        prefill: needs.work.prefill - saved,
        target: target.instance.clone(),
    })
}

/// Optimistic completion time in seconds. A submission is refused if even this misses its deadline,
/// so the answer is assumed to be shorter than average and the target to be idle.
#[must_use]
pub fn earliest_completion(
    target: &Target,
    needs: &Requirements<'_>,
    saved: u64,
    now: Instant,
) -> f64 {
    let estimate = &target.estimate;
    let decode = needs.certain_decode() * OPTIMISTIC_LENGTH_RATIO;
    let prefill = (needs.work.prefill - saved) as f64 / estimate.prefill_rate(now);
    prefill + decode * step(target, needs, 0, now)
}

/// Likely completion time in seconds, behind the work already on the target.
fn likely_completion(target: &Target, needs: &Requirements<'_>, saved: u64, now: Instant) -> f64 {
    let decode = needs.work.decode as f64;
    completion(target, needs, decode, saved, now)
}

/// The same as far as it rests on evidence. It must remain until the deadline when a submission is granted.
fn needed_time(target: &Target, needs: &Requirements<'_>, saved: u64, now: Instant) -> f64 {
    let likely = completion(target, needs, needs.certain_decode(), saved, now);
    earliest_completion(target, needs, saved, now).max(likely * MIN_TIME_RATIO)
}

fn completion(
    target: &Target,
    needs: &Requirements<'_>,
    decode: f64,
    saved: u64,
    now: Instant,
) -> f64 {
    let estimate = &target.estimate;
    let own_prefill = needs.work.prefill.saturating_sub(saved);
    let prefill = estimate.outstanding().prefill.saturating_add(own_prefill);
    let step = step(target, needs, estimate.batch(now), now);
    prefill as f64 / estimate.prefill_rate(now) + decode * step
}

/// Expected step time in seconds, beside `running` requests.
fn step(target: &Target, needs: &Requirements<'_>, running: u32, now: Instant) -> f64 {
    match needs.request_class {
        RequestClass::Resumed => target.estimate.resumed_step(running, now),
        RequestClass::Short | RequestClass::Long | RequestClass::Excluding => {
            target.estimate.step(running.saturating_add(1), now)
        }
    }
}

/// Expected completion time plus penalties, in seconds. Prefill is counted again for the share of
/// the batch that it delays and, unless the submission is urgent, for the submissions that wait
/// behind it.
fn expected_cost(target: &Target, needs: &Requirements<'_>, saved: u64, now: Instant) -> f64 {
    let estimate = &target.estimate;
    let batch = estimate.batch(now).saturating_add(1);
    let delayed_share = f64::from(batch - 1) / f64::from(target.slots.max(1));
    let own_prefill = (needs.work.prefill - saved) as f64;
    let queued_prefill = estimate.outstanding().prefill as f64;
    let shared = if is_urgent(needs.tier) {
        0.0
    } else {
        SHARED_PREFILL_WEIGHT
    };
    let prefill = (queued_prefill + own_prefill * (1.0 + delayed_share + shared))
        / estimate.prefill_rate(now);
    let errors = target.health.error_rate(now) * ERROR_PENALTY.as_secs_f64();
    let decode = needs.work.decode as f64 * estimate.step(batch, now);
    let relay = match target.route {
        Route::Relayed => RELAY_COST.as_secs_f64(),
        Route::Direct | Route::Unreachable => 0.0,
    };
    prefill + estimate.overhead() + decode + errors + relay
}
