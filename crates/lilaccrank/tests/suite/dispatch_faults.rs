//! Failures and overload at the dispatcher, one named case each.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures::FutureExt;
use lilaccrank::dispatch::health::State;
use lilaccrank::dispatch::message::{
    Ask, CacheEvent, Entry, Outcome, ReportKind, Resync, Running, Verdict,
};
use lilaccrank::dispatch::shedding::DrainRate;
use lilaccrank::document::{Limit, TargetState};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::prompt;

use crate::dispatch_harness::{self, Harness, LOWEST_TIER};

const FLOOR: Duration = Duration::from_secs(2);
const FIRST_TOKEN: ReportKind = ReportKind::FirstToken {
    after: Duration::from_millis(250),
};
const MANY: usize = 1000;

fn harness(slots: &[u32]) -> Harness {
    Harness::new(slots, MANY, FLOOR)
}

fn ask(request: &str, tier: u8) -> Ask {
    dispatch_harness::ask(request, tier)
}

fn survey(request: &str, tier: u8) -> Ask {
    let prompt_tokens = 10_000;
    Ask {
        prompt_tokens,
        ..ask(request, tier)
    }
}

fn due(secs: u64, ask: Ask) -> Ask {
    let deadline = Some(Duration::from_secs(secs));
    Ask { deadline, ..ask }
}

fn limited(request: &str, limit: Limit) -> Ask {
    let limit = Some(limit);
    Ask {
        limit,
        ..ask(request, 0)
    }
}

fn entry(vm: &str) -> Entry {
    Entry {
        incarnation: 1,
        vm: vm.to_owned(),
    }
}

fn waiting(harness: &Harness) -> usize {
    let status = harness.dispatcher.status();
    status.waiting.iter().map(|tier| tier.waiting).sum()
}

fn refused(request: &str, kind: ErrorKind) -> Vec<(String, ErrorKind)> {
    vec![(request.to_owned(), kind)]
}

fn granted(request: &str, target: &str) -> Vec<(String, String)> {
    vec![(request.to_owned(), target.to_owned())]
}

/// A full queue of `low` and a new ask of `new`: whose request is refused.
macro_rules! full_queue {
    ($name:ident, $low:literal, $new:literal, $refused:literal) => {
        #[test]
        fn $name() {
            let mut harness = Harness::new(&[1], 2, FLOOR);
            for request in ["runs", "first", "second"] {
                harness.ask(ask(request, $low));
            }
            harness.verdicts();
            harness.ask(ask("new", $new));
            assert_eq!(harness.refusals(), refused($refused, ErrorKind::Overloaded));
        }
    };
}

full_queue!(bulk_makes_way_for_urgent, 3, 0, "second");
full_queue!(bulk_is_shed_before_urgent, 0, 3, "new");
full_queue!(of_one_customer_the_newest_is_shed, 2, 2, "new");

// A caller sees its small customer's request refused at the top of the hour. A large customer
// fills the queue, then a small one asks. Were the newest shed, the large one's burst would cost
// the small one its place.
#[test]
fn a_burst_costs_only_its_own_customer() {
    let mut harness = Harness::new(&[1], 10, FLOOR);
    for i in 0..11 {
        harness.ask(ask(&format!("large{i}"), 2));
    }
    harness.verdicts();
    let small = Ask {
        customer: "small".to_owned(),
        ..ask("small", 2)
    };
    harness.ask(small);
    assert_eq!(
        harness.refusals(),
        refused("large10", ErrorKind::Overloaded)
    );
}

// A small customer waits for ever. A large one has a long backlog of surveys in the same tier,
// the small one sends pings. Counted in requests, each ping would wait for a survey of a hundred
// times its length; counted in tokens, all pings pass for one survey.
#[test]
fn customers_share_by_tokens() {
    let mut harness = harness(&[1]);
    for i in 0..5 {
        let customer = "large".to_owned();
        harness.ask(Ask {
            customer,
            ..survey(&format!("survey{i}"), 2)
        });
    }
    for i in 0..20 {
        harness.ask(ask(&format!("ping{i}"), 2));
    }
    let mut order = harness.grants();
    while order.len() < 25 {
        let (request, target) = order.last().cloned().unwrap();
        harness.end(&request, &target);
        order.extend(harness.grants());
    }
    let surveys = order
        .iter()
        .enumerate()
        .filter(|(_, (r, _))| r.starts_with("survey"));
    let places: Vec<usize> = surveys.map(|(i, _)| i).collect();
    assert_eq!(places, [0, 21, 22, 23, 24]);
}

