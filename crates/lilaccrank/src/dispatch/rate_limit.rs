//! Keeps to the rate of requests that a target takes from all daemons together.
//!
//! The daemons that use the target divide its rate. Each keeps to its share by a token bucket of its own, so
//! that nothing has to be agreed on for a request. A bucket holds at least one request; among many
//! daemons with small shares these alone would be a burst, so that only as many of them use the
//! target as its rate bears.

use std::time::Instant;

use crate::ids::VmId;
use crate::rendezvous;
use crate::target_life::LifeDigest;

/// Requests that a bucket holds at most.
const BURST: f64 = 1.0;
/// Lowest rate that is kept to. A target has to get a request now and then, or it could not tell that its
/// limit is over.
const LOWEST_PER_S: f64 = 0.1;
/// Daemons that use a target of any rate.
const FEWEST_SHARERS: usize = 3;
/// Seconds of the rate that the bursts of all sharers may add up to beyond that.
const BURST_S: f64 = 2.0;

/// This daemon's share of a target's rate, in requests per second; zero if it does not use the target.
#[must_use]
pub fn share<'a>(
    per_s: f64,
    target: LifeDigest,
    daemons: impl IntoIterator<Item = &'a VmId>,
    me: &VmId,
) -> f64 {
    let per_s = per_s.max(LOWEST_PER_S);
    let most = ((per_s * BURST_S) as usize).saturating_add(FEWEST_SHARERS);
    let sharers = rendezvous::top(&format!("rate-limit/{target}"), daemons, most);
    if sharers.contains(&me) {
        per_s / sharers.len() as f64
    } else {
        0.0
    }
}

/// A token bucket for one target.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_s: f64,
    refilled: Instant,
    tokens: f64,
}

impl RateLimit {
    /// An empty bucket: the target has told of its limit since it had too much.
    #[must_use]
    pub fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s,
            refilled: now,
            tokens: 0.0,
        }
    }

    /// Goes on with what is in the bucket at another rate.
    pub fn set(&mut self, per_s: f64, now: Instant) {
        self.refill(now);
        self.per_s = per_s;
    }

    /// Requests per second.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Whether a request may be sent.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.refilled = now;
    }

    fn tokens(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.refilled);
        (self.tokens + since.as_secs_f64() * self.per_s).min(BURST)
    }
}
