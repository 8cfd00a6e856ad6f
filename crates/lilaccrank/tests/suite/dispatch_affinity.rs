//! Prefixes at the dispatcher: what is believed, waited for and given up.

use std::collections::BTreeMap;
use std::time::Duration;

use lilaccrank::dispatch::message::{Ask, CacheEvent};
use lilaccrank::prompt;
use lilaccrank::target_instance::TargetInstance;

use crate::dispatch_cases::{FIRST_TOKEN, ask, granted, harness};
use crate::dispatch_harness::Harness;

// A long prompt goes to an engine that dropped it. The event of the eviction was lost in a gap.
// After a gap nothing is believed of that target.
#[test]
fn a_gap_drops_the_belief() {
    let harness = harness(&[8, 8]);
    let target = TargetInstance::from("t1");
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
    let target = TargetInstance::from("t1");
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
        prefix: prompt::block_prefix_digests(&[seed; 2000], 64),
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
    let prefix = prompt::block_prefix_digests(&[7; 2000], 64);
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
        prefix: prompt::block_prefix_digests(&[7; 2000], 64),
        prompt_tokens: 2000,
        ..ask(request, tier)
    };
    for request in ["x", "y"] {
        let exclusions = vec![TargetInstance::from("t1")];
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
    let target = TargetInstance::from("t0");
    let stored: Vec<CacheEvent> = (0..10_000).map(CacheEvent::Stored).collect();
    harness.dispatcher.cache_events(&target, 1, &stored);
    assert_eq!(harness.dispatcher.status().targets[0].cached_blocks, 4096);
}