// A breakdown call waits for bulk to end. Bulk has filled every slot before the call comes.
// Engines can't be interrupted, so a part of the slots is kept from bulk.
#[test]
fn urgent_finds_a_way_in_while_bulk_fills_the_rest() {
    let mut harness = harness(&[8, 8]);
    for i in 0..40 {
        harness.ask(ask(&format!("bulk{i}"), 3));
    }
    assert_eq!(harness.grants().len(), 14);
    harness.ask(ask("urgent", 0));
    assert_eq!(harness.grants().len(), 1);
}

// A ping waits for seconds although slots are free. Surveys are being read on every target, and
// reading can't be interrupted. So some targets are kept free of long prompts.
#[test]
fn surveys_leave_targets_for_pings() {
    let mut harness = harness(&[8, 8, 8, 8]);
    for i in 0..8 {
        harness.ask(survey(&format!("survey{i}"), 3));
    }
    let mut busy: Vec<String> = harness
        .grants()
        .into_iter()
        .map(|(_, target)| target)
        .collect();
    busy.sort();
    assert_eq!(busy, ["t0", "t1", "t2"]);
    harness.ask(ask("ping", 1));
    assert_eq!(harness.grants(), granted("ping", "t3"));
}

// Two requests meet one slot. An entry asks again after it lost the answer; were both asks alive,
// the request would hold two slots, and a late grant of the first could send it twice.
#[test]
fn a_later_ask_voids_the_earlier() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    let again = limited("again", CONCURRENCY);
    harness.ask(again.clone());
    harness.verdicts();
    harness.ask(Ask { ask: 2, ..again });
    assert_eq!(harness.refusals(), refused("again", ErrorKind::Cancelled));
    harness.end("runs", "t0");
    let verdicts = harness.verdicts();
    let [Verdict::Grant(grant)] = verdicts.as_slice() else {
        panic!("{verdicts:?}");
    };
    assert_eq!((grant.ask, grant.dispatcher.as_str()), (2, "vm1"));
    harness.end("again", "t0");
    assert_eq!(
        harness.dispatcher.status().running,
        1,
        "a report of ask 1 is void"
    );
    harness.ask(ask("again", 0));
    assert_eq!(harness.refusals(), refused("again", ErrorKind::Cancelled));
}

// A lost answer makes the entry call again with the same number. It must get the same grant: a
// second one would take another slot, which nobody frees.
#[test]
fn a_repeated_call_gets_the_same_grant() {
    let mut harness = harness(&[1]);
    harness.ask(ask("once", 1));
    let first = harness.verdicts();
    harness.ask(ask("waits", 0));
    harness.ask(ask("once", 1));
    assert_eq!(harness.verdicts(), first);
    assert_eq!(harness.dispatcher.status().running, 1);
}

// A request waits for ever. Its entry lost the answer and calls again with the same number; then
// the first call ends. The end of the first must not take back what the second waits for.
#[test]
fn the_end_of_a_replaced_call_takes_nothing_back() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    let dispatcher = harness.dispatcher.clone();
    let mut first = Box::pin(dispatcher.ask(ask("r", 0)));
    assert_eq!((&mut first).now_or_never(), None);
    let mut second = Box::pin(dispatcher.ask(ask("r", 0)));
    assert_eq!((&mut second).now_or_never(), None);
    drop(first);
    harness.end("runs", "t0");
    assert!(matches!(second.now_or_never(), Some(Verdict::Grant(_))));
}

