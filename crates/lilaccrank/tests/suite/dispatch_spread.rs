//! Daemons that see the same targets and do not all take the same one.

use std::time::Duration;

use indexmap::IndexMap;
use lilaccrank::cells;
use lilaccrank::dispatch::queue::Priority;
use lilaccrank::dispatch::sharing::{Digest, TargetLoad};
use lilaccrank::document::Target;

use crate::dispatch_fixtures::{
    ask_with_objective, deliver_digest, digest, empty_digest, granted, harness, target_digest,
};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// Most requests on one of 140 targets, where each of seventy daemons has sent one and none has heard
/// of another.
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
        harness.ask(ask_with_objective("first", 0));
        let (_, target) = harness.grants().remove(0);
        *sent.entry(target).or_default() += 1;
    }
    sent.into_values().max().unwrap_or(0)
}

// All daemons of a fleet lose power and start again at the peak. Each sees idle targets only, since
// none has heard of another yet. In one order for all, the first request of each daemon goes to the
// same target, which turns most of them away; in an order of their own they find free slots.
#[test]
fn daemons_that_start_together_choose_different_targets() {
    assert_eq!(max_requests_on_one_target(|_, _| ()), 70);
    let spread = max_requests_on_one_target(cells::sort_by_daemon_hash);
    assert!(spread <= 4, "{spread}");
}

/// Eight daemons that each have an ask of these tiers waiting for the one slot of a target, which a
/// ninth one holds, and have told each other so.
struct WaitingDaemons {
    daemons: Vec<Harness>,
}

impl WaitingDaemons {
    fn new(tier_of: impl Fn(usize) -> u8) -> Self {
        let new = |i: usize| Harness::for_vm(&format!("vm{i}"), &[1], 100, Duration::from_secs(1));
        let mut daemons: Vec<Harness> = (0..8).map(new).collect();
        for (i, daemon) in daemons.iter_mut().enumerate() {
            deliver_digest(daemon, "holder", digest("t0", 1, 100));
            daemon.ask(ask_with_objective(&format!("of {i}"), tier_of(i)));
            assert_eq!(daemon.grants(), []);
        }
        let waiting = Self { daemons };
        waiting.exchange_digests();
        waiting
    }

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

    /// The ninth daemon's request ends, and all hear of it at the same moment.
    fn release_slot(&self) {
        for daemon in &self.daemons {
            deliver_digest(daemon, "holder", empty_digest());
        }
    }

    /// Requests that got the slot since the last look.
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

// A burst: reviews wait at all daemons, and a slot comes free at a ninth one that has nothing
// waiting. All hear of it at once. If each takes it, seven of eight reviews wait in the engine's own
// queue, behind which those of the next seconds wait too; one of them takes it.
#[test]
fn released_slot_is_taken_by_one_daemon() {
    let mut waiting = WaitingDaemons::new(|_| 0);
    waiting.release_slot();
    assert_eq!(waiting.granted().len(), 1);
    waiting.exchange_digests();
    waiting.advance(Duration::from_millis(100));
    assert_eq!(waiting.granted(), [] as [String; 0]);
}

// Reports wait at seven daemons and a review at one. The slot that comes free is the review's,
// wherever it waits.
#[test]
fn released_slot_goes_to_the_earliest_tier_of_all_daemons() {
    let mut waiting = WaitingDaemons::new(|i| u8::from(i != 5));
    waiting.release_slot();
    assert_eq!(waiting.granted(), ["of 5"]);
}

// A peer told of a review that waits, and its caller has gone since. The room that is left to it is
// taken by another daemon a moment later.
#[test]
fn slot_left_to_a_cancelled_ask_is_taken() {
    let mut harness = harness(&[1]);
    deliver_digest(&harness, "holder", digest("t0", 1, 100));
    harness.ask(ask_with_objective("report", 1));
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

/// Whether an ask of a tier goes to a target that has so many tokens of a prompt still to read, of
/// eight thousand in a second, once something of three tiers has come.
macro_rules! prefill_backlog {
    ($name:ident, $tier:literal, $tokens:literal, $is_granted:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[20]);
            for tier in 0..3 {
                let id = format!("seen {tier}");
                harness.ask(ask_with_objective(&id, tier));
                harness.verdicts();
                harness.end(&id, "t0");
            }
            deliver_digest(&harness, "vm2", digest("t0", 1, $tokens));
            harness.ask(ask_with_objective("a", $tier));
            assert_eq!(harness.grants().len(), usize::from($is_granted));
        }
    };
}

// A burst of long prompts: what is sent behind a prompt that is still read waits in the target's own
// queue, where a review that comes a moment later waits behind it, and all streams of the target
// pause. The later a tier, the less may be left to read. Half a second of reading is too much for
// anyone's first token; a daemon lets the ask wait, and sends it to the target that is done first.
prefill_backlog!(first_tier_is_sent_behind_a_short_prefill, 0, 1_200, true);
prefill_backlog!(first_tier_waits_for_a_long_prefill, 0, 2_000, false);
prefill_backlog!(second_tier_is_sent_behind_a_shorter_prefill, 1, 600, true);
prefill_backlog!(second_tier_waits_for_a_medium_prefill, 1, 1_200, false);
prefill_backlog!(last_tier_is_sent_behind_a_minimal_prefill, 2, 200, true);
prefill_backlog!(last_tier_waits_for_any_longer_prefill, 2, 600, false);

// Nine daemons have the same view of nine targets, of which none has more than a tenth more to do
// than another, and each gets a request before it hears of the others'. All of them on the least
// loaded target would be nine where there is room for four.
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
        harness.ask(ask_with_objective("a", 0));
        let (_, target) = harness.grants().remove(0);
        *sent.entry(target).or_default() += 1;
    }
    let most = sent.into_values().max().unwrap_or(0);
    assert!(most <= 4, "{most}");
}
