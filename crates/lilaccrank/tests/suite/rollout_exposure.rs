//! Share of the requests that a new version gets, in sum over all daemons.

use lilaccrank::rollout::exposure::Exposure;
use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Share that operators allow, and requests beyond it.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// Requests that the new version gets if each daemon has so many, and how many there are.
fn exposed(requests: &[u32], seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut exposed = 0;
    for count in requests {
        let mut exposure = Exposure::new(rng.random());
        for _ in 0..*count {
            exposed += u32::from(exposure.take_trial());
            // Half of the rest would outlast the old targets.
            exposed += u32::from(rng.random_bool(0.5) && exposure.take());
            exposure.record_request();
        }
    }
    (
        f64::from(exposed),
        requests.iter().map(|n| f64::from(*n)).sum(),
    )
}

fn is_within_share(requests: &[u32], seed: u64) -> bool {
    let (exposed, all) = exposed(requests, seed);
    exposed <= SHARE * all + SLACK
}

quickcheck! {
    /// Guards against shares that each daemon rounds up, so that many daemons exceed the sum.
    fn shares_of_any_daemons_add_up(requests: Vec<u8>, seed: u64) -> bool {
        let requests: Vec<_> = requests.into_iter().map(u32::from).collect();
        is_within_share(&requests, seed)
    }
}

/// Names a way in which requests come to daemons.
macro_rules! shares {
    ($($(#[$doc:meta])* $name:ident: $requests:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            for seed in 0..100 {
                let requests: Vec<u32> = $requests;
                assert!(is_within_share(&requests, seed), "{:?}", exposed(&requests, seed));
            }
        }
    )*};
}

shares! {
    /// Guards against a request to the new version by each daemon of a large fleet.
    one_request_at_each_of_700_daemons: vec![1; 700];
    /// Guards against a fleet in which each daemon sees a few requests.
    few_requests_at_each_of_76_daemons: vec![8; 76];
    /// Guards against a daemon that gets nearly all requests.
    one_daemon_with_nearly_all: [vec![5_000], vec![1; 75]].concat();
    /// Guards against daemons that start anew again and again.
    many_restarts: vec![3; 2_000];
}

/// Guards against a share so small that a version is never tried.
#[test]
fn few_requests_are_enough_for_a_trial() {
    let tried = (0..100).filter(|seed| exposed(&[8; 76], *seed).0 >= 20.0);
    assert_eq!(tried.count(), 100);
}