// Slots are taken by nobody. A caller goes away and its call ends, while it waits or just as the
// grant comes. Its ask has to go with it.
#[test]
fn a_dropped_call_takes_its_ask_back() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    let gone = harness.call(ask("gone", 0));
    assert_eq!(waiting(&harness), 1);
    drop(gone);
    harness.verdicts();
    assert_eq!(waiting(&harness), 0);
    let granted_unread = harness.call(ask("late", 0));
    harness.end("runs", "t0");
    drop(granted_unread);
    harness.verdicts();
    assert_eq!(harness.dispatcher.status().running, 0);
}

// A slot stays taken for good. The grant's answer is lost and the entry never calls again.
#[test]
fn an_unconfirmed_grant_lapses() {
    let mut harness = harness(&[1]);
    harness.ask(ask("lost", 0));
    harness.advance(Duration::from_secs(11));
    assert_eq!(harness.dispatcher.status().running, 0);
}

// An operator drains a target, and callers are cut when it goes. After the call of
// `set_targets` it gets nothing more, also when all else is full.
#[test]
fn a_draining_target_gets_nothing() {
    let mut harness = harness(&[1, 8]);
    harness.ask(ask("a", 0));
    harness.ask(ask("b", 0));
    assert_eq!(harness.grants().len(), 2);
    harness.set_state(1, TargetState::Draining);
    for i in 0..3 {
        harness.ask(ask(&format!("r{i}"), 0));
    }
    assert_eq!(harness.verdicts(), []);
    harness.set_state(0, TargetState::Draining);
    let refusals = harness.refusals();
    assert_eq!(refusals.len(), 3);
    assert!(
        refusals
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::NoTarget)
    );
}

// Callers time out one after the other on an engine that takes requests and says nothing. Its
// silence is longer than anything expected, so it gets nothing, then one cheap bulk request as a
// trial, and work again once it answers.
#[test]
fn a_hung_target_is_found_and_tried_again() {
    let mut harness = harness(&[8, 1]);
    harness.ask(ask("silent", 0));
    assert_eq!(harness.grants(), granted("silent", "t0"));
    harness.report("silent", "t0", ReportKind::Began);
    harness.advance(Duration::from_secs(4));
    let health = |harness: &Harness| harness.dispatcher.status().targets[0].health;
    assert_eq!(health(&harness), State::Hung);
    harness.ask(ask("urgent", 0));
    assert_eq!(harness.grants(), granted("urgent", "t1"));
    harness.ask(ask("waits", 0));
    harness.ask(survey("survey", 3));
    assert_eq!(harness.grants(), [], "nothing urgent or long on a trial");
    harness.ask(ask("cheap", 3));
    assert_eq!(harness.grants(), granted("cheap", "t0"));
    harness.report("silent", "t0", FIRST_TOKEN);
    assert_eq!(health(&harness), State::Well);
    assert_eq!(harness.grants().len(), 2, "both that waited");
}

// After a hang the target answers nothing to its trial either. Without the longer wait each
// trial would cost another caller its time, once a second.
#[test]
fn a_trial_goes_to_one_cheap_request() {
    let mut harness = harness(&[8]);
    harness.ask(ask("silent", 0));
    harness.report("silent", "t0", ReportKind::Began);
    harness.advance(Duration::from_secs(4));
    harness.verdicts();
    for i in 0..3 {
        harness.ask(ask(&format!("trial{i}"), 3));
    }
    assert_eq!(harness.grants(), granted("trial0", "t0"));
    harness.report("trial0", "t0", ReportKind::Began);
    harness.advance(Duration::from_millis(3500));
    assert_eq!(harness.grants(), [], "hung again, and waits longer");
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.grants(), granted("trial1", "t0"));
    harness.report("trial1", "t0", FIRST_TOKEN);
    assert_eq!(harness.grants(), granted("trial2", "t0"));
}

