//! Paths to targets: what a failed connection is evidence of, and who relays.

use std::time::{Duration, Instant};

use lilaccrank::ids::VmId;
use lilaccrank::paths::{Paths, Route};
use lilaccrank::target_instance::TargetInstance;
use quickcheck::quickcheck;

const MS: Duration = Duration::from_millis(1);

fn target(number: u8) -> TargetInstance {
    TargetInstance::from(format!("t{number}").as_str())
}

fn vm(number: u8) -> VmId {
    format!("vm{number}")
}

fn down(number: u8, now: Instant) -> Paths {
    let mut paths = Paths::default();
    paths.record_unconnected(&target(number), now);
    paths
}

// Guards against requests that are refused while peers are still being asked.
#[test]
fn a_path_that_has_just_failed_may_have_a_relay() {
    let now = Instant::now();
    let mut paths = down(1, now);
    assert_eq!(paths.route(&target(1), now), Route::Relayed);
    paths.record_searched(&target(1));
    assert_eq!(paths.route(&target(1), now), Route::Unreachable);
    paths.record_peer(&target(1), &vm(2), true, now);
    assert_eq!(paths.route(&target(1), now), Route::Relayed);
    assert_eq!(paths.relay(&target(1), now), Some(vm(2)));
}

// Guards against a target that is left for good after its path has failed once.
#[test]
fn a_connection_brings_the_path_back() {
    let now = Instant::now();
    let mut paths = down(1, now);
    paths.record_searched(&target(1));
    let after = paths.record_connected(&target(1), now + 700 * MS);
    assert_eq!(after, Some(700 * MS));
    assert_eq!(paths.route(&target(1), now + 700 * MS), Route::Direct);
    assert_eq!(paths.down(), Vec::new());
    assert!(paths.record_unconnected(&target(1), now + 800 * MS));
    assert_eq!(paths.route(&target(1), now + 800 * MS), Route::Relayed);
}

// Guards against a fault of one path that takes other targets away.
#[test]
fn one_path_says_nothing_of_another() {
    let now = Instant::now();
    let paths = down(1, now);
    assert_eq!(paths.route(&target(2), now), Route::Direct);
}

// Guards against kept connections that are given up although they work, where only new ones fail.
#[test]
fn output_after_the_failure_keeps_connections_in_use() {
    let now = Instant::now();
    let mut paths = down(1, now);
    paths.record_searched(&target(1));
    assert!(!paths.keeps_working(&target(1)));
    paths.record_heard(&target(1), now + MS);
    assert!(paths.keeps_working(&target(1)));
    assert_eq!(paths.route(&target(1), now + MS), Route::Direct);
}

// Guards against answers in progress that are given up while nobody knows whether the target is well, or
// although something still comes from it.
#[test]
fn an_answer_is_cut_only_if_a_peer_reaches_the_target() {
    let now = Instant::now();
    let mut paths = down(1, now);
    paths.record_running(&target(1), true, now);
    let later = now + 500 * MS;
    assert!(!paths.is_cut(&target(1), later));
    paths.record_peer(&target(1), &vm(2), true, now);
    assert!(paths.is_cut(&target(1), later));
    paths.record_heard(&target(1), now + MS);
    assert!(!paths.is_cut(&target(1), later + MS));
}

// Guards against answers in progress that are given up because one packet was lost.
#[test]
fn an_answer_is_not_cut_by_a_path_that_has_just_failed() {
    let now = Instant::now();
    let mut paths = Paths::default();
    paths.record_running(&target(1), true, now);
    let fails = now + Duration::from_secs(3);
    paths.record_unconnected(&target(1), fails);
    paths.record_peer(&target(1), &vm(2), true, fails);
    assert!(!paths.is_cut(&target(1), fails + 499 * MS));
    assert!(paths.is_cut(&target(1), fails + 500 * MS));
}

// Guards against a relay that is used for good, and against a peer that is left out for good.
#[test]
fn what_a_peer_said_expires() {
    let now = Instant::now();
    let mut paths = down(1, now);
    paths.record_searched(&target(1));
    paths.record_peer(&target(1), &vm(2), true, now);
    let later = now + Duration::from_secs(20);
    assert_eq!(paths.relay(&target(1), later), None);
    paths.record_peer(&target(1), &vm(3), false, now);
    let peers = || vec![vm(3)];
    assert!(paths.candidates(&target(1), peers(), now).is_empty());
    assert_eq!(paths.candidates(&target(1), peers(), later), peers());
}

// Guards against requests that are sent to a relay that has died, or refused because it has.
#[test]
fn a_relay_that_has_died_is_replaced() {
    let now = Instant::now();
    let mut paths = down(1, now);
    paths.record_peer(&target(1), &vm(2), true, now);
    paths.record_searched(&target(1));
    paths.retain_peers(|peer| *peer != vm(2));
    assert_eq!(paths.relay(&target(1), now), None);
    assert!(paths.needs_search(&target(1), now));
    assert_eq!(paths.route(&target(1), now), Route::Relayed);
}

// Guards against asking first those that have lost their own links.
#[test]
fn peers_that_fail_elsewhere_come_last() {
    let now = Instant::now();
    let mut paths = down(1, now);
    paths.record_peer(&target(2), &vm(2), false, now);
    let candidates = paths.candidates(&target(1), vec![vm(2), vm(3)], now);
    assert_eq!(candidates, [vm(3), vm(2)]);
}

// Guards against probes of targets that are merely busy with the first part of an answer.
#[test]
fn silence_counts_from_the_begin_of_a_request() {
    let now = Instant::now();
    let mut paths = Paths::default();
    paths.record_heard(&target(1), now);
    let begins = now + Duration::from_secs(9);
    paths.record_running(&target(1), true, begins);
    let limit = 500 * MS;
    assert!(paths.silent(limit, begins + 499 * MS).is_empty());
    assert_eq!(paths.silent(limit, begins + limit), [target(1)]);
    paths.record_running(&target(1), false, begins + limit);
    assert!(paths.silent(limit, begins + limit).is_empty());
}

quickcheck! {
    // Guards against a request that is sent to a target that nobody reaches, or that is kept from one
    // that can be reached.
    fn a_route_follows_from_the_last_observations(observations: Vec<(u8, bool)>) -> bool {
        let begin = Instant::now();
        let mut now = begin;
        let mut paths = Paths::default();
        let (mut own, mut peers) = (true, Vec::new());
        for (number, reaches) in observations {
            now += MS;
            match number % 3 {
                0 if reaches => {
                    paths.record_connected(&target(1), now);
                    (own, peers) = (true, Vec::new());
                }
                0 => {
                    paths.record_unconnected(&target(1), now);
                    paths.record_searched(&target(1));
                    own = false;
                }
                peer => {
                    paths.record_peer(&target(1), &vm(peer), reaches, now);
                    peers.retain(|known| *known != peer);
                    if reaches {
                        peers.push(peer);
                    }
                }
            }
        }
        let expected = match (own, peers.is_empty()) {
            (true, _) => Route::Direct,
            (false, false) => Route::Relayed,
            (false, true) => Route::Unreachable,
        };
        paths.route(&target(1), now) == expected
    }
}
