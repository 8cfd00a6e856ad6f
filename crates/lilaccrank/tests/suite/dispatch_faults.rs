//! Failures at the dispatcher, one named case each: void asks, silence, handover.

use std::time::Duration;

use futures::FutureExt;
use lilaccrank::dispatch::health::State;
use lilaccrank::dispatch::message::{Ask, ReportKind, Resync, Running, Verdict};
use lilaccrank::document::TargetState;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_instance::TargetInstance;

use crate::dispatch_fixtures::{
    CONCURRENCY_LIMIT, FIRST_TOKEN, SILENCE_FLOOR, ask, ask_with_limit, ask_with_long_prompt,
    entry, granted, harness, refused, waiting,
};
use crate::dispatch_harness::{Harness, LOWEST_TIER};

// Two requests meet one slot. An entry asks again after it lost the answer; were both asks alive,
// the request would hold two slots, and a late grant of the first could send it twice.
#[test]
fn a_later_ask_voids_the_earlier() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    let repeated = ask_with_limit("again", CONCURRENCY_LIMIT);
    harness.ask(repeated.clone());
    harness.verdicts();
    harness.ask(Ask { ask: 2, ..repeated });
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
fn dropping_a_replaced_call_keeps_its_ask() {
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
fn dropping_a_call_cancels_its_ask() {
    let mut harness = harness(&[1]);
    harness.ask(ask("runs", 0));
    let dropped = harness.call(ask("gone", 0));
    assert_eq!(waiting(&harness), 1);
    drop(dropped);
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
fn unconfirmed_grant_expires() {
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
    harness.ask(ask_with_long_prompt("survey", 3));
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
fn trial_is_one_cheap_request() {
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
    harness.report_steps("r", "t0", 8, 20);
    let slots = |harness: &Harness| harness.dispatcher.status().targets[0].slots;
    assert_eq!(slots(&harness), 8);
    harness.report_steps("r", "t0", 80, 10);
    assert_eq!(slots(&harness), 1);
    harness.report_steps("r", "t0", 8, 40);
    assert_eq!(slots(&harness), 8);
}

// Bulk is granted while a breakdown call waits. A new dispatcher heard of one entry only; the
// other one holds the call. It grants nothing before both have told, and sheds only the lowest
// tier meanwhile.
#[test]
fn a_new_dispatcher_waits_for_the_entries() {
    let mut harness = Harness::new(&[1], 2, SILENCE_FLOOR);
    let expected = vec![entry("vm2"), entry("vm3")];
    harness.dispatcher.begin_handover(expected, SILENCE_FLOOR);
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
fn queue_in_a_handover_is_capped_at_twice_its_limit() {
    let mut harness = Harness::new(&[1], 1, SILENCE_FLOOR);
    let expected = vec![entry("vm3")];
    harness.dispatcher.begin_handover(expected, SILENCE_FLOOR);
    for (request, tier) in [("bulk", 2), ("more", 1), ("urgent", 0)] {
        harness.ask(ask(request, tier));
    }
    assert_eq!(harness.refusals(), refused("bulk", ErrorKind::Overloaded));
}

// A silent entry would hold up all others: the grace ends the wait.
#[test]
fn handover_ends_after_its_grace_period() {
    let mut harness = harness(&[1]);
    harness
        .dispatcher
        .begin_handover(vec![entry("vm9")], SILENCE_FLOOR);
    harness.ask(ask("r", 0));
    harness.advance(SILENCE_FLOOR / 2);
    assert_eq!(harness.verdicts(), []);
    harness.advance(SILENCE_FLOOR);
    assert_eq!(harness.grants(), granted("r", "t0"));
}

// A request runs twice. It was dispatched by the grant of an old dispatcher, and the new one has
// its ask in the queue. Once told that it runs, it counts as running and isn't granted again.
#[test]
fn what_runs_is_not_granted_again() {
    let mut harness = harness(&[1]);
    harness
        .dispatcher
        .begin_handover(vec![entry("vm2")], SILENCE_FLOOR);
    harness.ask(ask("r", 0));
    let running = Running {
        ask: ask("r", 0),
        decoded: Some(3),
        target: TargetInstance::from("t0"),
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
fn forgotten_entry_releases_its_requests() {
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
