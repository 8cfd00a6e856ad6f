//! Prefixes at the dispatcher: what is believed, waited for and given up.

use std::collections::BTreeMap;
use std::time::Duration;

use lilaccrank::dispatch::message::{Ask, CacheEvent};
use lilaccrank::prompt;
use lilaccrank::target_instance::TargetInstance;

use crate::dispatch_fixtures::{FIRST_TOKEN, ask, granted, harness};
use crate::dispatch_harness::Harness;

// A long prompt goes to an engine that dropped it. The event of the eviction was lost in a gap.
// After a gap nothing is believed of that target.
#[test]
fn large_sequence_gap_clears_the_cached_blocks() {
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
fn lost_event_drops_the_oldest_block() {
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
fn ask_waits_for_a_prefix_in_prefill() {
    let mut harness = harness(&[8, 8]);
    let ask_with_prefix = |request: &str, seed: u8, tier: u8| Ask {
        prefix: prompt::block_prefix_digests(&[seed; 2000], 64),
        prompt_tokens: 2000,
        ..ask(request, tier)
    };
    harness.ask(ask_with_prefix("first", 1, 1));
    let (_, prefill_target) = harness.grants().remove(0);
    harness.ask(ask_with_prefix("second", 1, 1));
    assert_eq!(harness.grants(), []);
    harness.ask(ask_with_prefix("urgent", 1, 0));
    assert_eq!(harness.grants().len(), 1);
    harness.report("first", &prefill_target, FIRST_TOKEN);
    assert_eq!(harness.grants(), granted("second", &prefill_target));

    harness.ask(ask_with_prefix("third", 2, 1));
    assert_eq!(harness.grants().len(), 1);
    harness.ask(ask_with_prefix("fourth", 2, 1));
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
    let ask_with_shared_prefix = |i: u32| Ask {
        prefix: prefix.clone(),
        prompt_tokens: 2000,
        ..ask(&format!("r{i}"), 0)
    };
    harness.ask(ask_with_shared_prefix(0));
    let (_, cache_target) = harness.grants().remove(0);
    harness.report("r0", &cache_target, FIRST_TOKEN);
    harness.ask(ask_with_shared_prefix(1));
    assert_eq!(harness.grants(), granted("r1", &cache_target));
    for i in 2..60 {
        harness.ask(ask_with_shared_prefix(i));
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
fn wait_for_the_target_with_the_prefix_is_bounded() {
    let mut harness = harness(&[2, 2]);
    let ask_with_shared_prefix = |request: &str, tier: u8| Ask {
        prefix: prompt::block_prefix_digests(&[7; 2000], 64),
        prompt_tokens: 2000,
        ..ask(request, tier)
    };
    for request in ["x", "y"] {
        let exclusions = vec![TargetInstance::from("t1")];
        let ask = ask_with_shared_prefix(request, 0);
        harness.ask(Ask { exclusions, ..ask });
        harness.report(request, "t0", FIRST_TOKEN);
    }
    assert_eq!(harness.grants().len(), 2);
    harness.ask(ask_with_shared_prefix("first", 1));
    let customer = "quarry".to_owned();
    let other = ask("other", 1);
    harness.ask(Ask { customer, ..other });
    assert_eq!(harness.grants(), granted("other", "t1"));
    harness.end("x", "t0");
    assert_eq!(harness.grants(), granted("first", "t0"));
    harness.end("other", "t1");
    harness.ask(ask_with_shared_prefix("second", 1));
    harness.advance(Duration::from_millis(700));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.grants(), granted("second", "t1"));
}

// Memory grows with each prompt ever seen: beliefs are bounded, the least recently used go.
#[test]
fn cached_blocks_are_bounded() {
    let harness = harness(&[8]);
    let target = TargetInstance::from("t0");
    let stored: Vec<CacheEvent> = (0..10_000).map(CacheEvent::Stored).collect();
    harness.dispatcher.cache_events(&target, 1, &stored);
    assert_eq!(harness.dispatcher.status().targets[0].cached_blocks, 4096);
}
