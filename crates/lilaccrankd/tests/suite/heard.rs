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
