//! Which targets are open to an ask, and which of them is best.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::affinity::Affinity;
use super::health;
use super::queue::{Lane, Priority};
use super::reservation::Reservation;
use super::target::Target;
use super::work::Work;
use crate::ids::{DataCentre, Tier};
use crate::target_life::TargetLife;

/// Part of the slots (one in so many) that only urgent tiers may take.
pub const HEADROOM_DIVISOR: u32 = 8;
/// Targets with the least load that are looked at closely.
const MAX_LEAST_LOADED: usize = 8;
/// Holders of the prefix that are looked at closely.
pub(super) const MAX_HOLDERS: usize = 16;
/// Prefill tokens outstanding at a target beyond which it gets no more.
pub const PREFILL_LIMIT: u64 = 8192;
/// What an error costs a caller: at least the time until its second try. A target that errs is
/// avoided for as long as the others can take its work in less, and never left out altogether:
/// where all err, one of them still may answer.
const ERROR_PENALTY: Duration = Duration::from_secs(2);
/// Targets whose expected times differ by less than this part, or by less than these seconds, are
/// as good: estimates are no finer, and work that always went to the first of them would leave
/// the others unseen, and all of it to one that fails. Nine daemons that see the same would also send
/// what comes to them within twenty milliseconds to the one best target.
const TIE_RATIO: f64 = 0.15;
const TIE_MARGIN_S: f64 = 0.000_5;
/// Time of reading outstanding at a target beyond which it gets no more work with an objective, by
/// how many tiers in use go before it. What waits here goes to whichever target is done first, in the
/// order of tiers; what waits at a target does neither, and all streams there pause while it is read.
const PREFILL_BACKLOG_LIMITS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(90),
    Duration::from_millis(60),
];
/// Prompts longer than this are long; a silent target is tried by a shorter one.
pub const LONG_PROMPT_TOKENS: u64 = 2048;
/// Part of the expected answer that a request is judged by when it is refused for its deadline.
const OPTIMISTIC_LENGTH_RATIO: f64 = 0.5;
/// How often the prefill of an ask that isn't urgent counts for the pool: what one prompt reads
/// again, those behind it wait for. Without it copies of a prefix spread over all targets as
/// soon as their holders are busy, and push each other out of the caches.
const SHARED_PREFILL_WEIGHT: f64 = 1.0;
/// Part of the likely time to the whole answer that must be left at the grant. An ask that is
/// granted with less is mostly cut off by its deadline, and its prefill was in vain.
const MIN_TIME_RATIO: f64 = 0.8;
/// Tiers from 0 on that may use the headroom.
const URGENT_TIERS: Tier = 1;

/// What the choice needs to know of an ask.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Where the caller's daemon is.
    pub data_centre: &'a DataCentre,
    /// Tokens in one block of the prefix.
    pub block_tokens: u32,
    /// Time in which a target has to finish the answer, if it resumes one.
    pub finish_within: Option<Duration>,
    /// Targets that are out of the question.
    pub exclusions: &'a [TargetLife],
    /// Time in which its caller expects a first token, if it told one.
    pub objective: Option<Duration>,
    /// Kind of room that is needed.
    pub lane: Lane,
    /// Digests of the prompt.
    pub prefix: &'a [u64],
    /// Where the ask stands among those that wait.
    pub priority: Priority,
    /// Tier of the ask.
    pub tier: Tier,
    /// What the tiers before its own reserve.
    pub reservation: Reservation,
    /// Tiers before its own that use the pool.
    pub tiers_before: usize,
    /// Expected length.
    pub work: Work,
}

impl Requirements<'_> {
    /// Whether its caller expects a first token by some time.
    #[must_use]
    pub fn has_objective(&self) -> bool {
        self.objective.is_some()
    }
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Time to the whole answer by which the ask is judged at its grant, in seconds.
    pub earliest_completion: f64,
    /// Tokens of prefill left after what the cache is believed to save.
    pub prefill: u64,
    /// The target.
    pub target: TargetLife,
}

/// Room in a pool at one moment. Only targets that are well count: the free slots of a hung one
/// would pass for the headroom, and urgent work would find no way in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Targets with a long prefill outstanding.
    long_prefills: usize,
    /// Slots of the targets that may get new work.
    slots: u32,
    /// Slots that are taken.
    taken: u32,
    /// Number of these targets.
    healthy_targets: usize,
}

