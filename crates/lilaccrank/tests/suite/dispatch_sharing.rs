//! Daemons that dispatch for themselves and tell each other what they have on the targets.

use std::time::Duration;

use indexmap::IndexMap;
use lilaccrank::cells;
use lilaccrank::dispatch::message::{Ask, Outcome, ReportKind};
use lilaccrank::dispatch::queue::Standing;
use lilaccrank::dispatch::sharing::{Digest, Sample, Seen, TargetLoad};
use lilaccrank::document::Target;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_life::{LifeDigest, TargetLife};

use crate::dispatch_cases::{FIRST_TOKEN, ask, granted, harness, refused};
use crate::dispatch_harness::{DATA_CENTRE, Harness};

/// What stands for a target in a digest.
fn of(target: &str) -> LifeDigest {
    TargetLife::from(target).digest()
}

/// A digest of a peer that has `running` short requests on a target.
fn digest(target: &str, running: u32, prefill: u64) -> Digest {
    Digest {
        loads: vec![TargetLoad {
            prefill,
            running,
            target: of(target),
        }],
        whole: true,
        ..Digest::default()
    }
}

/// A digest of a peer that has nothing on any target.
fn nothing() -> Digest {
    Digest {
        whole: true,
        ..Digest::default()
    }
}

fn tell(harness: &Harness, from: &str, digest: Digest) {
    harness.dispatcher.take_digest(&from.to_owned(), digest);
}

/// An ask whose caller expects a first token.
fn hurried(request: &str, tier: u8) -> Ask {
    Ask {
        deadline: Some(Duration::from_secs(10)),
        objective: Some(Duration::from_millis(1_000)),
        ..ask(request, tier)
    }
}

