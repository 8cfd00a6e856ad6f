//! Compares the answers of a new version with those of the old ones at the same time.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, RuleEvidence, Tally};
use crate::ids::RuleId;
use crate::target_instance::InstanceDigest;

/// Probability of blaming a sound version at one comparison, at most.
const MAX_FALSE_BLAME: f64 = 1e-5;
/// Ratio to the old versions' share of bad answers up to which a version is not blamed.
const TOLERATED_RATIO: f64 = 1.5;
/// Bad answers of an old version that are assumed before any are seen, and the number of answers
/// among which they are assumed.
const ASSUMED_BAD: f64 = 0.4;
const ASSUMED_ANSWERS: f64 = 20.0;
/// Bad answers below which a version is not blamed.
const MIN_BAD: u32 = 4;
/// Times of the old versions from which slowness can be told.
const MIN_TIMES: u32 = 20;
/// Part of the old versions' answers that begin within the usual time.
const USUAL_PART: f64 = 0.9;
/// Ratio to the usual time beyond which an answer is slow.
const SLOW_RATIO: u32 = 2;

/// What a version is blamed for.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Its answers are failures more often.
    #[display("failures")]
    Failures,
    /// Its answers begin much later.
    #[display("slowness")]
    Slowness,
}

/// Number of bad answers among all.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{bad} of {all}")]
pub struct Share {
    /// Bad answers.
    pub bad: u32,
    /// All answers.
    pub all: u32,
}

/// Why a version is bad.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{fault} under rule {rule}: {new} of the new version, {old} of the old ones")]
pub struct Blame {
    /// What it does worse.
    pub fault: Fault,
    /// Rule of the requests.
    pub rule: RuleId,
    /// Bad answers of the new version, without its worst target.
    pub new: Share,
    /// Bad answers of the old versions.
    pub old: Share,
}

/// Returns why the new version is bad; `None` if nothing shows that it is.
///
/// `pending` counts the requests that are still unanswered, by the time for which they have waited.
#[must_use]
pub fn blame(evidence: &Evidence, pending: &Evidence) -> Option<Blame> {
    evidence.rules.iter().find_map(|(rule, seen)| {
        let empty = RuleEvidence::default();
        let waiting = pending.rules.get(rule).unwrap_or(&empty);
        let failures = blame_for(rule, Fault::Failures, seen, |tally, _| Share {
            bad: tally.failures,
            all: tally.answers,
        });
        failures.or_else(|| {
            let limit = slow_limit(seen)?;
            blame_slowness(rule, seen, waiting, limit)
        })
    })
}

/// Time beyond which an answer is slow, by the old versions; `None` if too few have answered.
fn slow_limit(seen: &RuleEvidence) -> Option<Duration> {
    let times = &seen.old.times;
    if times.count() < MIN_TIMES {
        return None;
    }
    Some(times.quantile(USUAL_PART)? * SLOW_RATIO)
}

fn blame_slowness(
    rule: &RuleId,
    seen: &RuleEvidence,
    waiting: &RuleEvidence,
    limit: Duration,
) -> Option<Blame> {
    let mut all = seen.clone();
    for target in waiting.new.keys() {
        all.new.entry(*target).or_default();
    }
    let none = Tally::default();
    blame_for(rule, Fault::Slowness, &all, |tally, target| {
        let waiting = match target {
            Some(target) => waiting.new.get(&target).unwrap_or(&none),
            None => &waiting.old,
        };
        let overdue = waiting.times.count_beyond(limit);
        Share {
            bad: tally.times.count_beyond(limit) + overdue,
            all: tally.times.count() + overdue,
        }
    })
}

fn blame_for(
    rule: &RuleId,
    fault: Fault,
    seen: &RuleEvidence,
    share: impl Fn(&Tally, Option<InstanceDigest>) -> Share,
) -> Option<Blame> {
    let old = share(&seen.old, None);
    let by_target = seen.new.iter();
    let by_target = by_target.map(|(target, tally)| share(tally, Some(*target)));
    let new = without_worst(by_target.collect());
    is_worse(new, old).then(|| Blame {
        fault,
        rule: rule.clone(),
        new,
        old,
    })
}

/// Sum over the targets but the worst one, if there are several: one failing target says nothing
/// about its version.
fn without_worst(mut shares: Vec<Share>) -> Share {
    shares.retain(|share| share.all > 0);
    if shares.len() > 1 {
        shares.sort_unstable_by_key(|share| share.bad);
        shares.pop();
    }
    let sum = |sum: Share, share: Share| Share {
        bad: sum.bad + share.bad,
        all: sum.all + share.all,
    };
    shares.into_iter().fold(Share::default(), sum)
}

/// Returns `true` if chance does not explain the bad answers of the new version. The bound on the
/// probability is Chernoff's.
fn is_worse(new: Share, old: Share) -> bool {
    if new.bad < MIN_BAD {
        return false;
    }
    let expected = (f64::from(old.bad) + ASSUMED_BAD) / (f64::from(old.all) + ASSUMED_ANSWERS);
    let expected = (expected * TOLERATED_RATIO).min(1.0);
    let found = f64::from(new.bad) / f64::from(new.all);
    if found <= expected {
        return false;
    }
    let divergence = found * (found / expected).ln() + complement(found, expected);
    -f64::from(new.all) * divergence < MAX_FALSE_BLAME.ln()
}

/// Part of the divergence that the answers that are not bad add.
fn complement(found: f64, expected: f64) -> f64 {
    let good = 1.0 - found;
    if good <= 0.0 {
        return 0.0;
    }
    good * (good / (1.0 - expected)).ln()
}