impl Occupancy {
    /// Looks at all targets.
    #[must_use]
    pub fn of(targets: &IndexMap<TargetLife, Target>, now: Instant) -> Self {
        let is_healthy = |target: &&Target| target.health.state() == health::State::Well;
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

    /// Whether the pool as a whole has room for this tier and lane. Work that isn't urgent
    /// leaves a part of all slots, and a part of the targets free of long prompts: prefill
    /// can't be interrupted, and with one on each target an urgent ping waits for seconds.
    #[must_use]
    pub fn admits(self, tier: Tier, lane: Lane, prefill: u64) -> bool {
        if is_urgent(tier) {
            return true;
        }
        let headroom = match self.slots {
            0 | 1 => 0,
            slots => slots.div_ceil(HEADROOM_DIVISOR),
        };
        let max_long_prefills = (self.healthy_targets - self.healthy_targets / 4).max(1);
        let is_long = lane == Lane::Long || prefill > LONG_PROMPT_TOKENS;
        self.taken.saturating_add(headroom) < self.slots
            && (!is_long || self.long_prefills < max_long_prefills)
    }
}

/// Whether a target is open to an ask of this tier. Doesn't look at the ask's own length, else
/// a long request would wait for ever behind short ones that still fit.
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
        health::State::Hung => {
            // Urgent work doesn't go on a trial unless there is nothing better.
            let is_short = needs.work.prefill <= LONG_PROMPT_TOKENS;
            target.health.is_trial_due(now)
                && is_short
                && (!urgent || occupancy.healthy_targets == 0)
        }
        health::State::Trial => false,
        health::State::Well => {
            needs.has_objective() || occupancy.admits(needs.tier, needs.lane, needs.work.prefill)
        }
    };
    target.live
        && accepts_work
        && target.is_within_rate_limit(needs.priority, needs.reservation.requests(), now)
        && !target.is_held_for_peer(needs.priority, now)
        && target.estimate.batch(now).saturating_add(reserved) < slots
        && has_prefill_capacity(target, needs, now)
        && finishes_in_time(target, needs, now)
        && !needs.exclusions.contains(&target.life)
}

/// Whether the prompts before it leave the ask a timely first token.
fn has_prefill_capacity(target: &Target, needs: &Requirements<'_>, now: Instant) -> bool {
    let outstanding = target.estimate.outstanding().prefill;
    if !needs.has_objective() {
        return outstanding < PREFILL_LIMIT;
    }
    let limit = PREFILL_BACKLOG_LIMITS[needs.tiers_before.min(PREFILL_BACKLOG_LIMITS.len() - 1)];
    outstanding as f64 / target.estimate.prefill_rate(now) < limit.as_secs_f64()
}

/// Whether the target is expected to finish a resumed answer in time.
fn finishes_in_time(target: &Target, needs: &Requirements<'_>, now: Instant) -> bool {
    let likely_completion = || likely_completion(target, needs, 0, now) * MIN_TIME_RATIO;
    needs
        .finish_within
        .is_none_or(|limit| likely_completion() <= limit.as_secs_f64())
}

/// Whether a tier may use the headroom.
#[must_use]
pub fn is_urgent(tier: Tier) -> bool {
    tier < URGENT_TIERS
}

/// Whether any target is open to an ask.
#[must_use]
pub fn any_eligible(
    targets: &IndexMap<TargetLife, Target>,
    needs: &Requirements<'_>,
    occupancy: Occupancy,
    now: Instant,
) -> bool {
    targets
        .values()
        .any(|t| is_eligible(t, needs, occupancy, now))
}

/// The open target with the least expected time to the whole answer.
///
/// The least loaded and those that hold the prefix are compared closely. A holder wins only if
/// the prefill it saves is longer than the wait for what is already there.
#[must_use]
pub fn choose(
    targets: &IndexMap<TargetLife, Target>,
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
        let blocks = affinity.matched_blocks(&target.life, needs.prefix) as u64;
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
            targets.get_index_of(&target.life),
        )
    };
    let (_, saved, target) = tied.min_by_key(|(_, _, target)| tie_break(target))?;
    Some(Choice {
        earliest_completion: earliest_completion(target, needs, saved, now)
            .max(likely_completion(target, needs, saved, now) * MIN_TIME_RATIO),
        prefill: needs.work.prefill - saved,
        target: target.life.clone(),
    })
}

/// Earliest time to the whole answer in seconds; a request is refused by it, so it is taken
/// from the good side: the answer may be shorter than others were.
#[must_use]
pub fn earliest_completion(
    target: &Target,
    needs: &Requirements<'_>,
    saved: u64,
    now: Instant,
) -> f64 {
    let estimate = &target.estimate;
    let decode = needs.work.decode as f64 * OPTIMISTIC_LENGTH_RATIO;
    let prefill = (needs.work.prefill - saved) as f64 / estimate.prefill_rate(now);
    prefill + decode * estimate.step(1, now)
}

/// Likely time to the whole answer in seconds, behind what the target already has.
fn likely_completion(target: &Target, needs: &Requirements<'_>, saved: u64, now: Instant) -> f64 {
    let estimate = &target.estimate;
    let own_prefill = needs.work.prefill.saturating_sub(saved);
    let prefill = estimate.outstanding().prefill.saturating_add(own_prefill);
    let step = estimate.step(estimate.batch(now).saturating_add(1), now);
    prefill as f64 / estimate.prefill_rate(now) + needs.work.decode as f64 * step
}

/// Expected time to the whole answer in seconds. Prefill counts once more for the part of the
/// batch that it holds up, and again for the pool, unless the ask is urgent.
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
    prefill + estimate.overhead() + decode + errors
}
