//! Prefix affinity: which blocks the dispatcher assumes to be cached and how long requests wait for
//! a target that has their prefix.

use std::collections::BTreeMap;
use std::time::Duration;

use lilaccrank::dispatch::message::{CacheEvent, Submission};
use lilaccrank::prompt;
use lilaccrank::target_instance::TargetInstance;

use crate::dispatch_fixtures::{FIRST_TOKEN, granted, harness, submission};
use crate::dispatch_harness::Harness;

// Guards against a long prompt sent to an engine that has evicted it, when the batch with the eviction
// was lost. A gap in the sequence numbers drops as many blocks as the lost batches may have evicted.
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

// Guards against prefilling long prompts again and again because one lost event cleared all cached
// blocks of a target. With batches of one event, each lost batch drops one block, the oldest.
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

// Guards against prefilling the same prefix twice: a second request arrives while an engine still
// prefills the first one and finds nothing in the cache. It waits for the first token of the first
// request, but no longer than three times its own prefill. The most urgent tier does not wait.
#[test]
fn submission_waits_for_a_prefix_in_prefill() {
    let mut harness = harness(&[8, 8]);
    let submission_with_prefix = |request: &str, seed: u8, tier: u8| Submission {
        prefix: prompt::block_prefix_digests(&[seed; 2000], 64),
        prompt_tokens: 2000,
        ..submission(request, tier)
    };
    harness.submit(submission_with_prefix("first", 1, 1));
    let (_, prefill_target) = harness.grants().remove(0);
    harness.submit(submission_with_prefix("second", 1, 1));
    assert_eq!(harness.grants(), []);
    harness.submit(submission_with_prefix("urgent", 1, 0));
    assert_eq!(harness.grants().len(), 1);
    harness.report("first", &prefill_target, FIRST_TOKEN);
    assert_eq!(harness.grants(), granted("second", &prefill_target));

    harness.submit(submission_with_prefix("third", 2, 1));
    assert_eq!(harness.grants().len(), 1);
    harness.submit(submission_with_prefix("fourth", 2, 1));
    harness.advance(Duration::from_millis(700));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.grants().len(), 1);
}

// Guards against prefilling a prompt again although a target has it cached, and against queueing all
// requests with one prefix at that target while others are idle. It is chosen until the wait there
// costs more than the prefill.
#[test]
fn affinity_yields_to_load() {
    let mut harness = harness(&[64, 64]);
    let prefix = prompt::block_prefix_digests(&[7; 2000], 64);
    let submission_with_shared_prefix = |i: u32| Submission {
        prefix: prefix.clone(),
        prompt_tokens: 2000,
        ..submission(&format!("r{i}"), 0)
    };
    harness.submit(submission_with_shared_prefix(0));
    let (_, cache_target) = harness.grants().remove(0);
    harness.report("r0", &cache_target, FIRST_TOKEN);
    harness.submit(submission_with_shared_prefix(1));
    assert_eq!(harness.grants(), granted("r1", &cache_target));
    for i in 2..60 {
        harness.submit(submission_with_shared_prefix(i));
    }
    let mut counts = BTreeMap::new();
    for (_, target) in harness.grants() {
        *counts.entry(target).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 2, "{counts:?}");
}

// Guards against prefilling every prompt again in a full pool, where the next free slot is mostly at a
// target without the prefix. A request lets others pass for three times the prefill that the cached
// prefix saves, then takes any target.
#[test]
fn wait_for_the_target_with_the_prefix_is_bounded() {
    let mut harness = harness(&[2, 2]);
    let submission_with_shared_prefix = |request: &str, tier: u8| Submission {
        prefix: prompt::block_prefix_digests(&[7; 2000], 64),
        prompt_tokens: 2000,
        ..submission(request, tier)
    };
    for request in ["x", "y"] {
        let exclusions = vec![TargetInstance::from("t1")];
        let submission = submission_with_shared_prefix(request, 0);
        harness.submit(Submission {
            exclusions,
            ..submission
        });
        harness.report(request, "t0", FIRST_TOKEN);
    }
    assert_eq!(harness.grants().len(), 2);
    harness.submit(submission_with_shared_prefix("first", 1));
    let customer = "quarry".to_owned();
    let other = submission("other", 1);
    harness.submit(Submission { customer, ..other });
    assert_eq!(harness.grants(), granted("other", "t1"));
    harness.end("x", "t0");
    assert_eq!(harness.grants(), granted("first", "t0"));
    harness.end("other", "t1");
    harness.submit(submission_with_shared_prefix("second", 1));
    harness.advance(Duration::from_millis(700));
    assert_eq!(harness.grants(), []);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.grants(), granted("second", "t1"));
}

// Guards against memory that grows with each prompt ever seen: the least recently used blocks are
// dropped.
#[test]
fn cached_blocks_are_bounded() {
    let harness = harness(&[8]);
    let target = TargetInstance::from("t0");
    let stored: Vec<CacheEvent> = (0..10_000).map(CacheEvent::Stored).collect();
    harness.dispatcher.cache_events(&target, 1, &stored);
    assert_eq!(harness.dispatcher.status().targets[0].cached_blocks, 4096);
}
