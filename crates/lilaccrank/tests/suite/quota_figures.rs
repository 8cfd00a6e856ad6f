//! Quotas whose figures change while something is owed.

use std::time::{Duration, Instant};

use lilaccrank::document::{Quota, QuotaUnit};
use lilaccrank::quota::{self, Debit, Quotas};

use crate::quota_harness::{
    CUSTOMER, Fleet, QUOTA, REPORT_INTERVAL, REQUEST_TOKENS, WINDOW, allowed,
};

/// Units that take five seconds to pay; a request of that size fits into a window.
const OWED: u64 = 500_000;
/// Part by which the units in a window may exceed the quota.
const TOLERANCE: f64 = 1.1;
/// A slip in the tokens of a request that has no token count.
const MISTAKEN: Quota = Quota {
    plain_tokens: OWED,
    ..QUOTA
};

/// One daemon whose bucket is full, and the time by its clock.
struct Daemon {
    now: Instant,
    quotas: Quotas,
}

impl Daemon {
    fn new() -> Self {
        let start = Instant::now();
        let mut daemon = Self {
            now: start,
            quotas: Quotas::new(0, start),
        };
        daemon.pass(Duration::from_secs(2));
        daemon
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += REPORT_INTERVAL;
            self.quotas.tick(self.now);
        }
    }

    fn spend(&mut self, quota: Quota, debit: Debit) -> quota::Result<bool> {
        let customer = CUSTOMER.to_owned();
        self.quotas.spend(&customer, quota, debit, self.now)
    }

    /// Time until a small request passes.
    fn wait(&mut self, quota: Quota) -> Duration {
        let began_at = self.now;
        while self.spend(quota, Fleet::debit(0, 1)).is_err() {
            self.pass(REPORT_INTERVAL);
        }
        self.now - began_at
    }

    /// Takes in what the other daemon reports.
    fn hear(&mut self, other: &Self) {
        let spent = other.quotas.spent(other.now);
        let name = "other".to_owned();
        self.quotas.merge_spent(&name, 1, &spent, self.now);
    }
}

/// A request without a token count.
fn plain(quota: Quota) -> Debit {
    Debit {
        is_plain: true,
        tier: 0,
        units: quota.plain_tokens,
    }
}

/// A quota of requests.
fn in_requests(per_s: f64) -> Quota {
    Quota {
        burst: per_s,
        per_s,
        unit: QuotaUnit::Requests,
        ..QUOTA
    }
}

// Guards against a request that is beyond the quota in any window, passes and is owed for hours.
#[test]
fn a_request_beyond_any_window_is_refused() {
    let mut daemon = Daemon::new();
    let quota = Quota {
        plain_tokens: 1 << 33,
        ..QUOTA
    };
    let refused = daemon.spend(quota, plain(quota)).unwrap_err();
    assert!(refused.retry_after <= WINDOW, "{:?}", refused.retry_after);
    assert!(daemon.spend(quota, Fleet::debit(0, REQUEST_TOKENS)).is_ok());
}

// Guards against a debt by mistaken tokens of plain requests that outlasts their correction.
#[test]
fn corrected_plain_tokens_are_in_force_at_once() {
    let mut daemon = Daemon::new();
    daemon.spend(MISTAKEN, plain(MISTAKEN)).unwrap();
    assert!(daemon.spend(MISTAKEN, plain(MISTAKEN)).is_err());
    daemon.pass(REPORT_INTERVAL);
    assert!(daemon.spend(QUOTA, plain(QUOTA)).is_ok());
}

// Guards against the same debt at a daemon that has heard of the request from another one.
#[test]
fn corrected_plain_tokens_are_in_force_at_other_daemons() {
    let (mut daemon, mut other) = (Daemon::new(), Daemon::new());
    other.spend(MISTAKEN, Fleet::debit(0, 0)).unwrap();
    daemon.spend(MISTAKEN, Fleet::debit(0, 0)).unwrap();
    daemon.hear(&other);
    other.spend(MISTAKEN, plain(MISTAKEN)).unwrap();
    daemon.hear(&other);
    assert!(daemon.spend(MISTAKEN, Fleet::debit(0, 1)).is_err());
    daemon.pass(REPORT_INTERVAL);
    assert!(daemon.spend(QUOTA, plain(QUOTA)).is_ok());
}

macro_rules! later_daemons {
    ($($name:ident: $hears_before:literal;)*) => {$(
        // Guards against a debt that comes back from a daemon at which the correction is not yet in force.
        #[test]
        fn $name() {
            let (mut daemon, mut other) = (Daemon::new(), Daemon::new());
            other.spend(MISTAKEN, Fleet::debit(0, 0)).unwrap();
            daemon.spend(QUOTA, Fleet::debit(0, 0)).unwrap();
            daemon.hear(&other);
            other.spend(MISTAKEN, plain(MISTAKEN)).unwrap();
            if $hears_before {
                daemon.hear(&other);
            }
            daemon.pass(REPORT_INTERVAL);
            assert!(daemon.spend(QUOTA, plain(QUOTA)).is_ok());
            other.pass(REPORT_INTERVAL);
            other.spend(QUOTA, plain(QUOTA)).unwrap();
            daemon.hear(&other);
            daemon.pass(REPORT_INTERVAL);
            assert!(daemon.spend(QUOTA, plain(QUOTA)).is_ok());
        }
    )*};
}

later_daemons! {
    a_later_daemon_does_not_bring_the_debt_back: true;
    a_late_report_does_not_bring_the_debt_back: false;
}