// Two daemons send to one engine at the same time, which lets them wait for each other there. What
// another daemon has on a target counts like what this one has.
#[test]
fn load_of_peers_counts() {
    let mut harness = harness(&[8, 8]);
    tell(&harness, "vm2", digest("t0", 7, 700));
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// A digest is lost, and the next one tells of less. It replaces what was known; added up, the
// target would look full for ever.
#[test]
fn a_digest_replaces_the_one_before() {
    let mut harness = harness(&[2]);
    tell(&harness, "vm2", digest("t0", 2, 0));
    harness.ask(hurried("waits", 0));
    assert_eq!(harness.grants(), []);
    tell(&harness, "vm2", nothing());
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// A peer is killed with requests on a target; nobody tells that they have ended. A peer that is
// not heard for a while has nothing there any more, as its connections ended with it.
#[test]
fn a_silent_peer_is_forgotten() {
    let mut harness = harness(&[2]);
    tell(&harness, "vm2", digest("t0", 2, 0));
    harness.ask(Ask {
        objective: Some(Duration::from_secs(5)),
        ..hurried("waits", 0)
    });
    harness.advance(Duration::from_millis(1_400));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.grants(), granted("waits", "t0"));
}

// A target slows down, and only a peer has requests there. What the peer sees is told: this daemon
// sends its next request elsewhere, without having to make the experience itself.
#[test]
fn what_peers_see_of_a_target_is_learnt() {
    let mut harness = harness(&[8, 8]);
    let slow = Sample {
        seen: Seen::Step {
            batch: 1,
            step: Duration::from_millis(100),
        },
        target: of("t0"),
    };
    for _ in 0..10 {
        let samples = vec![slow; 10];
        tell(
            &harness,
            "vm2",
            Digest {
                samples,
                ..Digest::default()
            },
        );
    }
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// A target fails three requests of three daemons. Each of them alone has seen one failure; told
// of all, nobody sends it a fourth.
#[test]
fn failures_of_peers_count() {
    let mut harness = harness(&[8, 8]);
    let failed = Sample {
        seen: Seen::Failed,
        target: of("t0"),
    };
    for peer in ["vm2", "vm3", "vm4"] {
        let samples = vec![failed];
        tell(
            &harness,
            peer,
            Digest {
                samples,
                ..Digest::default()
            },
        );
    }
    harness.ask(ask("a", 0));
    assert_eq!(harness.grants(), granted("a", "t1"));
}

// What this daemon has and sees is in its digest; what it saw is told once.
#[test]
fn a_digest_tells_all_that_runs() {
    let mut harness = harness(&[8]);
    harness.ask(ask("a", 0));
    harness.verdicts();
    let after = Duration::from_millis(40);
    harness.report("a", "t0", ReportKind::FirstToken { after });
    let digest = harness.dispatcher.digest();
    let loads: Vec<_> = digest.loads.iter().map(|l| (l.target, l.running)).collect();
    assert_eq!(loads, [(of("t0"), 1)]);
    assert!(matches!(digest.samples[0].seen, Seen::FirstToken { .. }));
    assert_eq!(harness.dispatcher.digest().samples, []);
    let kind = ReportKind::Ended {
        decoded: 5,
        outcome: Outcome::Complete,
        prefill: None,
    };
    harness.report("a", "t0", kind);
    let digest = harness.dispatcher.digest();
    let loads: Vec<_> = digest.loads.iter().map(|l| (l.target, l.running)).collect();
    assert_eq!(loads, [(of("t0"), 0)]);
}

// Daemons tell each other of each request. A digest with all that a daemon has on all targets takes
// more bytes than the requests themselves: one change is told three times, and all of it four times a
// second, so that a peer which missed all three learns it soon.
#[test]
fn a_change_is_told_three_times_and_all_of_it_now_and_then() {
    let mut harness = harness(&[8, 8]);
    harness.ask(ask("a", 0));
    harness.ask(ask("b", 0));
    harness.verdicts();
    let told: Vec<_> = (0..5)
        .map(|_| harness.dispatcher.digest().loads.len())
        .collect();
    assert_eq!(told, [2, 2, 2, 0, 0]);
    harness.report("a", "t0", FIRST_TOKEN);
    let told: Vec<_> = (0..4)
        .map(|_| harness.dispatcher.digest().loads.len())
        .collect();
    assert_eq!(told, [1, 1, 1, 0]);
    harness.advance(Duration::from_millis(260));
    let digest = harness.dispatcher.digest();
    assert!(digest.whole);
    assert_eq!(digest.loads.len(), 2);
}

// The three digests that tell of a request's end are all lost. The slot looks taken until the next one
// that tells all, and no longer.
#[test]
fn lost_digests_cost_a_quarter_of_a_second() {
    let mut teller = harness(&[1]);
    let mut hearer = harness(&[1]);
    teller.ask(ask("a", 0));
    tell(&hearer, "vm2", teller.dispatcher.digest());
    teller.end("a", "t0");
    for _ in 0..3 {
        let _ = teller.dispatcher.digest();
    }
    hearer.ask(hurried("waits", 0));
    tell(&hearer, "vm2", teller.dispatcher.digest());
    assert_eq!(hearer.grants(), []);
    teller.advance(Duration::from_millis(250));
    tell(&hearer, "vm2", teller.dispatcher.digest());
    assert_eq!(hearer.grants(), granted("waits", "t0"));
}

// Where targets have room, a word on each request would change nobody's choice. What fills a target up,
// or gives room back at a full one, is told at once, and who waits.
#[test]
fn what_decides_is_told_at_once() {
    let mut harness = harness(&[4]);
    let mut urgent = Vec::new();
    for request in ["a", "b", "c", "d", "e"] {
        harness.ask(hurried(request, 0));
        harness.verdicts();
        urgent.push(harness.dispatcher.is_news_urgent());
        let _ = harness.dispatcher.digest();
    }
    // From the second on two slots are left or less; "e" waits.
    assert_eq!(urgent, [false, true, true, true, true]);
    harness.end("a", "t0");
    assert!(harness.dispatcher.is_news_urgent());
}

/// Slots of one target of seven that a tier fills once something of other tiers has come, and
/// some time has passed since.
macro_rules! slots_of {
    ($name:ident, $tier:literal, $others:expr, $passed:expr, $slots:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[7]);
            for other in $others {
                let id = format!("other {other}");
                harness.ask(hurried(&id, other));
                harness.verdicts();
                harness.end(&id, "t0");
            }
            harness.advance($passed);
            for i in 0..10 {
                harness.ask(hurried(&format!("{i}"), $tier));
            }
            assert_eq!(harness.grants().len(), $slots);
        }
    };
}

// A review waits for the end of a chat of tens of seconds: chats have filled every slot. Each tier
// leaves a slot to each one before it.
slots_of!(the_first_tier_fills_all, 0, [1, 2], Duration::ZERO, 7);
slots_of!(the_second_leaves_one, 1, [0, 2], Duration::ZERO, 6);
slots_of!(the_third_leaves_two, 2, [0, 1], Duration::ZERO, 5);
slots_of!(the_second_of_two_leaves_one, 2, [0], Duration::ZERO, 6);

// All callers of a pool are of the last tier, and are refused while slots stand empty. Slots are
// kept for tiers of which something came in the last ten minutes.
slots_of!(a_tier_alone_fills_all, 2, [], Duration::ZERO, 7);
slots_of!(later_tiers_take_nothing, 1, [2], Duration::ZERO, 7);
slots_of!(
    a_quiet_minute_keeps_room,
    2,
    [0],
    Duration::from_secs(60),
    6
);
slots_of!(tiers_are_forgotten, 2, [0, 1], Duration::from_secs(700), 7);

