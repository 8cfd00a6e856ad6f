//! Distributed token buckets for the rate limits that targets advertise.
//!
//! The daemons of a cell replicate one bucket per target: each replica is charged with the requests
//! of its own daemon and with those in the load digests of the others. Concurrent requests may
//! overdraw the bucket; all replicas carry the debt, so the average rate holds. Cells that share a
//! target don't exchange digests and divide its rate instead. Every bucket holds at least two
//! requests, which would add up to a burst over many cells, so the rate limits how many cells use
//! the target.

use std::time::Instant;

use crate::cells::CellId;
use crate::rendezvous;
use crate::target_instance::InstanceDigest;

/// Minimum rate in requests per second. Without any requests, a target couldn't advertise the end
/// of its limit.
const MIN_RATE_PER_S: f64 = 0.1;
/// Combined capacity of a target's buckets: this many seconds of its rate, plus a number of
/// requests.
const BURST_S: f64 = 1.0;
const BURST: f64 = 2.0;
/// Minimum capacity of a bucket.
const MIN_BURST: f64 = 2.0;
/// Maximum debt, in seconds of the share's rate.
const MAX_DEBT_S: f64 = 4.0;

/// A cell's share of a target's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Capacity of the bucket, in requests.
    pub burst: f64,
    /// Requests per second; zero if the cell doesn't use the target.
    pub per_s: f64,
}

/// Computes the share of the cell `me` of a target's rate, where `cells` send to the target.
#[must_use]
pub fn share(per_s: f64, target: InstanceDigest, cells: &[CellId], me: CellId) -> Share {
    let per_s = per_s.max(MIN_RATE_PER_S);
    let burst = per_s * BURST_S + BURST;
    let names = cells.iter().map(|cell| (cell, cell.index.to_string()));
    let names: Vec<_> = names.collect();
    let max_sharers = (burst / MIN_BURST) as usize;
    let ranking_key = format!("rate-limit/{target}");
    let sharers = rendezvous::top(
        &ranking_key,
        names.iter().map(|(_, name)| name),
        max_sharers,
    );
    let own = names.iter().find(|(cell, _)| **cell == me);
    if !own.is_some_and(|(_, name)| sharers.contains(&name)) {
        return Share::default();
    }
    let sharer_count = sharers.len() as f64;
    Share {
        burst: burst / sharer_count,
        per_s: per_s / sharer_count,
    }
}

/// Replica of a cell's token bucket for one target.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    refilled: Instant,
    share: Share,
    tokens: f64,
}

impl RateLimit {
    /// Creates an empty bucket.
    #[must_use]
    pub fn new(share: Share, now: Instant) -> Self {
        Self {
            refilled: now,
            share,
            tokens: 0.0,
        }
    }

    /// Changes the share and keeps the tokens.
    pub fn set(&mut self, share: Share, now: Instant) {
        self.refill(now);
        self.share = share;
    }

    /// The cell's share.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns `true` if the bucket holds a token for a request and `reserved` more, or is full if
    /// its capacity is lower than that.
    #[must_use]
    pub fn allows(&self, reserved: u32, now: Instant) -> bool {
        let required = (1.0 + f64::from(reserved)).min(self.share.burst);
        self.tokens(now) >= required.max(1.0)
    }

    /// Charges the bucket with sent requests.
    pub fn take(&mut self, requests: u32, now: Instant) {
        self.refill(now);
        let min_tokens = -self.share.per_s * MAX_DEBT_S - self.share.burst;
        self.tokens = (self.tokens - f64::from(requests)).max(min_tokens);
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.refilled = now;
    }

    fn tokens(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.refilled);
        (self.tokens + since.as_secs_f64() * self.share.per_s).min(self.share.burst)
    }
}
