//! Rate and concurrency limits per rule, optionally per customer.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::message::Submission;
use crate::backoff;
use crate::document::Limit;
use crate::ids::{CustomerId, RuleId};

/// `Retry-After` before jitter when a concurrency limit is reached.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);
/// Number of counters above which inactive ones are removed.
const MAX_COUNTERS: usize = 4096;

/// Result of a limit check.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a limit rejects a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The rate or concurrency limit is reached.
    #[error("limit reached, try again in {retry_after:?}")]
    Reached {
        /// Delay until a retry may succeed, with jitter.
        retry_after: Duration,
    },
}

/// Key of a counter: the rule, and the customer if the limit is per customer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CounterKey {
    customer: Option<CustomerId>,
    rule: RuleId,
}

#[derive(Debug)]
struct Counter {
    burst: f64,
    in_progress: u32,
    tokens: f64,
    rate: f64,
    refilled: Instant,
}

impl Counter {
    fn refill(&mut self, limit: Limit, now: Instant) {
        self.rate = limit.rate_per_s.unwrap_or(0.0);
        self.burst = self.rate.max(1.0);
        let since = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + since * self.rate).min(self.burst);
        self.refilled = now;
    }

    fn is_active(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.in_progress > 0 || self.tokens + since * self.rate < self.burst
    }
}

/// Counters of all rules with limits.
#[derive(Debug, Default)]
pub struct Limits {
    counters: IndexMap<CounterKey, Counter>,
}

impl Limits {
    /// Counts a request against its limit; returns `None` if no limit applies, and an error with
    /// the time of a retry if the limit is reached.
    pub fn acquire(&mut self, submission: &Submission, now: Instant) -> Result<Option<CounterKey>> {
        let Some(limit) = submission.limit else {
            return Ok(None);
        };
        let counter = self.counter(submission, limit, now);
        let max_in_progress = limit.concurrency.unwrap_or(u32::MAX);
        if counter.in_progress >= max_in_progress {
            let retry_after = CONCURRENCY_RETRY + backoff::full_jitter(CONCURRENCY_RETRY);
            return Err(Error::Reached { retry_after });
        }
        if let Some(rate) = limit.rate_per_s {
            if counter.tokens < 1.0 {
                let missing = (1.0 - counter.tokens) / rate.max(f64::MIN_POSITIVE);
                let wait = Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX);
                let wait = wait.min(super::drain_rate::MAX_RETRY_AFTER);
                let retry_after = wait + backoff::full_jitter(wait);
                return Err(Error::Reached { retry_after });
            }
            counter.tokens -= 1.0;
        }
        counter.in_progress += 1;
        Ok(Some(counter_key(submission, limit)))
    }

    /// Counts a request that another dispatcher has admitted, without checking the limit.
    pub fn take_over(&mut self, submission: &Submission, now: Instant) -> Option<CounterKey> {
        let limit = submission.limit?;
        self.counter(submission, limit, now).in_progress += 1;
        Some(counter_key(submission, limit))
    }

    /// Ends a counted request.
    pub fn release(&mut self, counter_key: &CounterKey) {
        if let Some(counter) = self.counters.get_mut(counter_key) {
            counter.in_progress = counter.in_progress.saturating_sub(1);
        }
    }

    fn counter(&mut self, submission: &Submission, limit: Limit, now: Instant) -> &mut Counter {
        if self.counters.len() >= MAX_COUNTERS {
            self.counters.retain(|_, counter| counter.is_active(now));
        }
        let capacity = limit.rate_per_s.unwrap_or(0.0).max(1.0);
        let counter = self
            .counters
            .entry(counter_key(submission, limit))
            .or_insert(Counter {
                burst: capacity,
                in_progress: 0,
                tokens: capacity,
                rate: 0.0,
                refilled: now,
            });
        counter.refill(limit, now);
        counter
    }
}

fn counter_key(submission: &Submission, limit: Limit) -> CounterKey {
    CounterKey {
        customer: limit.per_customer.then(|| submission.customer.clone()),
        rule: submission.rule.clone(),
    }
}