// Guards against a debt in one unit that is held against a quota in another one.
#[test]
fn a_corrected_unit_is_in_force_at_once() {
    let mut daemon = Daemon::new();
    let mistaken = Quota {
        unit: QuotaUnit::Tokens,
        ..in_requests(10.0)
    };
    daemon.spend(mistaken, Fleet::debit(0, 60)).unwrap();
    daemon.pass(REPORT_INTERVAL);
    let wait = daemon.wait(in_requests(10.0));
    assert!(wait <= Duration::from_millis(200), "{wait:?}");
}

// Guards against a debt made under a high limit that is paid at a low one, which takes hours.
#[test]
fn a_lower_limit_binds_one_window_after() {
    let mut daemon = Daemon::new();
    daemon.spend(QUOTA, Fleet::debit(0, OWED)).unwrap();
    let low = Quota {
        burst: 10.0,
        per_s: 10.0,
        ..QUOTA
    };
    let wait = daemon.wait(low);
    assert!(wait <= WINDOW, "{wait:?}");
}

// Guards against a lowered limit that each daemon grants anew which the customer has not used since.
#[test]
fn a_lower_limit_holds_where_it_was_not_used_since() {
    let (mut daemon, mut other) = (Daemon::new(), Daemon::new());
    let (low, high) = (in_requests(10.0), in_requests(1_000.0));
    let customer = CUSTOMER.to_owned();
    daemon.spend(high, Fleet::debit(0, 1)).unwrap();
    other.spend(high, Fleet::debit(0, 1)).unwrap();
    daemon.hear(&other);
    for daemon in [&mut daemon, &mut other] {
        daemon.quotas.adopt(&customer, low, daemon.now);
    }
    for _ in 0..100 {
        while other.spend(low, Fleet::debit(0, 1)).is_ok() {}
        daemon.hear(&other);
        daemon.pass(REPORT_INTERVAL);
        other.pass(REPORT_INTERVAL);
    }
    daemon.hear(&other);
    let passed = (0..100).filter(|_| daemon.spend(low, Fleet::debit(0, 1)).is_ok());
    assert!(passed.count() <= 5);
}

// Guards against a debt of what another daemon has let pass under a limit that was lowered here before.
#[test]
fn a_lower_limit_is_served_while_another_daemon_is_late() {
    let (mut daemon, mut other) = (Daemon::new(), Daemon::new());
    let low = in_requests(10.0);
    let high = in_requests(10_000.0);
    other.spend(high, Fleet::debit(0, 0)).unwrap();
    daemon.spend(low, Fleet::debit(0, 0)).unwrap();
    daemon.hear(&other);
    for _ in 0..10_000 {
        other.spend(high, Fleet::debit(0, 1)).unwrap();
    }
    daemon.hear(&other);
    let wait = daemon.wait(low);
    assert!(wait <= WINDOW, "{wait:?}");
}

macro_rules! other_figures {
    ($($name:ident: $change:expr;)*) => {$(
        // Guards against a refund of what ran under a figure that still stands, by a change of another one.
        #[test]
        fn $name() {
            let mut daemon = Daemon::new();
            daemon.spend(QUOTA, Fleet::debit(0, OWED)).unwrap();
            let mut changed = QUOTA;
            let change: fn(&mut Quota) = $change;
            change(&mut changed);
            let began_at = daemon.now;
            for _ in 0..5 {
                for quota in [changed, QUOTA] {
                    let _ = daemon.spend(quota, Fleet::debit(0, 1));
                    daemon.pass(REPORT_INTERVAL);
                }
            }
            daemon.wait(QUOTA);
            let debt = OWED as f64 - QUOTA.burst;
            let wait = Duration::from_secs_f64(debt / QUOTA.per_s);
            assert!(daemon.now - began_at >= wait, "{:?}", daemon.now - began_at);
        }
    )*};
}

other_figures! {
    a_larger_burst: |quota| quota.burst *= 2.0;
    a_smaller_burst: |quota| quota.burst /= 2.0;
    fewer_plain_tokens: |quota| quota.plain_tokens = 1;
    more_plain_tokens: |quota| quota.plain_tokens *= 10;
    a_lower_rate: |quota| quota.per_s /= 10.0;
}

// Guards against units beyond the quota in a window while versions change its figures to and fro, at each
// daemon at another time.
#[test]
fn figures_that_change_to_and_fro_do_not_raise_the_limit() {
    let lower = Quota {
        burst: QUOTA.burst / 2.0,
        per_s: QUOTA.per_s / 2.0,
        plain_tokens: QUOTA.plain_tokens / 2,
        ..QUOTA
    };
    let mut fleet = Fleet::new(7);
    for step in 0..800_usize {
        for turn in 0..14 {
            let at = (step + turn) % 7;
            let quota = match ((step + 5 * at) / 50).is_multiple_of(2) {
                true => QUOTA,
                false => lower,
            };
            let debit = Fleet::debit(0, REQUEST_TOKENS / 3);
            fleet.spend_of(quota, at, debit);
        }
        fleet.exchange_reports(|_, _| true);
        fleet.now += REPORT_INTERVAL;
    }
    let max_passed = fleet.max_passed_in(WINDOW) as f64;
    assert!(max_passed <= allowed(WINDOW) * TOLERANCE, "{max_passed}");
    let passed: u64 = fleet.passed.iter().map(|(_, units)| units).sum();
    let seconds = (fleet.now - fleet.start).as_secs_f64();
    assert!(passed as f64 >= lower.per_s * (seconds - 1.0), "{passed}");
}
