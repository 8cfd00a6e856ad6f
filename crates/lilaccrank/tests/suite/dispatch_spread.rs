//! Daemons with the same view of the targets choose different ones.

use std::time::Duration;

use indexmap::IndexMap;
use lilaccrank::cells;
use lilaccrank::dispatch::queue::Priority;
use lilaccrank::dispatch::sharing::{Digest, TargetLoad};
use lilaccrank::document::Target;

use crate::dispatch_fixtures::{
    deliver_digest, digest, empty_digest, granted, harness, submission_with_objective,
    target_digest,
};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// Returns the largest number of requests on one of 140 targets, after each of seventy daemons has sent
/// one without a digest of another.
fn max_requests_on_one_target(order: impl Fn(&mut [Target], &String)) -> usize {
    let ids: Vec<String> = (0..140).map(|i| format!("t{i}")).collect();
    let mut sent: IndexMap<String, usize> = IndexMap::new();
    for daemon in 0..70 {
        let mut harness = harness(&[]);
        let target = |id: &String| Target {
            data_centre: DATA_CENTRE.to_owned(),
            id: id.clone(),
            slots: 4,
            ..Target::default()
        };
        harness.pool.targets = ids.iter().map(target).collect();
        order(&mut harness.pool.targets, &format!("vm{daemon}"));
        harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
        harness.submit(submission_with_objective("first", 0));
        let (_, target) = harness.grants().remove(0);
        *sent.entry(target).or_default() += 1;
    }
    sent.into_values().max().unwrap_or(0)
}

// Guards against one target that gets the first request of all daemons after a fleet restarts at peak
// load: without digests all targets look idle, and in a common order of targets the same one comes
// first and rejects most requests. Each daemon has an order of its own.
#[test]
fn daemons_that_start_together_choose_different_targets() {
    assert_eq!(max_requests_on_one_target(|_, _| ()), 70);
    let spread = max_requests_on_one_target(cells::sort_by_daemon_hash);
    assert!(spread <= 4, "{spread}");
}

/// Eight daemons that each have a submission waiting for the only slot of a target, which a ninth
/// daemon holds, and have exchanged digests.
struct WaitingDaemons {
    daemons: Vec<Harness>,
}

impl WaitingDaemons {
    fn new(tier_of: impl Fn(usize) -> u8) -> Self {
        let new = |i: usize| Harness::for_vm(&format!("vm{i}"), &[1], 100, Duration::from_secs(1));
        let mut daemons: Vec<Harness> = (0..8).map(new).collect();
        for (i, daemon) in daemons.iter_mut().enumerate() {
            deliver_digest(daemon, "holder", digest("t0", 1, 100));
            daemon.submit(submission_with_objective(&format!("of {i}"), tier_of(i)));
            assert_eq!(daemon.grants(), []);
        }
        let waiting = Self { daemons };
        waiting.exchange_digests();
        waiting
    }

    /// Delivers each daemon's digest to all others.
    fn exchange_digests(&self) {
        for (from, sender) in self.daemons.iter().enumerate() {
            let digest = sender.dispatcher.digest();
            for (to, receiver) in self.daemons.iter().enumerate() {
                if from != to {
                    deliver_digest(receiver, &format!("vm{from}"), digest.clone());
                }
            }
        }
    }

    /// Ends the ninth daemon's request; all daemons get its digest at the same time.
    fn release_slot(&self) {
        for daemon in &self.daemons {
            deliver_digest(daemon, "holder", empty_digest());
        }
    }

    /// Returns the requests granted since the last call.
    fn granted(&mut self) -> Vec<String> {
        let grants = self.daemons.iter_mut().flat_map(Harness::grants);
        grants.map(|(request, _)| request).collect()
    }

    fn advance(&mut self, time: Duration) {
        for daemon in &mut self.daemons {
            daemon.advance(time);
        }
    }
}

// Guards against all daemons taking the same free slot: in a burst, requests wait at every daemon and a
// slot is released by one without a queue. If each took it, seven of eight requests would wait in the
// engine's own queue and delay those of the next seconds. Only one daemon takes it.
#[test]
fn released_slot_is_taken_by_one_daemon() {
    let mut waiting = WaitingDaemons::new(|_| 0);
    waiting.release_slot();
    assert_eq!(waiting.granted().len(), 1);
    waiting.exchange_digests();
    waiting.advance(Duration::from_millis(100));
    assert_eq!(waiting.granted(), [] as [String; 0]);
}

