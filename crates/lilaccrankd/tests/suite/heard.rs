//! When the platform was last heard.

use std::time::Duration;

use lilaccrankd::configuration::heard::Heard;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// A daemon hears of configurations, and nothing of targets: half of the platform is silent, which
// counts as silence.
#[test]
fn the_older_word_counts() {
    let heard = Heard::default();
    assert_eq!(heard.age(at(10)), None);
    heard.configuration(at(9));
    assert_eq!(heard.age(at(10)), None);
    heard.list(at(4));
    assert_eq!(heard.age(at(10)), Some(at(6)));
    assert_eq!(heard.list_age(at(10)), Some(at(6)));
}

// A peer tells of times before the daemon's own last word; nothing gets older by that.
#[test]
fn an_older_word_changes_nothing() {
    let heard = Heard::default();
    heard.configuration(at(9));
    heard.list(at(9));
    heard.from_peer(at(3));
    assert_eq!(heard.age(at(10)), Some(at(1)));
    heard.from_peer(at(10));
    assert_eq!(heard.age(at(10)), Some(at(0)));
}

// What a peer told is no word of the platform to this daemon: asked by others, it must not pass
// for one that hears the platform itself.
#[test]
fn what_a_peer_told_is_not_heard_directly() {
    let heard = Heard::default();
    heard.from_peer(at(9));
    heard.from_watcher(at(8));
    assert_eq!(heard.direct_age(at(10)), None);
    assert_eq!(heard.watcher_age(at(10)), Some(at(2)));
}

/// Seconds between two words about the list, seconds from then on, and whether entries may have
/// lapsed.
macro_rules! lapses {
    ($name:ident, $silence:literal, $since:literal, $may:literal) => {
        #[test]
        fn $name() {
            let heard = Heard::default();
            heard.list(at(10));
            heard.list(at(10 + $silence));
            assert_eq!(heard.may_lapse(at(10 + $silence + $since)), $may);
        }
    };
}

lapses!(after_a_short_silence, 2, 0, false);
lapses!(just_after_a_long_silence, 5, 0, true);
lapses!(soon_after_a_long_silence, 5, 2, true);
lapses!(in_a_long_silence, 1, 3, true);

#[test]
fn later_on_what_is_missing_has_gone() {
    let heard = Heard::default();
    heard.list(at(10));
    heard.list(at(15));
    heard.list(at(16));
    heard.list(at(18));
    assert!(!heard.may_lapse(at(18)));
}

// The platform turns this daemon away and tells others; it hears from these. For it nothing was
// silent, and what is missing has gone.
#[test]
fn a_word_of_a_peer_is_no_silence() {
    let heard = Heard::default();
    heard.list(at(10));
    for second in 11..18 {
        heard.from_peer(at(second));
    }
    heard.list(at(18));
    assert!(!heard.may_lapse(at(18)));
}

// A daemon that has just started has not heard silence, only nothing yet.
#[test]
fn a_start_is_no_silence() {
    let heard = Heard::default();
    assert!(!heard.may_lapse(at(10)));
    heard.list(at(10));
    assert!(!heard.may_lapse(at(10)));
}
