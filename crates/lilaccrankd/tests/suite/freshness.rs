//! Whether a list of targets is recent enough to send by it.

use std::time::Duration;

use lilaccrank::clock::{BootTime, Clock};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrankd::configuration::source::UpdateHandler;
use lilaccrankd::targets::freshness::{Freshness, Usability};
use lilaccrankd::targets::live_list::{self, Listing};

use super::fixtures;

const LEASE: Duration = Duration::from_millis(1_700);

fn ms(ms: u64) -> BootTime {
    Duration::from_millis(ms)
}

/// A list that was the newest at one second, of a process that goes on running until `running`.
fn confirmed(running: u64) -> Freshness {
    let freshness = Freshness::default();
    freshness.confirm(ms(1_000));
    for at in (1_000..=running).step_by(100) {
        freshness.observe(ms(at), Duration::ZERO);
    }
    freshness
}

/// Takes the millisecond at which an answer of the platform was due, if one was, the millisecond of
/// the send, and whether it may be sent by the list.
macro_rules! usability_test {
    ($name:ident, $due:expr, $now:literal, $usability:ident) => {
        #[test]
        fn $name() {
            let freshness = confirmed($now);
            let due: Option<u64> = $due;
            if let Some(due) = due {
                freshness.expect_answer(ms(due));
            }
            let usability = freshness.usability(LEASE, ms($now));
            assert_eq!(usability, Usability::$usability);
        }
    };
}

usability_test!(within_the_lease, None, 2_700, Current);
// Guards against requests to a target that left while this daemon heard nothing of the list.
usability_test!(past_the_lease, None, 2_701, Outdated);
usability_test!(while_the_platform_may_answer, Some(2_600), 2_800, Outdated);
// Guards against a data centre that is cut off from the platform and refuses what it could serve.
usability_test!(without_an_answer, Some(2_500), 2_800, BestAvailable);

#[test]
fn without_any_list() {
    let freshness = Freshness::default();
    assert_eq!(freshness.usability(LEASE, ms(1)), Usability::Outdated);
}

// The first call without an answer counts: another one must not begin the wait anew.
#[test]
fn a_further_call_is_no_new_wait() {
    let freshness = confirmed(3_000);
    freshness.expect_answer(ms(2_500));
    freshness.expect_answer(ms(2_990));
    let usability = freshness.usability(LEASE, ms(3_000));
    assert_eq!(usability, Usability::BestAvailable);
}

/// A list whose platform was to answer at 1.8 s, of a process that is behind with its tasks until `running`.
fn behind_until(running: u64) -> Usability {
    let freshness = confirmed(1_500);
    freshness.expect_answer(ms(1_800));
    for at in (1_550..=running).step_by(50) {
        freshness.observe(ms(at), ms(50));
    }
    freshness.usability(LEASE, ms(running))
}

// Guards against a daemon with more work than it does, which takes the platform for unreachable although the
// answer lies unread. The list is too old from 2.7 s on.
#[test]
fn a_backlog_of_the_process_is_no_silence_of_the_platform() {
    let freshness = confirmed(2_700);
    freshness.expect_answer(ms(2_700));
    for at in (2_750..=3_100).step_by(50) {
        freshness.observe(ms(at), ms(50));
    }
    assert_eq!(freshness.usability(LEASE, ms(3_100)), Usability::Outdated);
}

// Guards against a daemon that is always behind and waits for ever for a platform that is gone.
#[test]
fn a_backlog_does_not_hide_that_the_platform_is_gone() {
    assert_eq!(behind_until(3_000), Usability::BestAvailable);
}

// Guards against a daemon that was frozen and takes the platform for unreachable, as the answer that
// waits to be read was due long ago.
#[test]
fn a_pause_of_the_process_is_no_silence_of_the_platform() {
    let freshness = confirmed(1_500);
    freshness.expect_answer(ms(1_800));
    freshness.observe(ms(5_000), Duration::ZERO);
    assert_eq!(freshness.usability(LEASE, ms(5_000)), Usability::Outdated);
    for at in (5_050..=5_250).step_by(50) {
        freshness.observe(ms(at), Duration::ZERO);
    }
    assert_eq!(
        freshness.usability(LEASE, ms(5_250)),
        Usability::BestAvailable
    );
}

// Guards against a daemon short of processor time that takes the platform for unreachable, as it has not
// read the answer in the one turn of its loop since that was due.
#[test]
fn one_long_turn_is_no_silence_of_the_platform() {
    let freshness = confirmed(2_500);
    freshness.expect_answer(ms(2_500));
    freshness.observe(ms(2_900), Duration::ZERO);
    assert_eq!(freshness.usability(LEASE, ms(2_900)), Usability::Outdated);
}