// Answers crawl. An engine slows tenfold, and its report says nothing of it. Its own steps do:
// it keeps one request, by which it can show that it is well again.
#[test]
fn a_slowed_target_gets_less() {
    let mut harness = harness(&[8]);
    harness.ask(ask("r", 0));
    harness.steps("r", "t0", 8, 20);
    let slots = |harness: &Harness| harness.dispatcher.status().targets[0].slots;
    assert_eq!(slots(&harness), 8);
    harness.steps("r", "t0", 80, 10);
    assert_eq!(slots(&harness), 1);
    harness.steps("r", "t0", 8, 40);
    assert_eq!(slots(&harness), 8);
}

// Bulk is granted while a breakdown call waits. A new dispatcher heard of one entry only; the
// other one holds the call. It grants nothing before both have told, and sheds only the lowest
// tier meanwhile.
#[test]
fn a_new_dispatcher_waits_for_the_entries() {
    let mut harness = Harness::new(&[1], 2, FLOOR);
    let expected = vec![entry("vm2"), entry("vm3")];
    harness.dispatcher.begin_handover(expected, FLOOR);
    for (request, tier) in [
        ("bulk", 2),
        ("more", 1),
        ("other", 1),
        ("lowest", LOWEST_TIER),
    ] {
        harness.ask(ask(request, tier));
    }
    assert_eq!(harness.refusals(), refused("lowest", ErrorKind::Overloaded));
    let resync = |vm: &str, waiting: Vec<Ask>| Resync {
        entry: entry(vm),
        running: Vec::new(),
        waiting,
    };
    harness
        .dispatcher
        .resync(resync("vm2", vec![ask("bulk", 2)]));
    assert_eq!(harness.verdicts(), []);
    let call = Ask {
        entry: "vm3".to_owned(),
        ..ask("call", 0)
    };
    harness.dispatcher.resync(resync("vm3", vec![call.clone()]));
    assert_eq!(harness.refusals(), refused("bulk", ErrorKind::Overloaded));
    harness.ask(call);
    assert_eq!(harness.grants(), granted("call", "t0"));
}

// Memory runs out in a handover during a burst, or an urgent ask is refused while bulk is kept.
// Past twice its limit the queue sheds from its lowest tier, whichever that is.
#[test]
fn a_handover_keeps_at_most_twice_the_limit() {
    let mut harness = Harness::new(&[1], 1, FLOOR);
    let expected = vec![entry("vm3")];
    harness.dispatcher.begin_handover(expected, FLOOR);
    for (request, tier) in [("bulk", 2), ("more", 1), ("urgent", 0)] {
        harness.ask(ask(request, tier));
    }
    assert_eq!(harness.refusals(), refused("bulk", ErrorKind::Overloaded));
}

// A silent entry would hold up all others: the grace ends the wait.
#[test]
fn a_handover_ends_with_its_grace() {
    let mut harness = harness(&[1]);
    harness.dispatcher.begin_handover(vec![entry("vm9")], FLOOR);
    harness.ask(ask("r", 0));
    harness.advance(FLOOR / 2);
    assert_eq!(harness.verdicts(), []);
    harness.advance(FLOOR);
    assert_eq!(harness.grants(), granted("r", "t0"));
}

// A request runs twice. It was dispatched by the grant of an old dispatcher, and the new one has
// its ask in the queue. Once told that it runs, it counts as running and isn't granted again.
#[test]
fn what_runs_is_not_granted_again() {
    let mut harness = harness(&[1]);
    harness.dispatcher.begin_handover(vec![entry("vm2")], FLOOR);
    harness.ask(ask("r", 0));
    let running = Running {
        ask: ask("r", 0),
        decoded: Some(3),
        target: "t0".to_owned(),
    };
    harness.dispatcher.resync(Resync {
        entry: entry("vm2"),
        running: vec![running],
        waiting: vec![],
    });
    assert_eq!(harness.refusals(), refused("r", ErrorKind::Cancelled));
    harness.ask(ask("other", 0));
    assert_eq!(harness.verdicts(), []);
    harness.end("r", "t0");
    assert_eq!(harness.grants(), granted("other", "t0"));
}

