//! The retry budgets of a whole fleet, over kills of all its daemons.

use lilaccrankd::request::pool_retry_budgets::PoolRetryBudgets;
use lilaccrankd::settings::Retries;

/// Reserve of all daemons together, and retries that each request earns.
const RETRIES: Retries = Retries {
    daemons: 10,
    reserve: 192.0,
    share: 0.2,
};
const POOL: &str = "engines";

/// Requests of one life of a daemon.
const REQUESTS: usize = 13;

/// Requests before that need no retry.
const EARLIER: usize = 100;

/// Sends as many retries as the budgets of these daemons allow, in a life with requests that need none at first.
fn live(daemons: usize, earlier: usize) -> usize {
    let pool = POOL.to_owned();
    let spend = |budgets: PoolRetryBudgets| {
        // The first request may come before the other daemons are known.
        budgets.record_request(&pool);
        budgets.set_member_count(daemons);
        for _ in 0..earlier {
            budgets.record_request(&pool);
        }
        let mut retries = 0;
        for _ in 1..REQUESTS {
            budgets.record_request(&pool);
            retries += std::iter::from_fn(|| budgets.try_retry(&pool).then_some(())).count();
        }
        retries
    };
    let fleet = (0..daemons).map(|_| PoolRetryBudgets::new(&RETRIES));
    fleet.map(spend).sum()
}

macro_rules! within_the_reserve {
    ($($name:ident: $daemons:literal, $kills:literal;)*) => {$(
        /// Guards against a fleet that spends its reserve of retries anew after a kill of all.
        #[test]
        fn $name() {
            let again: usize = (0..$kills).map(|_| live($daemons, 0)).sum();
            let sent = live($daemons, EARLIER) + again;
            let requests = $daemons * ($kills + 1) * REQUESTS;
            let allowed = RETRIES.share * requests as f64 + RETRIES.reserve;
            println!("{sent} of {allowed} retries");
            assert!(sent as f64 <= allowed, "{sent} of {allowed} retries");
        }
    )*};
}

within_the_reserve! {
    one_daemon_killed: 1, 2;
    few_daemons_killed: 4, 2;
    as_many_daemons_as_parts_killed: 9, 2;
    many_daemons_killed: 76, 1;
    many_daemons_killed_again: 76, 2;
    more_daemons_killed: 132, 1;
}

/// Guards against daemons that never retry.
#[test]
fn retries_are_earned_after_a_start() {
    let sent = live(76, 0);
    assert!(sent >= 76, "{sent} retries");
}
