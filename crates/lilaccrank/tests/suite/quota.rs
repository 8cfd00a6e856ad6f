//! Quotas of customers across daemons that report to each other what they let pass.

use std::time::{Duration, Instant};

use lilaccrank::document::Quota;
use lilaccrank::quota::Quotas;

use crate::quota_harness::{
    CUSTOMER, Fleet, QUOTA, REPORT_INTERVAL, REQUEST_TOKENS, WINDOW, allowed,
};

// A customer sends three times its quota, evenly to seven daemons. Each daemon alone sees less than
// the quota and would let all of it pass. With reports from each other they must let pass no more
// than the quota, and not much less.
#[test]
fn fleet_passes_the_quota_of_one_daemon() {
    let mut fleet = Fleet::new(7);
    fleet.apply_load(Duration::from_secs(12), |_, _| true);
    let max_passed = fleet.max_passed_in(WINDOW) as f64;
    assert!(max_passed <= allowed(WINDOW) * 1.02, "{max_passed}");
    let passed: u64 = fleet.passed.iter().map(|(_, units)| units).sum();
    let seconds = (fleet.now - fleet.start).as_secs_f64();
    assert!(passed as f64 >= QUOTA.per_s * (seconds - 1.0), "{passed}");
}

// Control experiment: daemons without reports, each with the whole rate, let a multiple of the
// quota pass. It shows that the reports are needed.
#[test]
fn independent_buckets_pass_a_multiple() {
    let mut alone: Vec<Quotas> = (0..7).map(|_| Quotas::new(0, Instant::now())).collect();
    let mut now = Instant::now() + Duration::from_secs(1);
    let mut passed = 0;
    for step in 0..700 {
        now += Duration::from_millis(10);
        let daemon = &mut alone[step % 7];
        for _ in 0..3 {
            let debit = Fleet::debit(0, REQUEST_TOKENS);
            let spent = daemon.spend(&CUSTOMER.to_owned(), QUOTA, debit, now);
            passed += u64::from(spent.is_ok()) * REQUEST_TOKENS;
        }
    }
    assert!(passed as f64 > 1.7 * (QUOTA.per_s * 7.0), "{passed}");
}

// A data centre with three of seven daemons is partitioned for six seconds under load on both
// sides. Neither side knows what the other lets pass, so each may use only its own share. Windows
// that include the time before and after the partition must stay within the quota, too.
#[test]
fn both_sides_of_a_partition_stay_within_their_shares() {
    let mut fleet = Fleet::new(7);
    fleet.apply_load(Duration::from_secs(5), |_, _| true);
    let side = |daemon: usize| daemon < 3;
    fleet.apply_load(Duration::from_secs(6), |from, to| side(from) == side(to));
    fleet.apply_load(Duration::from_secs(5), |_, _| true);
    let max_passed = fleet.max_passed_in(WINDOW) as f64;
    assert!(max_passed <= allowed(WINDOW) * 1.1, "{max_passed}");
}

// A daemon that is isolated from all others must go on serving its share of the quota instead of
// refusing its callers.
#[test]
fn isolated_daemon_serves_its_share() {
    let mut fleet = Fleet::new(7);
    fleet.apply_load(Duration::from_secs(3), |_, _| true);
    let before = fleet.passed.len();
    fleet.apply_load(Duration::from_secs(5), |from, to| from != 0 && to != 0);
    let passed_isolated = fleet.passed.len() - before;
    assert!(passed_isolated > 0);
    let mut alone = 0;
    for _ in 0..50 {
        fleet.now += Duration::from_millis(100);
        fleet.daemons[0].tick(fleet.now);
        alone += u64::from(fleet.spend(0, Fleet::debit(0, REQUEST_TOKENS))) * REQUEST_TOKENS;
    }
    let share = QUOTA.per_s * 5.0 / 7.0;
    assert!(
        (share * 0.9..share * 1.5).contains(&(alone as f64)),
        "{alone}"
    );
}

// A daemon receives no reports for four seconds while the others spend the quota. If its bucket
// were filled with more than its share afterwards, it would let a whole burst pass in addition.
#[test]
fn daemon_without_reports_does_not_refill() {
    let mut fleet = Fleet::new(7);
    fleet.apply_load(Duration::from_secs(4), |_, _| true);
    fleet.apply_load(Duration::from_secs(4), |from, to| from != 0 && to != 0);
    let mut passed_at_once = 0;
    while fleet.spend(0, Fleet::debit(0, REQUEST_TOKENS)) {
        passed_at_once += REQUEST_TOKENS;
    }
    assert!(
        (passed_at_once as f64) < QUOTA.burst / 7.0 + REQUEST_TOKENS as f64,
        "{passed_at_once}"
    );
}

