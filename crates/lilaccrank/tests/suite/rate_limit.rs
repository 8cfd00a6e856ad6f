//! Division of a target's advertised rate limit among cells and daemons.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use lilaccrank::advisories::{Advisories, Advisory, Fact, RATE_LIMIT_LIFETIME};
use lilaccrank::cells::{Cell, CellId};
use lilaccrank::dispatch::rate_limit::{self, RateLimit, Share};
use lilaccrank::document::Target;
use lilaccrank::ids::VmId;
use lilaccrank::target_instance::TargetInstance;
use quickcheck::quickcheck;

use crate::dispatch_harness::{self, Harness};

const TARGET: u32 = 7;

fn fleet(daemons: usize) -> IndexSet<VmId> {
    (0..daemons).map(|number| format!("vm-{number}")).collect()
}

/// Returns the cells of a fleet, all of which send to the same target.
fn cells(count: u16) -> Vec<CellId> {
    (0..count).map(|index| CellId { count, index }).collect()
}

fn shares(per_s: f64, cells: &[CellId]) -> Vec<Share> {
    let share = |me: &CellId| rate_limit::share(per_s, TARGET, cells, *me);
    let shares = cells.iter().map(share);
    shares.filter(|share| share.per_s > 0.0).collect()
}

/// Returns how many requests a target tolerates in four seconds: 1.5 times its rate, and five more.
fn tolerated_requests(per_s: f64) -> usize {
    (1.5 * 4.0 * per_s + 5.0) as usize
}

/// Returns the number of requests sent in four seconds if all buckets are full at the start and there
/// is always a request to send.
fn max_requests_in_four_seconds(shares: &[Share]) -> usize {
    let now = Instant::now();
    let mut buckets: Vec<_> = shares
        .iter()
        .map(|share| RateLimit::new(*share, now))
        .collect();
    let full = now + Duration::from_secs(60);
    let mut sent = 0;
    for tick in 0..=400 {
        let at = full + Duration::from_millis(10) * tick;
        for bucket in &mut buckets {
            while bucket.allows(0, at) {
                bucket.take(1, at);
                sent += 1;
            }
        }
    }
    sent
}

// Guards against shares that exceed the rate in total, and against bursts of many cells at once.
#[test]
fn shares_add_up_to_the_rate() {
    for count in [1, 2, 8, 32] {
        for per_s in [0.1, 0.5, 2.4, 20.0, 150.0] {
            let shares = shares(per_s, &cells(count));
            let sum: f64 = shares.iter().map(|share| share.per_s).sum();
            assert!((sum - per_s).abs() < 1e-6);
            let most = max_requests_in_four_seconds(&shares);
            assert!(
                most <= tolerated_requests(per_s),
                "{most}: {count} cells, {per_s}"
            );
        }
    }
}

quickcheck! {
    fn any_rate_leaves_a_positive_share(per_s: f64, count: u8) -> bool {
        let shares = shares(per_s, &cells(u16::from(count) + 1));
        !shares.is_empty() && shares.iter().all(|share| share.per_s > 0.0 && share.burst >= 1.0)
    }
}

// Guards against cells that use the same target but are not among its sharers, so that they exceed its
// rate together.
#[test]
fn cells_that_share_targets_share_their_rates() {
    let members = fleet(64);
    for targets in [3, 5, 12, 24, 160] {
        for me in &members {
            let cell = Cell::new(&members, me);
            let mut pool = make_targets(targets);
            cell.retain_targets(&mut pool);
            let sharers = cell.cells_sharing_targets(targets);
            assert!(sharers.contains(&cell.id()));
            let others = members.iter().map(|vm| Cell::new(&members, vm));
            for other in others.filter(|other| other.id() != cell.id()) {
                let mut other_pool = make_targets(targets);
                other.retain_targets(&mut other_pool);
                assert_eq!(sharers.contains(&other.id()), pool == other_pool);
            }
        }
    }
    // Without cells, where one daemon dispatches a pool, the default cell is the only sharer.
    assert_eq!(
        Cell::default().cells_sharing_targets(12),
        [Cell::default().id()]
    );
}

fn make_targets(count: usize) -> Vec<Target> {
    let target = |number| Target {
        id: format!("t{number}"),
        ..Target::default()
    };
    (0..count).map(target).collect()
}

/// Dispatchers of one cell for one target with a rate limit; each always has submissions waiting.
struct Dispatchers {
    daemons: Vec<Harness>,
    grants: Vec<usize>,
    requests: usize,
}

const TICK: Duration = Duration::from_millis(50);

impl Dispatchers {
    fn new(daemons: usize, per_s: f64) -> Self {
        let daemon = |number| Harness::for_vm(&format!("vm-{number}"), &[60], 1_000, TICK * 100);
        let daemons: Vec<_> = (0..daemons).map(daemon).collect();
        let target = TargetInstance::from("t0").digest();
        let cells = cells(1);
        let share = rate_limit::share(per_s, target, &cells, cells[0]);
        for daemon in &daemons {
            daemon.dispatcher.set_rate_limits(&[(target, share)].into());
        }
        Self {
            daemons,
            grants: Vec::new(),
            requests: 0,
        }
    }