/// Milliseconds for which an ask of a tier waits for a full target before it is refused.
macro_rules! waits {
    ($name:ident, $tier:literal, $from:literal, $until:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[1]);
            harness.ask(ask("runs", 0));
            harness.verdicts();
            harness.ask(hurried("waits", $tier));
            harness.advance(Duration::from_millis($from));
            assert_eq!(harness.refusals(), []);
            harness.advance(Duration::from_millis($until - $from));
            let kind = ErrorKind::DeadlineUnmeetable;
            assert_eq!(harness.refusals(), refused("waits", kind));
        }
    };
}

// A caller that could come back in time hears too late that there is no place. Bulk is told as
// soon as its first token would be late; urgent work goes on for a third of its time, since late
// it is still worth more than bulk. Middle work that waited on would, in the order of arrival, make
// all that comes behind it late as well.
waits!(bulk_waits_for_its_objective, 2, 800, 950);
waits!(middle_work_waits_for_its_objective, 1, 800, 950);
waits!(urgent_work_waits_on, 0, 2_900, 3_100);

/// A full target of one slot, at which some chats have waited for nothing.
fn vain_waits() -> Harness {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.verdicts();
    for i in 0..4 {
        harness.ask(hurried(&format!("{i}"), 2));
    }
    harness.advance(Duration::from_millis(950));
    assert_eq!(harness.refusals().len(), 4);
    harness
}

// An hourly burst of chats over what the targets can do: each waits for nine tenths of a second and
// is refused, and comes back with little time left. Once most waits end so, the next ones are told
// at once. One waits on, and shows when there is room again.
#[test]
fn vain_waits_are_spared() {
    let mut harness = vain_waits();
    harness.ask(hurried("looks", 2));
    harness.ask(hurried("spared", 2));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("spared", kind));
    harness.end("runs", "t0");
    assert_eq!(harness.grants()[0].0, "looks");
    harness.ask(hurried("next", 2));
    assert_eq!(harness.refusals(), []);
}

// What comes free goes to the first tier first: its asks wait, whatever became of others.
#[test]
fn the_first_tier_always_waits() {
    let mut harness = vain_waits();
    for i in 0..4 {
        harness.ask(hurried(&format!("urgent {i}"), 0));
    }
    assert_eq!(harness.refusals(), []);
}

// A tier alone in a pool, after a quiet time: nothing is remembered of a burst that has passed.
#[test]
fn vain_waits_are_forgotten() {
    let mut harness = vain_waits();
    harness.advance(Duration::from_secs(3));
    harness.ask(hurried("one", 2));
    harness.ask(hurried("two", 2));
    assert_eq!(harness.refusals(), []);
}

// A customer of a higher rank goes first, whatever the tiers; within a rank tiers decide.
#[test]
fn ranks_go_before_tiers() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.verdicts();
    for (request, rank, tier) in [("c", 1, 0), ("b", 0, 2), ("a", 0, 1)] {
        harness.ask(Ask {
            rank,
            ..ask(request, tier)
        });
    }
    let mut order = Vec::new();
    let mut last = "runs".to_owned();
    while order.len() < 3 {
        harness.end(&last, "t0");
        let granted = harness.grants();
        last.clone_from(&granted[0].0);
        order.push(last.clone());
    }
    assert_eq!(order, ["a", "b", "c"]);
}

/// Most requests on one of 140 targets, where each of seventy daemons has sent one and none has heard
/// of another.
fn most_on_one_target(order: impl Fn(&mut [Target], &String)) -> usize {
    let ids: Vec<String> = (0..140).map(|at| format!("t{at}")).collect();
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
        harness.ask(hurried("first", 0));
        let (_, target) = harness.grants().remove(0);
        *sent.entry(target).or_default() += 1;
    }
    sent.into_values().max().unwrap_or(0)
}

// All daemons of a fleet lose power and start again at the peak. Each sees idle targets only, since
// none has heard of another yet. In one order for all, the first request of each daemon goes to the
// same target, which turns most of them away; in an order of their own they find free slots.
#[test]
fn daemons_that_start_together_spread() {
    assert_eq!(most_on_one_target(|_, _| ()), 70);
    let spread = most_on_one_target(cells::spread);
    assert!(spread <= 4, "{spread}");
}

/// Eight daemons that each have an ask of these tiers waiting for the one slot of a target, which a
/// ninth one holds, and have told each other so.
struct Waiting {
    daemons: Vec<Harness>,
}

impl Waiting {
    fn new(tier_of: impl Fn(usize) -> u8) -> Self {
        let new = |at: usize| Harness::of(&format!("vm{at}"), &[1], 100, Duration::from_secs(1));
        let mut daemons: Vec<Harness> = (0..8).map(new).collect();
        for (at, daemon) in daemons.iter_mut().enumerate() {
            tell(daemon, "holder", digest("t0", 1, 100));
            daemon.ask(hurried(&format!("of {at}"), tier_of(at)));
            assert_eq!(daemon.grants(), []);
        }
        let waiting = Self { daemons };
        waiting.tell_all();
        waiting
    }

