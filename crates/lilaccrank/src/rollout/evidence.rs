//! What the targets of two versions answered, by rule.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::message::RuleView;
use crate::ids::RuleId;
use crate::target_instance::InstanceDigest;

/// Number of ranges of a [`Histogram`].
const BUCKETS: usize = 24;
/// End of the first range.
const FIRST_BUCKET: Duration = Duration::from_millis(2);
/// Ratio between the ends of two ranges.
const BUCKET_RATIO: f64 = 1.5;
/// Maximum number of rules that are counted apart.
const MAX_RULES: usize = 64;
/// Maximum number of targets of the new version that are counted apart, for each rule.
const MAX_TARGETS: usize = 64;

/// Which of the two versions a target has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// One of those before the roll-out.
    Old,
    /// The one that it introduces.
    New,
}

/// Counts of durations in ranges of growing width.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Histogram([u32; BUCKETS]);

/// Answers of some targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Tally {
    /// Number of answers.
    pub answers: u32,
    /// Number of those that were failures.
    pub failures: u32,
    /// Times until the answers began.
    pub times: Histogram,
}

/// Answers to the requests of one rule.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RuleEvidence {
    /// Answers of the old versions.
    pub old: Tally,
    /// Times until answers of the old versions were complete.
    pub old_totals: Histogram,
    /// Answers of the new version, by target.
    pub new: IndexMap<InstanceDigest, Tally>,
}

/// Answers that one daemon or all daemons have seen since the order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// Answers by rule.
    pub rules: IndexMap<RuleId, RuleEvidence>,
}

/// One request that a target has answered or is still working on.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Rule of the request.
    pub rule: &'a RuleId,
    /// Version of the target.
    pub side: Side,
    /// The target.
    pub target: InstanceDigest,
}

impl Histogram {
    /// Adds a duration.
    pub fn add(&mut self, duration: Duration) {
        self.0[bucket(duration)] += 1;
    }

    /// Number of durations.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Number of durations that are surely longer than `limit`.
    #[must_use]
    pub fn count_beyond(&self, limit: Duration) -> u32 {
        let first = bucket(limit) + 1;
        self.0.iter().skip(first).sum()
    }

    /// Duration that this part of all is not longer than; `None` if there are none.
    #[must_use]
    pub fn quantile(&self, part: f64) -> Option<Duration> {
        let rank = (f64::from(self.count()) * part).ceil() as u32;
        let mut below = 0;
        let reached = self.0.iter().position(|count| {
            below += count;
            below >= rank.max(1)
        });
        reached.map(bucket_end)
    }

    fn merge(&mut self, other: &Self) {
        for (count, other) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(other);
        }
    }
}

impl Tally {
    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        self.times.merge(&other.times);
    }
}

impl RuleEvidence {
    /// Number of answers of the new version.
    #[must_use]
    pub fn new_answers(&self) -> u32 {
        self.new.values().map(|tally| tally.answers).sum()
    }
}

impl Evidence {
    /// Records the time until an answer began.
    pub fn record_time(&mut self, seen: Observation<'_>, time: Duration) {
        if let Some(tally) = self.tally(seen) {
            tally.times.add(time);
        }
    }

    /// Records a whole answer of a target, or a failure.
    pub fn record_answer(&mut self, seen: Observation<'_>, is_failure: bool) {
        if let Some(tally) = self.tally(seen) {
            tally.answers += 1;
            tally.failures += u32::from(is_failure);
        }
    }

    /// Records the time until an answer of an old version was complete.
    pub fn record_total(&mut self, rule: &RuleId, total: Duration) {
        if let Some(evidence) = self.rule(rule) {
            evidence.old_totals.add(total);
        }
    }

    /// Adds the answers that another daemon has seen.
    pub fn merge(&mut self, other: &Self) {
        for (rule, theirs) in &other.rules {
            let Some(evidence) = self.rule(rule) else {
                continue;
            };
            evidence.old.merge(&theirs.old);
            evidence.old_totals.merge(&theirs.old_totals);
            for (target, tally) in &theirs.new {
                evidence.new.entry(*target).or_default().merge(tally);
            }
        }
    }

    /// Number of answers of the new version.
    #[must_use]
    pub fn new_answers(&self) -> u32 {
        self.rules.values().map(RuleEvidence::new_answers).sum()
    }

    /// Answers by rule as operators see them.
    #[must_use]
    pub fn views(&self) -> IndexMap<RuleId, RuleView> {
        let views = self.rules.iter().map(|(rule, seen)| {
            let view = RuleView {
                new_answers: seen.new_answers(),
                new_failures: seen.new.values().map(|tally| tally.failures).sum(),
                old_answers: seen.old.answers,
                old_failures: seen.old.failures,
            };
            (rule.clone(), view)
        });
        views.collect()
    }

    fn rule(&mut self, rule: &RuleId) -> Option<&mut RuleEvidence> {
        if !self.rules.contains_key(rule) && self.rules.len() >= MAX_RULES {
            return None;
        }
        Some(self.rules.entry(rule.clone()).or_default())
    }

    fn tally(&mut self, seen: Observation<'_>) -> Option<&mut Tally> {
        let evidence = self.rule(seen.rule)?;
        if seen.side == Side::Old {
            return Some(&mut evidence.old);
        }
        let targets = &mut evidence.new;
        if !targets.contains_key(&seen.target) && targets.len() >= MAX_TARGETS {
            return None;
        }
        Some(targets.entry(seen.target).or_default())
    }
}

fn bucket(duration: Duration) -> usize {
    let ratio = duration.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    let bucket = ratio.log(BUCKET_RATIO).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

fn bucket_end(bucket: usize) -> Duration {
    let exponent = i32::try_from(bucket).unwrap_or(i32::MAX);
    FIRST_BUCKET.mul_f64(BUCKET_RATIO.powi(exponent))
}
