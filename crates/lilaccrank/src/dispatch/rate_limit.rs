//! Distributed token buckets for the rate limits that targets advertise.
//!
//! The daemons of a cell replicate one bucket for each such target: a replica is charged with the requests that
//! its daemon sends and with those that load updates of the others report. Concurrent requests may overdraw
//! the bucket; all replicas carry the debt, so that the average rate holds. Cells that share a target see no
//! load updates of each other and divide its rate. Each bucket holds two requests at least; with many
//! cells that would be a burst, so that the rate limits how many cells use the target.

use std::time::Instant;

use crate::cells::CellId;
use crate::rendezvous;
use crate::target_instance::InstanceDigest;

/// Lowest rate that is applied. Without any request a target could not advertise the end of its limit.
const LOWEST_PER_S: f64 = 0.1;
/// Capacity of all buckets of a target together: seconds of its rate, and requests beside.
const BURST_S: f64 = 1.0;
const BURST: f64 = 2.0;
/// Least capacity of a bucket.
const LEAST_BURST: f64 = 2.0;
/// Longest time to pay off a debt, in seconds.
const DEBT_S: f64 = 4.0;

/// A cell's share of a target's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Capacity of the bucket.
    pub burst: f64,
    /// Requests per second; zero if the cell does not use the target.
    pub per_s: f64,
}

/// The share of the cell `me` of a target's rate, where these cells send to it.
#[must_use]
pub fn share(per_s: f64, target: InstanceDigest, cells: &[CellId], me: CellId) -> Share {
    let per_s = per_s.max(LOWEST_PER_S);
    let burst = per_s * BURST_S + BURST;
    let names = cells.iter().map(|cell| (cell, cell.index.to_string()));
    let names: Vec<_> = names.collect();
    let most = (burst / LEAST_BURST) as usize;
    let duty = format!("rate-limit/{target}");
    let sharers = rendezvous::top(&duty, names.iter().map(|(_, name)| name), most);
    let own = names.iter().find(|(cell, _)| **cell == me);
    if !own.is_some_and(|(_, name)| sharers.contains(&name)) {
        return Share::default();
    }
    let parts = sharers.len() as f64;
    Share {
        burst: burst / parts,
        per_s: per_s / parts,
    }
}

/// A replica of a cell's token bucket for one target.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    refilled: Instant,
    share: Share,
    tokens: f64,
}

impl RateLimit {
    /// An empty bucket.
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

    /// Whether a request may be sent while tokens for `left_to_others` remain, as far as the bucket holds them.
    #[must_use]
    pub fn allows(&self, left_to_others: u32, now: Instant) -> bool {
        let wanted = (1.0 + f64::from(left_to_others)).min(self.share.burst);
        self.tokens(now) >= wanted.max(1.0)
    }

    /// Charges requests that were sent.
    pub fn take(&mut self, requests: u32, now: Instant) {
        self.refill(now);
        let lowest = -self.share.per_s * DEBT_S - self.share.burst;
        self.tokens = (self.tokens - f64::from(requests)).max(lowest);
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