// Targets look full and are idle. An entry died with requests waiting and running.
#[test]
fn a_dead_entry_leaves_nothing() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.ask(ask("waits", 0));
    harness.ask(Ask {
        entry: "vm3".to_owned(),
        ..ask("other", 0)
    });
    harness.verdicts();
    harness.dispatcher.forget_entry(&"vm2".to_owned(), 1);
    assert_eq!(harness.grants(), granted("other", "t0"));
    assert_eq!(waiting(&harness), 0);
}

// A long prompt goes to an engine that dropped it. The event of the eviction was lost in a gap.
// After a gap nothing is believed of that target.
#[test]
fn a_gap_drops_the_belief() {
    let harness = harness(&[8, 8]);
    let target = "t1".to_owned();
    let stored: Vec<CacheEvent> = (0..8).map(CacheEvent::Stored).collect();
    harness.dispatcher.cache_events(&target, 1, &stored);
    let cached = |harness: &Harness| harness.dispatcher.status().targets[1].cached_blocks;
    harness
        .dispatcher
        .cache_events(&target, 2, &[CacheEvent::Evicted(7)]);
    assert_eq!(cached(&harness), 7);
    harness
        .dispatcher
        .cache_events(&target, 4, &[CacheEvent::Stored(9)]);
    assert_eq!(cached(&harness), 1);
}

// Long prompts are read again and again, and answers come late. One event of an eviction was lost,
// and all that was believed of the target with it. One lost event costs one block, the oldest.
#[test]
fn a_small_gap_drops_little() {
    let harness = harness(&[8, 8]);
    let target = "t1".to_owned();
    let stored = |sequence: u64| {
        let events = [CacheEvent::Stored(sequence)];
        harness.dispatcher.cache_events(&target, sequence, &events);
    };
    let cached = || harness.dispatcher.status().targets[1].cached_blocks;
    (1..=8).for_each(stored);
    assert_eq!(cached(), 8);
    stored(10);
    assert_eq!(cached(), 8);
    stored(14);
    assert_eq!(cached(), 6);
    stored(100);
    assert_eq!(cached(), 1);
}

// A survey is read twice. The second caller's comes while an engine reads the first one, finds
// nothing in the cache and is read next to it. It waits for the first token of the first one, but
// no longer than three times its own reading.
#[test]
fn a_prefix_in_reading_is_waited_for() {
    let mut harness = harness(&[8, 8]);
    let survey = |request: &str, seed: u8, tier: u8| Ask {
        prefix: prompt::digests(&[seed; 2000], 64),
        prompt_tokens: 2000,
        ..ask(request, tier)
    };
    harness.ask(survey("first", 1, 1));
    let (_, reader) = harness.grants().remove(0);
    harness.ask(survey("second", 1, 1));
    assert_eq!(harness.grants(), []);
    harness.ask(survey("urgent", 1, 0));
    assert_eq!(harness.grants().len(), 1);
    harness.report("first", &reader, FIRST_TOKEN);
    assert_eq!(harness.grants(), granted("second", &reader));

    harness.ask(survey("third", 2, 1));
    assert_eq!(harness.grants().len(), 1);
    harness.ask(survey("fourth", 2, 1));
    harness.advance(Duration::from_millis(700));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.grants().len(), 1);
}

// A prompt is read anew although an engine holds it; or all with one prefix queue at its holder
// while others idle. The holder is chosen until the wait there costs more than the reading.
#[test]
fn affinity_yields_to_load() {
    let mut harness = harness(&[64, 64]);
    let prefix = prompt::digests(&[7; 2000], 64);
    let shared = |i: u32| Ask {
        prefix: prefix.clone(),
        prompt_tokens: 2000,
        ..ask(&format!("r{i}"), 0)
    };
    harness.ask(shared(0));
    let (_, holder) = harness.grants().remove(0);
    harness.report("r0", &holder, FIRST_TOKEN);
    harness.ask(shared(1));
    assert_eq!(harness.grants(), granted("r1", &holder));
    for i in 2..60 {
        harness.ask(shared(i));
    }
    let mut counts = BTreeMap::new();
    for (_, target) in harness.grants() {
        *counts.entry(target).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 2, "{counts:?}");
}

