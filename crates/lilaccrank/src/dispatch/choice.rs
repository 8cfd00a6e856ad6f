//! Which targets are open to an ask, and which of them is best.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::affinity::Affinity;
use super::health;
use super::queue::{Lane, Standing};
use super::reservation::Reservation;
use super::target::Target;
use super::work::Work;
use crate::ids::{DataCentre, Tier};
use crate::target_instance::TargetInstance;

/// Part of the slots (one in so many) that only urgent tiers may take.
pub const HEADROOM: u32 = 8;
/// Targets with the least load that are looked at closely.
const CLOSE: usize = 8;
/// Holders of the prefix that are looked at closely.
pub(super) const HOLDERS: usize = 16;
/// Prefill tokens outstanding at a target beyond which it gets no more.
pub const PREFILL_LIMIT: u64 = 8192;
/// What an error costs a caller: at least the time until its second try. A target that errs is
/// avoided for as long as the others can take its work in less, and never left out altogether:
/// where all err, one of them still may answer.
const ERROR_COST: Duration = Duration::from_secs(2);
/// Targets whose expected times differ by less than this part, or by less than these seconds, are
/// as good: estimates are no finer, and work that always went to the first of them would leave
/// the others unseen, and all of it to one that fails. Nine daemons that see the same would also send
/// what comes to them within twenty milliseconds to the one best target.
const AS_GOOD: f64 = 0.15;
const AS_GOOD_S: f64 = 0.000_5;
/// Time of reading outstanding at a target beyond which it gets no more work with an objective, by
/// how many tiers in use go before it. What waits here goes to whichever target is done first, in the
/// order of tiers; what waits at a target does neither, and all streams there pause while it is read.
const READING: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(90),
    Duration::from_millis(60),
];
/// Prompts longer than this are long; a silent target is tried by a shorter one.
pub const LONG_PROMPT: u64 = 2048;
/// Part of the expected answer that a request is judged by when it is refused for its deadline.
const OPTIMISM: f64 = 0.5;
/// How often the prefill of an ask that isn't urgent counts for the pool: what one prompt reads
/// again, those behind it wait for. Without it copies of a prefix spread over all targets as
/// soon as their holders are busy, and push each other out of the caches.
const SHARED_PREFILL: f64 = 1.0;
/// Part of the likely time to the whole answer that must be left at the grant. An ask that is
/// granted with less is mostly cut off by its deadline, and its prefill was in vain.
const LIKELIHOOD: f64 = 0.8;
/// Tiers from 0 on that may use the headroom.
const URGENT_TIERS: Tier = 1;

/// What the choice needs to know of an ask.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Where the caller's daemon is.
    pub data_centre: &'a DataCentre,
    /// Tokens in one block of the prefix.
    pub block_tokens: u32,
    /// Time in which a target has to finish the answer, if it resumes one.
    pub finish_within: Option<Duration>,
    /// Targets that are out of the question.
    pub exclusions: &'a [TargetInstance],
    /// Time in which its caller expects a first token, if it told one.
    pub objective: Option<Duration>,
    /// Kind of room that is needed.
    pub lane: Lane,
    /// Digests of the prompt.
    pub prefix: &'a [u64],
    /// Where the ask stands among those that wait.
    pub standing: Standing,
    /// Tier of the ask.
    pub tier: Tier,
    /// What the tiers before its own reserve.
    pub reservation: Reservation,
    /// Tiers before its own that use the pool.
    pub tiers_before: usize,
    /// Expected length.
    pub work: Work,
}

impl Wanted<'_> {
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
    pub earliest: f64,
    /// Tokens of prefill left after what the cache is believed to save.
    pub prefill: u64,
    /// The target.
    pub target: TargetInstance,
}

/// Room in a pool at one moment. Only targets that are well count: the free slots of a hung one
/// would pass for the headroom, and urgent work would find no way in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Room {
    /// Targets with a long prefill outstanding.
    long: usize,
    /// Slots of the targets that may get new work.
    slots: u32,
    /// Slots that are taken.
    taken: u32,
    /// Number of these targets.
    well: usize,
}

