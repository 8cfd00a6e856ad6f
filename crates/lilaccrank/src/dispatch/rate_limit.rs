//! Keeps to the rate of requests that a target takes from all daemons together.
//!
//! The daemons of a cell keep one token bucket for each such target: each has a copy, and takes out what it
//! sends and what the others tell that they have sent. Several may take the last token at the same moment;
//! that is a debt, which all pay, so that the average holds. Cells that share a target know nothing of each
//! other's requests and divide its rate. A bucket holds two requests at least; among many cells with small
//! shares these alone would be a burst, so that only as many cells use the target as its rate bears.

use std::time::Instant;

use crate::cells::CellId;
use crate::rendezvous;
use crate::target_life::LifeDigest;

/// Lowest rate that is kept to. A target has to get a request now and then, or it could not tell that its
/// limit is over.
const LOWEST_PER_S: f64 = 0.1;
/// Seconds of the rate, and requests beside, that all buckets of a target hold together.
const BURST_S: f64 = 1.0;
const BURST: f64 = 2.0;
/// Requests that each bucket holds at least.
const LEAST_BURST: f64 = 2.0;
/// Seconds of the rate that a debt is paid for at most.
const DEBT_S: f64 = 4.0;

/// What the daemons of one cell may send to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests that may be sent at once.
    pub burst: f64,
    /// Requests per second; zero if the cell does not use the target.
    pub per_s: f64,
}

/// The share of the cell `me` of a target's rate, where these cells send to it.
#[must_use]
pub fn share(per_s: f64, target: LifeDigest, cells: &[CellId], me: CellId) -> Share {
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

/// A copy of the token bucket that the daemons of a cell keep for a target.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    refilled: Instant,
    share: Share,
    tokens: f64,
}

impl RateLimit {
    /// An empty bucket: the target has told of its limit since it had too much.
    #[must_use]
    pub fn new(share: Share, now: Instant) -> Self {
        Self {
            refilled: now,
            share,
            tokens: 0.0,
        }
    }

    /// Goes on with what is in the bucket by another share.
    pub fn set(&mut self, share: Share, now: Instant) {
        self.refill(now);
        self.share = share;
    }

    /// What the cell may send.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Whether a request may be sent that leaves so many others room, as far as the bucket can hold them.
    #[must_use]
    pub fn allows(&self, left_to_others: u32, now: Instant) -> bool {
        let wanted = (1.0 + f64::from(left_to_others)).min(self.share.burst);
        self.tokens(now) >= wanted.max(1.0)
    }

    /// Counts requests that were sent.
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