// Guards against a free slot that goes to a later tier: an urgent request waits at one daemon, less
// urgent ones at seven others.
#[test]
fn released_slot_goes_to_the_earliest_tier_of_all_daemons() {
    let mut waiting = WaitingDaemons::new(|i| u8::from(i != 5));
    waiting.release_slot();
    assert_eq!(waiting.granted(), ["of 5"]);
}

// Guards against a slot left to a peer's urgent request whose caller has disconnected since. Another
// daemon takes it shortly after.
#[test]
fn slot_left_to_a_cancelled_submission_is_taken() {
    let mut harness = harness(&[1]);
    deliver_digest(&harness, "holder", digest("t0", 1, 100));
    harness.submit(submission_with_objective("report", 1));
    let peer_digest = Digest {
        waiting: Some(Priority::default()),
        ..Digest::default()
    };
    deliver_digest(&harness, "vm2", peer_digest);
    deliver_digest(&harness, "holder", empty_digest());
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(50));
    assert_eq!(harness.grants(), granted("report", "t0"));
}

/// Checks whether a submission of a tier is granted at a target that has so many prompt tokens left
/// to prefill, at 8000 tokens a second, once all three tiers have had requests.
macro_rules! prefill_backlog {
    ($name:ident, $tier:literal, $tokens:literal, $is_granted:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[20]);
            for tier in 0..3 {
                let id = format!("seen {tier}");
                harness.submit(submission_with_objective(&id, tier));
                harness.verdicts();
                harness.end(&id, "t0");
            }
            deliver_digest(&harness, "vm2", digest("t0", 1, $tokens));
            harness.submit(submission_with_objective("a", $tier));
            assert_eq!(harness.grants().len(), usize::from($is_granted));
        }
    };
}

// Guards against requests that queue inside the engine behind a long prefill in a burst of long
// prompts: an urgent request that arrives a moment later waits behind them, and all streams of the
// target pause. The later the tier, the smaller the prefill backlog it may join. Half a second of
// prefill is too much for any first token; the request waits for the target that is done first.
prefill_backlog!(first_tier_is_sent_behind_a_short_prefill, 0, 1_200, true);
prefill_backlog!(first_tier_waits_for_a_long_prefill, 0, 2_000, false);
prefill_backlog!(second_tier_is_sent_behind_a_shorter_prefill, 1, 600, true);
prefill_backlog!(second_tier_waits_for_a_medium_prefill, 1, 1_200, false);
prefill_backlog!(last_tier_is_sent_behind_a_minimal_prefill, 2, 200, true);
prefill_backlog!(last_tier_waits_for_any_longer_prefill, 2, 600, false);

// Guards against all daemons choosing the least loaded target at the same time: nine daemons have the
// same view of nine targets whose loads differ by at most a tenth, and each gets a request before the
// next digest. The least loaded target has slots for four of the nine.
#[test]
fn daemons_with_the_same_view_choose_different_targets() {
    let mut sent: IndexMap<String, usize> = IndexMap::new();
    for daemon in 0..9 {
        let vm = format!("vm{daemon}");
        let mut harness = Harness::for_vm(&vm, &[4; 9], 100, Duration::from_secs(1));
        let mut pool = harness.pool.clone();
        harness.pool.targets.clear();
        harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
        cells::sort_by_daemon_hash(&mut pool.targets, &vm);
        harness.dispatcher.set_targets(&pool, DATA_CENTRE);
        harness.pool = pool;
        harness.prove_targets();
        let load = |i: u64| TargetLoad {
            prefill: 2 * i,
            running: 1,
            target: target_digest(&format!("t{i}")),
        };
        let peer_digest = Digest {
            loads: (0..9).map(load).collect(),
            ..Digest::default()
        };
        deliver_digest(&harness, "holder", peer_digest);
        harness.submit(submission_with_objective("a", 0));
        let (_, target) = harness.grants().remove(0);
        *sent.entry(target).or_default() += 1;
    }
    let most = sent.into_values().max().unwrap_or(0);
    assert!(most <= 4, "{most}");
}