    fn tell_all(&self) {
        for (from, teller) in self.daemons.iter().enumerate() {
            let digest = teller.dispatcher.digest();
            for (to, hearer) in self.daemons.iter().enumerate() {
                if from != to {
                    tell(hearer, &format!("vm{from}"), digest.clone());
                }
            }
        }
    }

    /// The ninth daemon's request ends, and all hear of it at the same moment.
    fn free(&self) {
        for daemon in &self.daemons {
            tell(daemon, "holder", nothing());
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
fn one_daemon_takes_the_room_that_another_gives_back() {
    let mut waiting = Waiting::new(|_| 0);
    waiting.free();
    assert_eq!(waiting.granted().len(), 1);
    waiting.tell_all();
    waiting.advance(Duration::from_millis(100));
    assert_eq!(waiting.granted(), [] as [String; 0]);
}

// Reports wait at seven daemons and a review at one. The slot that comes free is the review's,
// wherever it waits.
#[test]
fn the_first_tier_of_all_daemons_goes_first() {
    let mut waiting = Waiting::new(|at| u8::from(at != 5));
    waiting.free();
    assert_eq!(waiting.granted(), ["of 5"]);
}

// A peer told of a review that waits, and its caller has gone since. The room that is left to it is
// taken by another daemon a moment later.
#[test]
fn room_that_nobody_wants_is_taken() {
    let mut harness = harness(&[1]);
    tell(&harness, "holder", digest("t0", 1, 100));
    harness.ask(hurried("report", 1));
    let told = Digest {
        waiting: Some(Standing::default()),
        ..Digest::default()
    };
    tell(&harness, "vm2", told);
    tell(&harness, "holder", nothing());
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(50));
    assert_eq!(harness.grants(), granted("report", "t0"));
}

/// Whether an ask of a tier goes to a target that has so many tokens of a prompt still to read, of
/// eight thousand in a second, once something of three tiers has come.
macro_rules! reading_queue {
    ($name:ident, $tier:literal, $tokens:literal, $goes:literal) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[20]);
            for tier in 0..3 {
                let id = format!("seen {tier}");
                harness.ask(hurried(&id, tier));
                harness.verdicts();
                harness.end(&id, "t0");
            }
            tell(&harness, "vm2", digest("t0", 1, $tokens));
            harness.ask(hurried("a", $tier));
            assert_eq!(harness.grants().len(), usize::from($goes));
        }
    };
}

// A burst of long prompts: what is sent behind a prompt that is still read waits in the target's own
// queue, where a review that comes a moment later waits behind it, and all streams of the target
// pause. The later a tier, the less may be left to read. Half a second of reading is too much for
// anyone's first token; a daemon lets the ask wait, and sends it to the target that is done first.
reading_queue!(urgent_work_goes_behind_a_short_prompt, 0, 1_200, true);
reading_queue!(urgent_work_waits_for_a_long_one, 0, 2_000, false);
reading_queue!(the_second_tier_goes_behind_less, 1, 600, true);
reading_queue!(the_second_tier_waits_sooner, 1, 1_200, false);
reading_queue!(the_last_tier_goes_behind_hardly_any, 2, 200, true);
reading_queue!(the_last_tier_waits_first, 2, 600, false);

// Nine daemons have the same view of nine targets, of which none has more than a tenth more to do
// than another, and each gets a request before it hears of the others'. All of them on the least
// loaded target would be nine where there is room for four.
#[test]
fn daemons_with_one_view_spread() {
    let mut sent: IndexMap<String, usize> = IndexMap::new();
    for daemon in 0..9 {
        let me = format!("vm{daemon}");
        let mut harness = Harness::of(&me, &[4; 9], 100, Duration::from_secs(1));
        let mut pool = harness.pool.clone();
        harness.pool.targets.clear();
        harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
        cells::spread(&mut pool.targets, &me);
        harness.dispatcher.set_targets(&pool, DATA_CENTRE);
        let load = |at: u64| TargetLoad {
            prefill: 2 * at,
            running: 1,
            target: of(&format!("t{at}")),
        };
        let told = Digest {
            loads: (0..9).map(load).collect(),
            ..Digest::default()
        };
        tell(&harness, "holder", told);
        harness.ask(hurried("a", 0));
        let (_, target) = harness.grants().remove(0);
        *sent.entry(target).or_default() += 1;
    }
    let most = sent.into_values().max().unwrap_or(0);
    assert!(most <= 4, "{most}");
}