// In a full pool every prompt is read again, since the slot that comes free is mostly not at its
// holder. An ask lets others pass for three times the reading that its holder saves, then
// goes anywhere.
#[test]
fn an_ask_waits_for_its_holder_a_while() {
    let mut harness = harness(&[2, 2]);
    let shared = |request: &str, tier: u8| Ask {
        prefix: prompt::digests(&[7; 2000], 64),
        prompt_tokens: 2000,
        ..ask(request, tier)
    };
    for request in ["x", "y"] {
        let exclusions = vec!["t1".to_owned()];
        let ask = shared(request, 0);
        harness.ask(Ask { exclusions, ..ask });
        harness.report(request, "t0", FIRST_TOKEN);
    }
    assert_eq!(harness.grants().len(), 2);
    harness.ask(shared("first", 1));
    let customer = "quarry".to_owned();
    let other = ask("other", 1);
    harness.ask(Ask { customer, ..other });
    assert_eq!(harness.grants(), granted("other", "t1"));
    harness.end("x", "t0");
    assert_eq!(harness.grants(), granted("first", "t0"));
    harness.end("other", "t1");
    harness.ask(shared("second", 1));
    harness.advance(Duration::from_millis(700));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.grants(), granted("second", "t1"));
}

// Memory grows with each prompt ever seen: beliefs are bounded, the least recently used go.
#[test]
fn beliefs_are_bounded() {
    let harness = harness(&[8]);
    let target = "t0".to_owned();
    let stored: Vec<CacheEvent> = (0..10_000).map(CacheEvent::Stored).collect();
    harness.dispatcher.cache_events(&target, 1, &stored);
    assert_eq!(harness.dispatcher.status().targets[0].cached_blocks, 4096);
}

// Prefill is spent in vain. A deadline that could be met at first has come too near in the queue;
// the request is refused at its turn.
#[test]
fn a_deadline_is_judged_again_at_the_grant() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    harness.ask(due(4, survey("late", 0)));
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.refusals(), []);
    harness.end("runs", "t0");
    assert_eq!(
        harness.refusals(),
        refused("late", ErrorKind::DeadlineUnmeetable)
    );
}

// A ping waits behind a survey that is being read, while another engine only generates. What we
// have just sent counts at once, not when the engine reports it.
#[test]
fn our_own_grants_count_at_once() {
    let mut harness = harness(&[8, 8]);
    let prompt_tokens = 7000;
    harness.ask(Ask {
        prompt_tokens,
        ..ask("survey", 0)
    });
    assert_eq!(harness.grants(), granted("survey", "t0"));
    for request in ["a", "b", "c"] {
        harness.ask(ask(request, 0));
        assert_eq!(harness.grants(), granted(request, "t1"));
    }
}

// A rule that lets nothing wait refuses all, also while targets idle. What can go at once goes.
#[test]
fn no_wait_is_enough_for_an_idle_target() {
    let mut harness = harness(&[1]);
    let wait_at_most = Some(Duration::ZERO);
    let hasty = |request: &str| Ask {
        wait_at_most,
        ..ask(request, 0)
    };
    harness.ask(hasty("goes"));
    assert_eq!(harness.grants(), granted("goes", "t0"));
    harness.ask(hasty("late"));
    harness.advance(Duration::from_millis(100));
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(harness.refusals(), refused("late", kind));
}

// Prefill is spent on an answer that nobody can get in time. The deadline is shorter than the
// reading of the prompt, or than the work ahead; lower-tier work ahead doesn't count, since it
// would be passed.
#[test]
fn a_hopeless_deadline_is_refused_at_once() {
    let mut harness = harness(&[1]);
    let limit = limited("counts", RATE).limit;
    harness.ask(due(
        1,
        Ask {
            limit,
            ..survey("survey", 3)
        },
    ));
    assert_eq!(
        harness.refusals(),
        refused("survey", ErrorKind::DeadlineUnmeetable)
    );
    harness.ask(limited("counts", RATE));
    assert_eq!(
        harness.grants(),
        granted("counts", "t0"),
        "the first took no place"
    );
    harness.end("counts", "t0");
    harness.ask(ask("runs", 0));
    harness.verdicts();
    for i in 0..25 {
        harness.ask(survey(&format!("survey{i}"), 3));
    }
    harness.ask(due(20, ask("lowest", 3)));
    harness.ask(due(5, ask("higher", 2)));
    let refusals = harness.refusals();
    let kind = ErrorKind::DeadlineUnmeetable;
    assert_eq!(refusals, [("lowest".to_owned(), kind)]);
    harness.advance(Duration::from_secs(6));
    assert_eq!(
        harness.refusals(),
        refused("higher", kind),
        "its time is up"
    );
}

