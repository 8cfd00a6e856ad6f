//! Age of the last contact with the platform.

use std::time::Duration;

use lilaccrankd::configuration::platform_contact::PlatformContact;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// A contact about configurations must not hide that the list of targets is stale, so the older of
// the two counts.
#[test]
fn the_older_contact_counts() {
    let contact = PlatformContact::default();
    assert_eq!(contact.age(at(10)), None);
    contact.record_configuration(at(9));
    assert_eq!(contact.age(at(10)), None);
    contact.record_list(at(4));
    assert_eq!(contact.age(at(10)), Some(at(6)));
    assert_eq!(contact.list_age(at(10)), Some(at(6)));
}

// A peer reports a contact before this daemon's own last one. The age must not increase.
#[test]
fn an_older_contact_changes_nothing() {
    let contact = PlatformContact::default();
    contact.record_configuration(at(9));
    contact.record_list(at(9));
    contact.record_peer(at(3));
    assert_eq!(contact.age(at(10)), Some(at(1)));
    contact.record_peer(at(10));
    assert_eq!(contact.age(at(10)), Some(at(0)));
}

// A contact that a peer reported must not count as a direct one: other daemons would take this
// daemon for one that reaches the platform itself.
#[test]
fn a_contact_through_a_peer_is_not_direct() {
    let contact = PlatformContact::default();
    contact.record_peer(at(9));
    contact.record_watcher(at(8));
    assert_eq!(contact.direct_age(at(10)), None);
    assert_eq!(contact.watcher_age(at(10)), Some(at(2)));
}

/// Takes the seconds between two contacts about the list, the seconds since the second one, and whether
/// entries may have expired. Calls fail all the time.
macro_rules! lapse_test {
    ($name:ident, $silence:literal, $since:literal, $may:literal) => {
        #[test]
        fn $name() {
            let contact = PlatformContact::default();
            contact.record_list(at(10));
            for second in 1..=$silence + $since {
                contact.record_list_failure(at(10 + second));
            }
            contact.record_list(at(10 + $silence));
            assert_eq!(contact.may_lapse(at(10 + $silence + $since)), $may);
        }
    };
}

lapse_test!(after_a_short_silence, 2, 0, false);
lapse_test!(just_after_a_long_silence, 5, 0, true);
lapse_test!(soon_after_a_long_silence, 5, 1, true);
// A target that left during the outage gets no request two seconds later.
lapse_test!(two_seconds_after_a_long_silence, 5, 2, false);
lapse_test!(in_a_long_silence, 1, 3, true);

#[test]
fn after_the_recovery_time_missing_targets_have_gone() {
    let contact = PlatformContact::default();
    contact.record_list(at(10));
    contact.record_list_failure(at(11));
    contact.record_list(at(15));
    contact.record_list(at(16));
    contact.record_list(at(18));
    assert!(!contact.may_lapse(at(18)));
}

// The platform rejects this daemon but not its peers. Their reports leave no gap, so targets that
// are missing from the list have gone.
#[test]
fn a_contact_through_a_peer_is_no_silence() {
    let contact = PlatformContact::default();
    contact.record_list(at(10));
    for second in 11..18 {
        contact.record_list_failure(at(second));
        contact.record_peer(at(second));
    }
    contact.record_list(at(18));
    assert!(!contact.may_lapse(at(18)));
}

// A daemon without any contact since its start has no gap in which entries could have expired.
#[test]
fn a_start_is_no_silence() {
    let contact = PlatformContact::default();
    assert!(!contact.may_lapse(at(10)));
    contact.record_list(at(10));
    assert!(!contact.may_lapse(at(10)));
}

/// Takes the second since which a peer has had contact without an outage, after this daemon heard
/// nothing from 10 to 15, and whether entries may have expired at 15.
macro_rules! peer_run_test {
    ($name:ident, $since:literal, $may:literal) => {
        #[test]
        fn $name() {
            let contact = PlatformContact::default();
            contact.record_list(at(10));
            contact.record_list_failure(at(11));
            contact.record_list(at(15));
            contact.record_peer_run(at($since));
            assert_eq!(contact.may_lapse(at(15)), $may);
        }
    };
}

// Guards against a daemon that was cut off or frozen and takes its own silence for an outage of the
// platform: it would send requests to targets that have left meanwhile.
peer_run_test!(a_silence_of_this_daemon_alone_is_no_outage, 8, false);
peer_run_test!(a_peer_had_contact_again_before, 12, false);
peer_run_test!(a_peer_was_silent_as_well, 14, true);

// A peer whose contact ended can't tell whether the platform is there.
#[test]
fn a_silent_daemon_vouches_for_nothing() {
    let contact = PlatformContact::default();
    assert_eq!(contact.steady_for(at(10)), None);
    contact.record_list(at(10));
    contact.record_list(at(12));
    assert_eq!(contact.steady_for(at(13)), Some(at(3)));
    assert_eq!(contact.steady_for(at(15)), None);
    contact.record_list(at(16));
    assert_eq!(contact.steady_for(at(17)), Some(at(1)));
}

// Guards against late news that passes for an outage of the platform: a target that left meanwhile would be
// kept as one whose entry has lapsed, and get requests for two seconds more.
#[test]
fn late_news_without_a_failed_call_is_no_outage() {
    let contact = PlatformContact::default();
    contact.record_list(at(10));
    assert!(!contact.may_lapse(at(15)));
    contact.record_list(at(15));
    assert!(!contact.may_lapse(at(15)));
}

// Guards against entries that expire in an outage and pass for removals, since the outage ended with a restore.
#[test]
fn an_outage_that_ends_with_a_restore_is_one() {
    let contact = PlatformContact::default();
    contact.record_list(at(10));
    contact.record_list_failure(at(11));
    contact.record_list(at(15));
    contact.record_restore(at(15));
    assert!(contact.may_expire(at(16)));
}

// Guards against removals that pass for expired entries after a restore without an outage.
#[test]
fn a_restore_lets_no_entry_expire() {
    let contact = PlatformContact::default();
    contact.record_list(at(10));
    contact.record_restore(at(11));
    assert!(contact.may_lapse(at(12)));
    assert!(!contact.may_expire(at(12)));
}

// Guards against polls that go on asking a member for news after it has lost the platform as well.
#[test]
fn a_member_that_has_lost_the_platform_is_not_asked_for_long() {
    let contact = PlatformContact::default();
    contact.record_direct_member(&"a".to_owned(), at(10));
    assert!(contact.direct_member(at(11)).is_some());
    assert_eq!(contact.direct_member(at(12)), None);
}