    /// Advances all daemons by a tick, in which they grant what they can, then exchanges digests.
    fn tick(&mut self, tier: impl Fn(usize) -> u8) {
        let mut granted = 0;
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            self.requests += 1;
            daemon.submit(dispatch_harness::submission(
                &format!("r{}", self.requests),
                tier(number),
            ));
            daemon.advance(TICK);
            for (request, target) in daemon.grants() {
                granted += 1;
                daemon.end(&request, &target);
            }
        }
        self.grants.push(granted);
        let digests: Vec<_> = self
            .daemons
            .iter()
            .map(|daemon| daemon.dispatcher.digest())
            .collect();
        for (number, daemon) in self.daemons.iter().enumerate() {
            for (from, digest) in digests
                .iter()
                .enumerate()
                .filter(|(from, _)| *from != number)
            {
                daemon
                    .dispatcher
                    .apply_digest(&format!("vm-{from}"), digest.clone());
            }
        }
    }
}

// Guards against daemons of a cell that each use the whole rate, and against a rate that is not used up
// although all daemons always have requests waiting.
#[test]
fn a_cell_keeps_to_a_rate_and_uses_it() {
    for daemons in [1, 3, 7, 15] {
        for per_s in [0.5, 2.4, 20.0] {
            let mut cell = Dispatchers::new(daemons, per_s);
            for _ in 0..600 {
                cell.tick(|_| 0);
            }
            let windows = cell.grants.windows(80);
            let most = windows
                .map(|window| window.iter().sum::<usize>())
                .max()
                .unwrap();
            assert!(
                most <= tolerated_requests(per_s),
                "{most}: {daemons} daemons, {per_s}"
            );
            let sent: usize = cell.grants.iter().sum();
            let share = sent as f64 / (30.0 * per_s);
            assert!(
                (0.9..1.25).contains(&share),
                "{share}: {daemons} daemons, {per_s}"
            );
        }
    }
}

// Guards against a later tier at one daemon that uses the rate while an earlier tier waits at another.
#[test]
fn an_earlier_tier_at_another_daemon_goes_first() {
    let mut cell = Dispatchers::new(2, 2.0);
    let mut waiting_by_daemon = [0, 0];
    for _ in 0..600 {
        cell.tick(|number| number as u8);
        for (count, daemon) in waiting_by_daemon.iter_mut().zip(&cell.daemons) {
            *count = waiting_submissions(daemon);
        }
    }
    assert!(
        waiting_by_daemon[0] < waiting_by_daemon[1],
        "{waiting_by_daemon:?}"
    );
    assert_eq!(waiting_by_daemon[1], 600);
}

fn waiting_submissions(daemon: &Harness) -> usize {
    let status = daemon.dispatcher.status();
    status.waiting.iter().map(|tier| tier.waiting).sum()
}

#[test]
fn changed_rate_keeps_the_tokens() {
    let now = Instant::now();
    let share = |per_s| Share { burst: 2.0, per_s };
    let mut bucket = RateLimit::new(share(2.0), now);
    assert!(!bucket.allows(0, now));
    let later = now + Duration::from_millis(500);
    bucket.set(share(0.5), later);
    assert!(bucket.allows(0, later));
    assert!(
        !bucket.allows(1, later),
        "one request is reserved for others"
    );
    bucket.take(1, later);
    assert!(!bucket.allows(0, later + Duration::from_millis(1_900)));
    assert!(bucket.allows(0, later + Duration::from_millis(2_100)));
}

// Guards against an invalid count that blocks a target forever.
#[test]
fn a_debt_is_bounded() {
    let now = Instant::now();
    let share = Share {
        burst: 2.0,
        per_s: 2.0,
    };
    let mut bucket = RateLimit::new(share, now);
    bucket.take(u32::MAX, now);
    assert!(bucket.allows(0, now + Duration::from_secs(6)));
}

fn limit(per_1000_s: Option<u32>) -> Fact {
    Fact::RateLimit {
        per_1000_s,
        target: TARGET,
    }
}

fn limits(advisories: &Advisories, now: Instant) -> Vec<(u32, f64)> {
    advisories.rate_limits(now).collect()
}

#[test]
fn latest_answer_decides() {
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let mut advisories = Advisories::default();
    assert!(
        !advisories.note(limit(None), now),
        "no limit is the initial state"
    );
    assert!(advisories.note(limit(Some(2_400)), after(1)));
    assert!(!advisories.note(limit(Some(2_400)), after(2)));
    assert_eq!(limits(&advisories, after(2)), [(TARGET, 2.4)]);
    assert!(advisories.note(limit(None), after(3)));
    assert!(limits(&advisories, after(3)).is_empty());
    let late = Advisory {
        age_ms: 50,
        fact: limit(Some(2_400)),
    };
    assert!(
        advisories.merge(&[late], after(40)).is_empty(),
        "observed before the limit was lifted"
    );
}

// Guards against a limit that stays in force after the answers that advertise it have ended, and against
// one that expires while it is still advertised.
#[test]
fn limit_expires_without_new_answers() {
    let now = Instant::now();
    let mut advisories = Advisories::default();
    advisories.note(limit(Some(500)), now);
    let mut sent_updates = advisories.take_updates(8, now).len();
    for second in 1..100 {
        let at = now + Duration::from_secs(second);
        advisories.note(limit(Some(500)), at);
        sent_updates += advisories.take_updates(8, at).len();
        assert_eq!(limits(&advisories, at), [(TARGET, 0.5)]);
    }
    assert!(sent_updates <= 3 * 8, "{sent_updates} updates in 100 s");
    let expiry = now + Duration::from_secs(99) + RATE_LIMIT_LIFETIME;
    assert!(limits(&advisories, expiry).is_empty());
}