// Guards against sends that wait again whenever another daemon passes on what it heard before the
// platform went away.
#[test]
fn news_from_before_an_unanswered_call_is_no_answer() {
    let freshness = confirmed(3_500);
    freshness.expect_answer(ms(2_500));
    freshness.confirm(ms(1_400));
    let usability = freshness.usability(LEASE, ms(3_500));
    assert_eq!(usability, Usability::BestAvailable);
    freshness.answered(ms(1_500));
    assert_eq!(freshness.usability(LEASE, ms(3_500)), Usability::Outdated);
}

// Guards against a call that was given up since other daemons follow the platform, and is taken for
// one that the platform did not answer.
#[test]
fn a_call_that_was_given_up_is_not_unanswered() {
    let freshness = confirmed(3_500);
    freshness.expect_answer(ms(2_500));
    freshness.forget_calls();
    assert_eq!(freshness.usability(LEASE, ms(3_500)), Usability::Outdated);
}

// An older confirmation, as a slow daemon passes it on, changes nothing.
#[test]
fn an_older_confirmation_changes_nothing() {
    let freshness = confirmed(3_000);
    freshness.expect_answer(ms(2_500));
    freshness.confirm(ms(900));
    assert_eq!(freshness.age(ms(3_000)), Some(ms(2_000)));
    let usability = freshness.usability(LEASE, ms(3_000));
    assert_eq!(usability, Usability::BestAvailable);
    freshness.confirm(ms(2_999));
    assert_eq!(freshness.usability(LEASE, ms(3_000)), Usability::Current);
}

// Guards against a send by an old list after a pause of the daemon, in which nobody could ask for a newer
// one.
#[test]
fn a_pause_of_the_process_is_no_time_to_ask() {
    let freshness = confirmed(3_000);
    freshness.need(ms(3_000));
    freshness.observe(ms(6_000), Duration::ZERO);
    assert_eq!(freshness.usability(LEASE, ms(6_000)), Usability::Outdated);
    for at in (6_050..=6_500).step_by(50) {
        freshness.observe(ms(at), Duration::ZERO);
    }
    assert_eq!(freshness.usability(LEASE, ms(6_500)), Usability::NotAsked);
}

// Guards against a send that goes by the time at which an earlier one needed a newer list.
#[test]
fn a_newer_list_ends_the_need_for_one() {
    let freshness = confirmed(3_000);
    freshness.need(ms(3_000));
    freshness.confirm(ms(3_100));
    for at in (3_050..=5_000).step_by(50) {
        freshness.observe(ms(at), Duration::ZERO);
    }
    freshness.need(ms(5_000));
    assert_eq!(freshness.usability(LEASE, ms(5_000)), Usability::Outdated);
}

// Guards against a send by an old list half a second after the platform was asked for a newer one, whose answer
// is not due yet.
#[test]
fn a_platform_that_is_asked_is_waited_for() {
    let freshness = confirmed(3_000);
    freshness.need(ms(3_000));
    freshness.expect_answer(ms(3_400));
    for at in (3_050..=3_550).step_by(50) {
        freshness.observe(ms(at), Duration::ZERO);
    }
    assert_eq!(freshness.usability(LEASE, ms(3_550)), Usability::Outdated);
}

// Guards against a platform that counts as unreachable while its answer comes in.
#[test]
fn a_part_of_an_answer_is_no_silence() {
    let freshness = confirmed(3_000);
    freshness.expect_answer(ms(2_700));
    freshness.expect_rest(ms(2_900));
    assert_eq!(freshness.usability(LEASE, ms(3_000)), Usability::Outdated);
    for at in (3_050..=3_150).step_by(50) {
        freshness.observe(ms(at), Duration::ZERO);
    }
    let usability = freshness.usability(LEASE, ms(3_150));
    assert_eq!(usability, Usability::BestAvailable);
}

// Guards against an answer of the platform that a newer list of a peer has overtaken, and that counts as none.
#[test]
fn an_answer_that_a_peer_has_overtaken_is_one() {
    let usability = runtime::block_on(async {
        let daemon = fixtures::daemon();
        let handler = UpdateHandler::new(&daemon);
        let listing = |revision: u64| Listing {
            revision: revision.into(),
            ..Listing::default()
        };
        let asked_at = MonoioClock.boot_time();
        handler.expect_listing(asked_at);
        live_list::apply_listing(&daemon, listing(5));
        handler.update_listing(listing(3), asked_at);
        let freshness = &daemon.live_list.freshness;
        freshness.usability(LEASE, asked_at + LEASE * 2)
    });
    assert_eq!(usability.unwrap(), Usability::Outdated);
}
