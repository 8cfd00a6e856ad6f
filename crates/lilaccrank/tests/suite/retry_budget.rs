//! Tests of the limits of retry budgets.

use std::time::{Duration, Instant};

use lilaccrank::retry_budget::{RetryBudgets, Settings};
use quickcheck::quickcheck;

quickcheck! {
    // In each step a call fails after some time and is retried as often as the budget allows.
    fn retries_are_a_share_of_calls(gaps_ms: Vec<u8>) -> bool {
        let cfg = Settings::default();
        let mut budgets = RetryBudgets::new(cfg.clone());
        let begun = Instant::now();
        let mut now = begun;
        let mut retries = 0.0;
        for (index, gap) in gaps_ms.iter().enumerate() {
            now += Duration::from_millis(u64::from(*gap));
            let budget = budgets.get("store", now);
            budget.record_call();
            while budget.try_retry(now) {
                retries += 1.0;
            }
            let passed = (now - begun).as_secs_f64();
            let allowed = cfg.capacity + cfg.ratio * (index + 1) as f64 + cfg.per_second * passed;
            if retries > allowed + 1e-6 {
                return false;
            }
        }
        true
    }
}

// One engine fails all calls. With a shared budget, calls to healthy engines could not be retried
// any more.
#[test]
fn destinations_do_not_share_a_budget() {
    let now = Instant::now();
    let mut budgets = RetryBudgets::new(Settings::default());
    while budgets.get("failing", now).try_retry(now) {}
    assert!(budgets.get("healthy", now).try_retry(now));
}

// When members join, the part of the total capacity that each of them gets shrinks. Retries that a
// member accumulated above its new capacity must be dropped.
#[test]
fn smaller_capacity_applies_at_once() {
    let now = Instant::now();
    let mut budgets = RetryBudgets::new(Settings::default());
    assert!(budgets.get("engines", now).try_retry(now));
    budgets.set_limits(2.0, 2.0);
    let retries = (0..10).filter(|_| budgets.get("engines", now).try_retry(now));
    assert_eq!(retries.count(), 2);
}
