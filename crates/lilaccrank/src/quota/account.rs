//! Token bucket and counters of one customer.
//!
//! A bucket is in debt after a request larger than the burst, and after other daemons have spent more
//! than was left. A debt belongs to the figures under which it was made:
//!
//! - It is paid at the highest rate in force since. So a debt made under a high limit doesn't outlast a
//!   window under a low one, and changing the rate to and fro forgives nothing.
//! - The part that is due to requests without a token count is reckoned anew once they count as less.
//! - A debt in another unit is dropped.
//! - What another daemon spends under other figures uses up what is left, and makes no debt.

use std::time::Instant;

use crate::document::{Quota, QuotaUnit};
use crate::quota::recent_demand::RecentDemand;
use crate::quota::{Debit, Figures, Spent};

/// Token bucket and counters of one customer.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) changed_at: Instant,
    pub(super) filled_at: Instant,
    /// Number of times the current counters were reported to the cell.
    pub(super) times_reported: u8,
    /// Units that the daemons which hear from each other may still spend; negative if they
    /// overspent.
    pub(super) balance: f64,
    /// Part of the debt that is due to requests without a token count.
    plain_debt: f64,
    /// Highest rate under which the present debt was made, in units per second; 0 if it is the present
    /// one.
    debt_per_s: f64,
    /// The quota in force at the last request, with the reserve in its burst.
    pub(super) quota: Quota,
    pub(super) recent_demand: RecentDemand,
    pub(super) spent: Spent,
}

impl Account {
    /// Creates an empty account.
    pub(super) fn new(quota: Quota, filled_at: Instant, now: Instant) -> Self {
        Self {
            changed_at: now,
            filled_at,
            times_reported: 0,
            balance: 0.0,
            plain_debt: 0.0,
            debt_per_s: 0.0,
            quota,
            recent_demand: RecentDemand::new(now),
            spent: Spent::default(),
        }
    }

    pub(super) fn mark_changed(&mut self, now: Instant) {
        self.changed_at = now;
        self.times_reported = 0;
    }

    /// Puts a quota in force, and reckons the debt by its figures.
    pub(super) fn adopt(&mut self, quota: Quota) {
        let former = std::mem::replace(&mut self.quota, quota);
        self.spent.figures = Figures::of(&quota);
        if former == quota {
            return;
        }
        if former.unit != quota.unit {
            self.balance = match former.burst > 0.0 {
                true => self.balance.max(0.0) / former.burst * quota.burst,
                false => 0.0,
            };
            self.plain_debt = 0.0;
        } else if quota.plain_tokens < former.plain_tokens {
            let remaining = quota.plain_tokens as f64 / former.plain_tokens as f64;
            self.balance += self.plain_debt * (1.0 - remaining);
            self.plain_debt *= remaining;
        }
        self.debt_per_s = match self.balance < 0.0 {
            true => self.debt_per_s.max(former.per_s),
            false => 0.0,
        };
    }

    /// Withdraws a request that passes.
    pub(super) fn withdraw(&mut self, debit: Debit) {
        let units = debit.units as f64;
        let plain_units = if debit.is_plain { debit.units } else { 0 };
        self.charge(units, plain_units as f64);
        self.spent.passed = self.spent.passed.saturating_add(debit.units);
        self.spent.plain = self.spent.plain.saturating_add(plain_units);
    }

    /// Withdraws units, of which `plain_units` are due to requests without a token count.
    pub(super) fn charge(&mut self, units: f64, plain_units: f64) {
        let debt_before = self.debt();
        self.balance -= units;
        let added = self.debt() - debt_before;
        self.plain_debt = (self.plain_debt + added.clamp(0.0, plain_units)).min(self.debt());
    }

    /// Withdraws units that were spent under other figures: of what is left, at most.
    pub(super) fn use_up(&mut self, units: f64) {
        self.balance = self.balance.min((self.balance - units).max(0.0));
    }

    /// Refills the bucket for the time since the last refill, at `share` of the quota.
    pub(super) fn refill(&mut self, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        let earned_s = elapsed.as_secs_f64() * share;
        let debt_s = self.debt_s();
        if earned_s < debt_s {
            let paid = earned_s * self.payment_per_s();
            self.balance += paid;
            self.plain_debt = (self.plain_debt - paid).max(0.0);
            return;
        }
        if debt_s > 0.0 {
            self.balance = 0.0;
        }
        self.plain_debt = 0.0;
        self.debt_per_s = 0.0;
        let filled = self.balance + (earned_s - debt_s) * self.quota.per_s;
        self.balance = filled.min(self.quota.burst * share);
    }

    /// Seconds until the balance reaches `required`, at the whole rate.
    pub(super) fn seconds_until(&self, required: f64) -> f64 {
        let missing = (required - self.balance.max(0.0)).max(0.0);
        self.debt_s() + missing / self.quota.per_s
    }

    fn debt(&self) -> f64 {
        (-self.balance).max(0.0)
    }

    /// Seconds in which the debt is paid, at the whole rate.
    fn debt_s(&self) -> f64 {
        self.debt() / self.payment_per_s()
    }

    /// Rate at which a debt is paid.
    fn payment_per_s(&self) -> f64 {
        self.quota.per_s.max(self.debt_per_s)
    }
}

impl Figures {
    /// The figures by which units are reckoned.
    pub(super) fn of(quota: &Quota) -> Self {
        let mut bytes = Vec::with_capacity(17);
        bytes.extend(quota.per_s.to_le_bytes());
        bytes.extend(quota.plain_tokens.to_le_bytes());
        bytes.push(u8::from(quota.unit == QuotaUnit::Tokens));
        Self(xxhash_rust::xxh3::xxh3_64(&bytes) as u32)
    }
}
