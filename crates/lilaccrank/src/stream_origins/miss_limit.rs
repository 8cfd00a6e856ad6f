//! Limit on queries for streams that nobody knows.
//!
//! A caller may name any stream. Queries for streams that exist are as rare as broken connections; a
//! customer that names others has its queries limited, and not those of the other customers.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::CustomerId;

/// Period in which misses are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Misses of a customer in one period after which nothing is asked for it.
const MAX_MISSES: u32 = 16;
/// Number of customers that are counted.
const MAX_CUSTOMERS: usize = 1_024;

/// Misses of one customer in its current period.
#[derive(Clone, Copy, Debug)]
struct Misses {
    count: u32,
    since: Instant,
}

/// Counts the queries of each customer that found nothing.
#[derive(Debug, Default)]
pub struct MissLimit {
    customers: IndexMap<CustomerId, Misses>,
}

impl MissLimit {
    /// Returns `true` if a query may be made for this customer.
    #[must_use]
    pub fn allows(&self, customer: &str, now: Instant) -> bool {
        let misses = self.customers.get(customer);
        misses.is_none_or(|misses| !misses.is_current(now) || misses.count < MAX_MISSES)
    }

    /// Records a query that found nothing.
    pub fn record(&mut self, customer: &str, now: Instant) {
        if self.customers.len() >= MAX_CUSTOMERS {
            self.customers.retain(|_, misses| misses.is_current(now));
        }
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(customer) {
            return;
        }
        let new = Misses {
            count: 0,
            since: now,
        };
        let misses = self.customers.entry(customer.to_owned()).or_insert(new);
        if !misses.is_current(now) {
            *misses = new;
        }
        misses.count += 1;
    }
}

impl Misses {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < PERIOD
    }
}
