//! Pauses that targets have asked this daemon for.
//!
//! A target that turns a request away may add `Retry-After`: it wants no requests of the daemon that
//! sent it for so long. The pause binds that daemon alone.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;
use indexmap::IndexMap;
use lilaccrank::target_instance::TargetInstance;

/// Longest pause. A target that asks for more, by mistake or on purpose, is tried again after it.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Maximum number of pauses kept; past it, those that end first are dropped.
const CAPACITY: usize = 8_192;

/// Pauses in force, by target.
#[derive(Default)]
pub struct Pauses {
    ends: RefCell<IndexMap<TargetInstance, Instant>>,
}

impl Pauses {
    /// Records a pause. Of two, the later end counts.
    pub fn record(&self, target: &TargetInstance, pause: Duration, now: Instant) {
        let mut ends = self.ends.borrow_mut();
        ends.retain(|_, end| *end > now);
        let end = ends.entry(target.clone()).or_insert(now);
        *end = (*end).max(now + pause);
        if ends.len() > CAPACITY {
            let first = ends.iter().enumerate().min_by_key(|(_, (_, end))| **end);
            if let Some((first, _)) = first {
                ends.swap_remove_index(first);
            }
        }
    }

    /// Returns `true` if the target wants no requests now.
    #[must_use]
    pub fn contains(&self, target: &TargetInstance, now: Instant) -> bool {
        let ends = self.ends.borrow();
        ends.get(target).is_some_and(|end| *end > now)
    }

    /// Targets that want no requests now, with the time left of their pauses, the shortest first.
    #[must_use]
    pub fn in_force(&self, now: Instant) -> Vec<(TargetInstance, Duration)> {
        let ends = self.ends.borrow();
        let in_force = ends.iter().filter(|(_, end)| **end > now);
        let mut in_force: Vec<_> = in_force
            .map(|(target, end)| (target.clone(), end.saturating_duration_since(now)))
            .collect();
        in_force.sort_by_key(|(_, left)| *left);
        in_force
    }
}

/// Reads the pause that a target asks for: seconds, which may have a fraction, capped at
/// [`MAX_PAUSE`]. Other values, dates among them, ask for none.
#[must_use]
pub fn requested(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let pause = seconds
        .filter(|seconds: &f64| seconds.is_finite())
        .map(|seconds| seconds.min(MAX_PAUSE.as_secs_f64()))
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none() {
        log::warn!(value:? = value; "a target's Retry-After is not a number of seconds");
    }
    pause.filter(|pause| !pause.is_zero())
}
