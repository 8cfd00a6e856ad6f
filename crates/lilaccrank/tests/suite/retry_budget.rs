//! Retries never exceed their share.

use std::time::{Duration, Instant};

use lilaccrank::retry_budget::{RetryBudgets, Settings};
use quickcheck::quickcheck;

quickcheck! {
    // Each step is a call that fails after some time, with as many retries as are allowed.
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

// One engine fails all its calls. If all shared one budget, calls to healthy ones would get no
// retry any more.
#[test]
fn destinations_do_not_share_a_budget() {
    let now = Instant::now();
    let mut budgets = RetryBudgets::new(Settings::default());
    while budgets.get("failing", now).try_retry(now) {}
    assert!(budgets.get("healthy", now).try_retry(now));
}

// Members join, and each has a smaller part of what all of them may save up. One that had saved
// more before doesn't keep it.
#[test]
fn smaller_capacity_applies_at_once() {
    let now = Instant::now();
    let mut budgets = RetryBudgets::new(Settings::default());
    assert!(budgets.get("engines", now).try_retry(now));
    budgets.set_capacity(2.0);
    let retries = (0..10).filter(|_| budgets.get("engines", now).try_retry(now));
    assert_eq!(retries.count(), 2);
}