// One datagram in three is lost. Reports carry totals since the start, so the next one includes
// what the lost one reported.
#[test]
fn lost_messages_are_compensated() {
    let mut fleet = Fleet::new(7);
    let rng_state = std::cell::Cell::new(1_u32);
    fleet.apply_load(Duration::from_secs(12), |_, _| {
        rng_state.set(
            rng_state
                .get()
                .wrapping_mul(1_664_525)
                .wrapping_add(1_013_904_223),
        );
        !(rng_state.get() >> 16).is_multiple_of(3)
    });
    let max_passed = fleet.max_passed_in(WINDOW) as f64;
    assert!(max_passed <= allowed(WINDOW) * 1.03, "{max_passed}");
}

// All daemons are restarted at once under load and know nothing of what was spent. If they started
// with full buckets, seven bursts would pass at once.
#[test]
fn restarted_daemons_start_with_empty_buckets() {
    let mut fleet = Fleet::new(7);
    let mut passed_at_once = 0;
    for at in 0..7 {
        while fleet.spend(at, Fleet::debit(0, REQUEST_TOKENS)) {
            passed_at_once += REQUEST_TOKENS;
        }
    }
    assert_eq!(passed_at_once, 0);
}

/// Tests whether a request passes when the given fraction of the burst is left in the bucket.
macro_rules! tiers {
    ($name:ident, $balance:literal, $tier:literal, $units:literal, $passes:literal) => {
        #[test]
        fn $name() {
            let mut quotas = Quotas::new(0, Instant::now());
            let mut now = Instant::now();
            // Fill the bucket, then withdraw all but the balance.
            for _ in 0..4 {
                now += Duration::from_millis(500);
                quotas.tick(now);
            }
            let taken = Fleet::debit(0, (QUOTA.burst * (1.0 - $balance)) as u64);
            let customer = CUSTOMER.to_owned();
            quotas.spend(&customer, QUOTA, taken, now).unwrap();
            let debit = Fleet::debit($tier, $units);
            assert_eq!(quotas.spend(&customer, QUOTA, debit, now).is_ok(), $passes);
        }
    };
}

// A customer at its limit sends urgent and bulk requests at once. If they passed in order of
// arrival, urgent requests would be refused in favour of bulk requests, so lower tiers leave
// headroom. Small requests need none, since they take next to nothing from the others.
tiers!(first_tier_may_empty_the_bucket, 0.1, 0, 3_000, true);
tiers!(last_tier_leaves_its_headroom, 0.6, 2, 3_000, false);
tiers!(last_tier_passes_above_its_headroom, 0.9, 2, 3_000, true);
tiers!(middle_tier_leaves_its_headroom, 0.3, 1, 3_000, false);
tiers!(middle_tier_passes_above_its_headroom, 0.5, 1, 3_000, true);
tiers!(small_requests_need_no_headroom, 0.1, 2, 200, true);

// A request passes the quota and is then refused for another reason. It did not run, so its units
// must be refunded.
#[test]
fn units_that_did_not_run_are_refunded() {
    let mut quotas = Quotas::new(0, Instant::now());
    let now = Instant::now() + Duration::from_millis(500);
    let customer = CUSTOMER.to_owned();
    let all = Fleet::debit(0, 48_000);
    quotas.spend(&customer, QUOTA, all, now).unwrap();
    let refused = quotas.spend(&customer, QUOTA, all, now).unwrap_err();
    assert!(refused.retry_after > Duration::from_millis(400));
    quotas.refund(&customer, 48_000, now);
    assert!(quotas.spend(&customer, QUOTA, all, now).is_ok());
}

