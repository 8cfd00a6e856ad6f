//! When the requests of a pool move to the new version.
//!
//! The old targets have to be empty before the deadline, since they are stopped once the roll-out
//! has succeeded. A request therefore moves as early as it would outlast them, and no earlier: what
//! has not moved is not exposed to the new version.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::evidence::Evidence;
use crate::ids::RuleId;

/// Time before the deadline at which the old targets should be empty, so that the judges hear of it.
const RECORD_TIME: Duration = Duration::from_secs(1);
/// Part of a short roll-out that this may take at most.
const MAX_RECORD_PART: u32 = 4;
/// Time before the end within which all requests move, however short they are.
const LAST_MOVE: Duration = Duration::from_millis(1_500);
/// Part of the answers of an old version that are complete after the time that is planned for them.
const COMPLETE_PART: f64 = 0.99;

/// When requests move, in times since the order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Schedule {
    /// When all requests move.
    pub closes: Duration,
    /// When the requests of rules with long answers move, as far as the share allows.
    pub moves: IndexMap<RuleId, Duration>,
    /// When the new version has served all requests for long enough, and may stay.
    pub ends: Duration,
}

impl Schedule {
    /// Plans a roll-out that may take this long, by how long the old versions' answers take.
    #[must_use]
    pub fn new(duration: Duration, evidence: &Evidence) -> Self {
        let end = duration - RECORD_TIME.min(duration / MAX_RECORD_PART);
        let total = |rule: &RuleId| {
            let totals = &evidence.rules.get(rule)?.old_totals;
            totals.quantile(COMPLETE_PART)
        };
        let totals = evidence.rules.keys();
        let totals = totals.filter_map(|rule| Some((rule, total(rule)?)));
        let longest = totals.clone().map(|(_, total)| total).max();
        let closes = end.saturating_sub(longest.unwrap_or(LAST_MOVE).min(LAST_MOVE));
        let long = totals.filter(|(_, total)| *total > LAST_MOVE);
        let moves = long.map(|(rule, total)| (rule.clone(), end.saturating_sub(total)));
        Self {
            closes,
            moves: moves.collect(),
            ends: duration - (RECORD_TIME.min(duration / MAX_RECORD_PART) / 2),
        }
    }

    /// Returns `true` if a request of this rule would outlast the old targets.
    #[must_use]
    pub fn has_moved(&self, rule: &RuleId, age: Duration) -> bool {
        self.moves.get(rule).is_some_and(|from| age >= *from)
    }
}