/// Which of three asks under a limit is refused.
macro_rules! limit {
    ($name:ident, $limit:expr, $customers:expr, $refused:expr) => {
        #[test]
        fn $name() {
            let mut harness = harness(&[8]);
            for (i, customer) in $customers.into_iter().enumerate() {
                let customer = str::to_owned(customer);
                harness.ask(Ask {
                    customer,
                    ..limited(&format!("r{i}"), $limit)
                });
            }
            let refusals = harness.refusals().into_iter();
            let requests: Vec<String> = refusals.map(|(request, _)| request).collect();
            let expected: [&str; _] = $refused;
            assert_eq!(requests, expected);
        }
    };
}

const CONCURRENCY: Limit = Limit {
    concurrency: Some(1),
    per_customer: false,
    rate_per_s: None,
};
const EACH: Limit = Limit {
    per_customer: true,
    ..CONCURRENCY
};
const RATE: Limit = Limit {
    concurrency: None,
    per_customer: false,
    rate_per_s: Some(1.0),
};

limit!(
    concurrency_is_limited,
    CONCURRENCY,
    ["a", "b", "a"],
    ["r1", "r2"]
);
limit!(
    concurrency_is_limited_per_customer,
    EACH,
    ["a", "b", "a"],
    ["r2"]
);
limit!(rate_is_limited, RATE, ["a", "b", "a"], ["r1", "r2"]);

// A limit fills up for good, and every caller is refused. A place is given back however its
// request ends.
#[test]
fn a_limit_is_given_back_at_each_end() {
    let mut harness = harness(&[1]);
    for i in 0..3 {
        let request = format!("r{i}");
        harness.ask(limited(&request, CONCURRENCY));
        assert_eq!(harness.grants(), granted(&request, "t0"));
        let outcome = [Outcome::Complete, Outcome::Failed, Outcome::Unused][i];
        let kind = ReportKind::Ended {
            decoded: 1,
            outcome,
            prefill: None,
        };
        harness.report(&request, "t0", kind);
    }
}

// Callers return long before or after their turn. The pool has ended a thousand tokens a second,
// so those behind ten thousand should come back in ten seconds and up to as long again.
#[test]
fn retry_after_follows_the_drain() {
    let start = Instant::now();
    let mut drain = DrainRate::new(start);
    let seconds = (1..=30).map(|i| start + Duration::from_secs(i));
    for now in seconds {
        drain.ended(1000, now);
    }
    let now = start + Duration::from_secs(30);
    let retry = drain.retry_after(10_000, 0.0, now).as_secs_f64();
    assert!((8.0..22.0).contains(&retry), "{retry}");
}

// Refused callers come back as one burst and are refused again. Their `Retry-After` is spread
// over as long as the pool needs.
#[test]
fn refused_callers_return_spread_out() {
    let mut harness = Harness::new(&[1], 1, FLOOR);
    for i in 0..101 {
        harness.ask(ask(&format!("r{i}"), 3));
    }
    let retry = |verdict: &Verdict| match verdict {
        Verdict::Grant(_) => None,
        Verdict::Refuse(refuse) => refuse.retry_after,
    };
    let mut waits: Vec<Duration> = harness.verdicts().iter().filter_map(retry).collect();
    assert_eq!(waits.len(), 99);
    waits.sort();
    assert!(waits[98] > waits[0].mul_f64(1.2), "{waits:?}");
    assert!(waits[98] < FLOOR, "one short ask is ahead: {waits:?}");
}