// The engines are full, and half of the requests that pass the quota are refused for that reason.
// Each daemon refunds them, and must report the refunds. Otherwise all other daemons would count
// requests that never ran against the customer's quota.
#[test]
fn refunds_are_reported() {
    let mut fleet = Fleet::new(7);
    let steps = 600;
    for step in 0..steps {
        for turn in 0..4 {
            let at = (step + turn) % 7;
            if fleet.spend(at, Fleet::debit(0, REQUEST_TOKENS)) && turn % 2 == 0 {
                fleet.refund(at);
            }
        }
        fleet.exchange_reports(|_, _| true);
        fleet.now += REPORT_INTERVAL;
    }
    let passed: u64 = fleet.passed.iter().map(|(_, units)| units).sum();
    let seconds = (fleet.now - fleet.start).as_secs_f64();
    assert!(passed as f64 >= QUOTA.per_s * (seconds - 1.0), "{passed}");
    let max_passed = fleet.max_passed_in(WINDOW) as f64;
    assert!(max_passed <= allowed(WINDOW) * 1.02, "{max_passed}");
}

// A datagram that arrives after a newer one reports lower totals than are known. It must not lower
// them, or the next datagram would be counted again.
#[test]
fn late_message_is_not_counted_twice() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let customer = CUSTOMER.to_owned();
    let mut sender = Quotas::new(1, start);
    let mut receiver = Quotas::new(1, start);
    let mut reports = vec![sender.spent(now)];
    for _ in 0..3 {
        sender
            .spend(&customer, QUOTA, Fleet::debit(0, 10_000), now)
            .unwrap();
        reports.push(sender.spent(now));
    }
    receiver.merge_spent(&"vm0".to_owned(), 1, &reports[0], now);
    // The receiver now has an account for the customer.
    receiver
        .spend(&customer, QUOTA, Fleet::debit(0, 1), now)
        .unwrap();
    for at in [1, 3, 2, 3, 2, 3] {
        receiver.merge_spent(&"vm0".to_owned(), 1, &reports[at], now);
    }
    // The others have spent 30,000 units and this one has spent one, of the 100,000 since the start.
    assert!(
        receiver
            .spend(&customer, QUOTA, Fleet::debit(0, 70_000), now)
            .is_err()
    );
    assert!(
        receiver
            .spend(&customer, QUOTA, Fleet::debit(0, 69_999), now)
            .is_ok()
    );
}

/// Guards against a customer that is refused at a daemon that has just started, since older daemons let it pass a little
/// in all their life.
#[test]
fn what_an_older_peer_spent_is_no_debt_of_a_new_daemon() {
    let start = Instant::now();
    let now = start + Duration::from_millis(100);
    let customer = CUSTOMER.to_owned();
    let mut older = Quotas::new(1, start - Duration::from_secs(60));
    older
        .spend(&customer, QUOTA, Fleet::debit(0, 5_000), start)
        .unwrap();
    let mut new = Quotas::new(1, start).with_incarnation(60_000);
    new.merge_spent(&"vm0".to_owned(), 1, &older.spent(now), now);
    let spent = new.spend(&customer, QUOTA, Fleet::debit(0, 9_000), now);
    assert!(spent.is_ok(), "{spent:?}");
    new.merge_spent(&"vm0".to_owned(), 1, &older.spent(now), now);
    let spent = new.spend(&customer, QUOTA, Fleet::debit(0, 900), now);
    assert!(spent.is_ok(), "{spent:?}");
}

// The reserve does not raise the rate: a surge spends it once, and only the rate passes after that.
#[test]
fn reserve_is_spent_once() {
    let mut fleet = Fleet::new(7);
    for daemon in &mut fleet.daemons {
        *daemon = Quotas::new(3, fleet.start).with_reserve(36_000.0);
    }
    fleet.apply_load(Duration::from_secs(24), |_, _| true);
    let max_passed = fleet.max_passed_in(WINDOW) as f64;
    assert!(
        max_passed <= allowed(WINDOW) * 1.02 + 36_000.0,
        "{max_passed}"
    );
    let passed: u64 = fleet.passed.iter().map(|(_, units)| units).sum();
    assert!(passed as f64 <= QUOTA.per_s * 25.0 + 36_000.0, "{passed}");
}

// Shortly after the start a bucket holds only what has been refilled since. The last tier must
// leave headroom relative to that, not to the burst, or it would be refused until the bucket is
// full.
#[test]
fn new_bucket_serves_the_last_tier() {
    let quota = Quota {
        burst: 10.0 * QUOTA.burst,
        ..QUOTA
    };
    let start = Instant::now();
    let mut quotas = Quotas::new(0, start);
    let now = start + Duration::from_millis(900);
    quotas.tick(now);
    let debit = Fleet::debit(2, 10 * REQUEST_TOKENS);
    let spent = quotas.spend(&CUSTOMER.to_owned(), quota, debit, now);
    assert!(spent.is_ok());
}
