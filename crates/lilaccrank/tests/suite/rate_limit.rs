//! Shares of the rate that a target advertises.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use lilaccrank::advisories::{Advisories, Advisory, Fact, RATE_LIMIT_LIFETIME};
use lilaccrank::cells;
use lilaccrank::dispatch::rate_limit::{self, RateLimit};
use lilaccrank::ids::VmId;
use quickcheck::quickcheck;

const TARGET: u32 = 7;

fn fleet(daemons: usize) -> IndexSet<VmId> {
    (0..daemons).map(|number| format!("vm-{number}")).collect()
}

fn shares(per_s: f64, daemons: &IndexSet<VmId>) -> Vec<f64> {
    let share = |me| rate_limit::share(per_s, TARGET, daemons, me);
    daemons
        .iter()
        .map(share)
        .filter(|share| *share > 0.0)
        .collect()
}

/// Most requests in four seconds, if all sharers always have some to send and their buckets are full.
fn most_in_four_seconds(shares: &[f64]) -> usize {
    let now = Instant::now();
    let mut buckets: Vec<_> = shares
        .iter()
        .map(|share| RateLimit::new(*share, now))
        .collect();
    let full = now + Duration::from_secs(60);
    let mut sent = 0;
    for tick in 0..=80 {
        let at = full + Duration::from_millis(50) * tick;
        for bucket in &mut buckets {
            if bucket.allows(at) {
                bucket.take(at);
                sent += 1;
            }
        }
    }
    sent
}

// Guards against shares that add up to more than the rate, and against bursts of many daemons at once: in
// four seconds a target bears one and a half times its rate and five requests.
#[test]
fn shares_add_up_to_the_rate() {
    for daemons in [1, 2, 7, 16, 91, 700] {
        for per_s in [0.1, 0.5, 2.4, 20.0, 150.0] {
            let shares = shares(per_s, &fleet(daemons));
            assert!((shares.iter().sum::<f64>() - per_s).abs() < 1e-6);
            let allowed = (1.5 * 4.0 * per_s + 5.0) as usize;
            let most = most_in_four_seconds(&shares);
            assert!(most <= allowed, "{most} of {allowed}: {daemons}, {per_s}");
        }
    }
}

quickcheck! {
    fn any_rate_keeps_a_way_open(per_s: f64, daemons: u8) -> bool {
        let shares = shares(per_s, &fleet(usize::from(daemons) + 1));
        !shares.is_empty() && shares.iter().all(|share| *share > 0.0)
    }
}

// Guards against a divided fleet whose cells share a target without knowing of each other.
#[test]
fn cells_that_share_targets_share_their_rates() {
    let members = fleet(64);
    for targets in [3, 5, 12, 24, 160] {
        let parts = members.iter().map(|me| {
            let mut sharers = cells::sharers(&members, me, targets);
            assert!(sharers.contains(&me));
            for mate in cells::Cell::new(&members, me).mates() {
                assert!(sharers.contains(&mate));
            }
            sharers.sort_unstable();
            sharers
        });
        let parts: IndexSet<_> = parts.collect();
        assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), members.len());
    }
    assert_eq!(cells::sharers(&members, &members[0], 5).len(), 64);
}

#[test]
fn a_bucket_that_was_set_anew_keeps_its_tokens() {
    let now = Instant::now();
    let mut bucket = RateLimit::new(2.0, now);
    assert!(!bucket.allows(now));
    let later = now + Duration::from_millis(500);
    bucket.set(0.5, later);
    assert!(bucket.allows(later));
    bucket.take(later);
    assert!(!bucket.allows(later + Duration::from_millis(1_900)));
    assert!(bucket.allows(later + Duration::from_millis(2_100)));
}

fn limit(per_1000_s: Option<u32>) -> Fact {
    Fact::RateLimit {
        per_1000_s,
        target: TARGET,
    }
}

fn limits(known: &Advisories, now: Instant) -> Vec<(u32, f64)> {
    known.rate_limits(now).collect()
}

#[test]
fn the_latest_answer_decides() {
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let mut known = Advisories::default();
    assert!(!known.note(limit(None), now), "no limit is no news");
    assert!(known.note(limit(Some(2_400)), after(1)));
    assert!(!known.note(limit(Some(2_400)), after(2)));
    assert_eq!(limits(&known, after(2)), [(TARGET, 2.4)]);
    assert!(known.note(limit(None), after(3)));
    assert!(limits(&known, after(3)).is_empty());
    let late = Advisory {
        age_ms: 50,
        fact: limit(Some(2_400)),
    };
    assert!(
        known.merge(&[late], after(40)).is_empty(),
        "seen before it was lifted"
    );
}

// Guards against a limit that outlives the answers that told of it, and against one that is forgotten while it
// is still advertised.
#[test]
fn a_limit_lives_by_the_answers_that_tell_of_it() {
    let now = Instant::now();
    let mut known = Advisories::default();
    known.note(limit(Some(500)), now);
    let mut told = known.take_updates(8, now).len();
    for second in 1..100 {
        let at = now + Duration::from_secs(second);
        known.note(limit(Some(500)), at);
        told += known.take_updates(8, at).len();
        assert_eq!(limits(&known, at), [(TARGET, 0.5)]);
    }
    assert!(told <= 3 * 8, "{told} times told in 100 s");
    let over = now + Duration::from_secs(99) + RATE_LIMIT_LIFETIME;
    assert!(limits(&known, over).is_empty());
}