impl Room {
    /// Looks at all targets.
    #[must_use]
    pub fn of(targets: &IndexMap<TargetInstance, Target>, now: Instant) -> Self {
        let well = |target: &&Target| target.health.state() == health::State::Well;
        let well = targets.values().filter(|target| target.live).filter(well);
        well.fold(Self::default(), |room, target| Self {
            long: room.long + usize::from(target.long > 0),
            slots: room.slots.saturating_add(target.slots_now(now)),
            taken: room.taken.saturating_add(target.estimate.batch(now)),
            well: room.well + 1,
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
            slots => slots.div_ceil(HEADROOM),
        };
        let lanes = (self.well - self.well / 4).max(1);
        let long = lane == Lane::Long || prefill > LONG_PROMPT;
        self.taken.saturating_add(headroom) < self.slots && (!long || self.long < lanes)
    }
}

/// Whether a target is open to an ask of this tier. Doesn't look at the ask's own length, else
/// a long request would wait for ever behind short ones that still fit.
#[must_use]
pub fn is_open(target: &Target, wanted: &Wanted<'_>, room: Room, now: Instant) -> bool {
    let urgent = is_urgent(wanted.tier);
    let slots = target.slots_now(now);
    let kept = match (wanted.has_objective(), urgent) {
        (true, _) => wanted
            .reservation
            .slots(slots, likely(target, wanted, 0, now)),
        (false, true) => 0,
        (false, false) => slots / HEADROOM,
    };
    let healthy = match target.health.state() {
        health::State::Hung => {
            // Urgent work doesn't go on a trial unless there is nothing better.
            let small = wanted.work.prefill <= LONG_PROMPT;
            target.health.wants_trial(now) && small && (!urgent || room.well == 0)
        }
        health::State::Trial => false,
        health::State::Well => {
            wanted.has_objective() || room.admits(wanted.tier, wanted.lane, wanted.work.prefill)
        }
    };
    target.live
        && healthy
        && target.is_within_rate_limit(wanted.standing, wanted.reservation.requests(), now)
        && !target.is_left_to_rival(wanted.standing, now)
        && target.estimate.batch(now).saturating_add(kept) < slots
        && has_reading_room(target, wanted, now)
        && finishes_in_time(target, wanted, now)
        && !wanted.exclusions.contains(&target.life)
}

/// Whether the prompts before it leave the ask a timely first token.
fn has_reading_room(target: &Target, wanted: &Wanted<'_>, now: Instant) -> bool {
    let outstanding = target.estimate.outstanding().prefill;
    if !wanted.has_objective() {
        return outstanding < PREFILL_LIMIT;
    }
    let longest = READING[wanted.tiers_before.min(READING.len() - 1)];
    outstanding as f64 / target.estimate.prefill_rate(now) < longest.as_secs_f64()
}

/// Whether the target is expected to finish a resumed answer in time.
fn finishes_in_time(target: &Target, wanted: &Wanted<'_>, now: Instant) -> bool {
    let likely = || likely(target, wanted, 0, now) * LIKELIHOOD;
    wanted
        .finish_within
        .is_none_or(|longest| likely() <= longest.as_secs_f64())
}

/// Whether a tier may use the headroom.
#[must_use]
pub fn is_urgent(tier: Tier) -> bool {
    tier < URGENT_TIERS
}

/// Whether any target is open to an ask.
#[must_use]
pub fn any_open(
    targets: &IndexMap<TargetInstance, Target>,
    wanted: &Wanted<'_>,
    room: Room,
    now: Instant,
) -> bool {
    targets.values().any(|t| is_open(t, wanted, room, now))
}

/// The open target with the least expected time to the whole answer.
///
/// The least loaded and those that hold the prefix are compared closely. A holder wins only if
/// the prefill it saves is longer than the wait for what is already there.
#[must_use]
pub fn choose(
    targets: &IndexMap<TargetInstance, Target>,
    affinity: &Affinity,
    wanted: &Wanted<'_>,
    room: Room,
    now: Instant,
) -> Option<Choice> {
    let mut close: Vec<(f64, &Target)> = Vec::with_capacity(CLOSE + 1);
    for target in targets.values() {
        if !is_open(target, wanted, room, now) {
            continue;
        }
        let cost = expected(target, wanted, 0, now);
        let at = close.partition_point(|(other, _)| *other <= cost);
        if at < CLOSE {
            close.insert(at, (cost, target));
            close.truncate(CLOSE);
        }
    }
    let holders = affinity.holders(wanted.prefix, HOLDERS);
    let holders = holders
        .iter()
        .filter_map(|holder| targets.get(holder.target));
    let holders = holders.filter(|target| is_open(target, wanted, room, now));
    let candidates = close.iter().map(|(_, target)| *target).chain(holders);
    let choices = candidates.map(|target| {
        let blocks = affinity.held(&target.life, wanted.prefix) as u64;
        let saved = (blocks * u64::from(wanted.block_tokens)).min(wanted.work.prefill);
        let expected = expected(target, wanted, saved, now);
        (expected, saved, target)
    });
    let choices: Vec<_> = choices.collect();
    let least = choices
        .iter()
        .map(|choice| choice.0)
        .fold(f64::INFINITY, f64::min);
    let as_good = |expected: f64| expected <= least * (1.0 + AS_GOOD) + AS_GOOD_S;
    let as_good = choices.into_iter().filter(|choice| as_good(choice.0));
    let is_far = |target: &Target| target.data_centre != *wanted.data_centre;
    let place = |target: &Target| {
        (
            is_far(target),
            target.turn,
            targets.get_index_of(&target.life),
        )
    };
    let (_, saved, target) = as_good.min_by_key(|(_, _, target)| place(target))?;
    Some(Choice {
        earliest: earliest(target, wanted, saved, now)
            .max(likely(target, wanted, saved, now) * LIKELIHOOD),
        prefill: wanted.work.prefill - saved,
        target: target.life.clone(),
    })
}

/// Earliest time to the whole answer in seconds; a request is refused by it, so it is taken
/// from the good side: the answer may be shorter than others were.
#[must_use]
pub fn earliest(target: &Target, wanted: &Wanted<'_>, saved: u64, now: Instant) -> f64 {
    let estimate = &target.estimate;
    let decode = wanted.work.decode as f64 * OPTIMISM;
    let prefill = (wanted.work.prefill - saved) as f64 / estimate.prefill_rate(now);
    prefill + decode * estimate.step(1, now)
}

/// Likely time to the whole answer in seconds, behind what the target already has.
fn likely(target: &Target, wanted: &Wanted<'_>, saved: u64, now: Instant) -> f64 {
    let estimate = &target.estimate;
    let own = wanted.work.prefill.saturating_sub(saved);
    let prefill = estimate.outstanding().prefill.saturating_add(own);
    let step = estimate.step(estimate.batch(now).saturating_add(1), now);
    prefill as f64 / estimate.prefill_rate(now) + wanted.work.decode as f64 * step
}

/// Expected time to the whole answer in seconds. Prefill counts once more for the part of the
/// batch that it holds up, and again for the pool, unless the ask is urgent.
fn expected(target: &Target, wanted: &Wanted<'_>, saved: u64, now: Instant) -> f64 {
    let estimate = &target.estimate;
    let batch = estimate.batch(now).saturating_add(1);
    let held_up = f64::from(batch - 1) / f64::from(target.slots.max(1));
    let own = (wanted.work.prefill - saved) as f64;
    let before = estimate.outstanding().prefill as f64;
    let shared = if is_urgent(wanted.tier) {
        0.0
    } else {
        SHARED_PREFILL
    };
    let prefill = (before + own * (1.0 + held_up + shared)) / estimate.prefill_rate(now);
    let errors = target.health.errors(now) * ERROR_COST.as_secs_f64();
    let decode = wanted.work.decode as f64 * estimate.step(batch, now);
    prefill + estimate.overhead() + decode + errors
}
