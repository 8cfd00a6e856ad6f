//! What a daemon answers to the polls of others.

use indexmap::IndexMap;
use lilaccrank::advisories::sync::Pull;
use lilaccrank::clock::Clock;
use lilaccrank::document::{Target, TargetState};
use lilaccrank::store_revision::StoreRevision;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrankd::configuration::feed;
use lilaccrankd::peers::message::{Feed, FeedRequest};
use lilaccrankd::targets::live_list::Listing;

use super::fixtures;

/// Number of targets at the planned size.
const TARGETS: usize = 6_700;
/// What control may take of a daemon's link in a second.
const CONTROL_BYTES: usize = 7_000;

const POOL: &str = "engines";

/// A list of the planned size in which the first `draining` targets are draining.
fn listing(revision: u64, draining: usize) -> Listing {
    let targets = (0..TARGETS).map(|n| Target {
        address: format!("10.1.{}.{}:8080", n / 250, n % 250),
        data_centre: "north".to_owned(),
        id: format!("i-{n:010x}"),
        state: match n < draining {
            true => TargetState::Draining,
            false => TargetState::Live,
        },
        ..Target::default()
    });
    Listing {
        revision: revision.into(),
        targets: IndexMap::from([(POOL.to_owned(), targets.collect())]),
        ..Listing::default()
    }
}

fn request(revision: StoreRevision) -> FeedRequest {
    FeedRequest {
        advisories: Pull::default(),
        orders_revision: StoreRevision::default(),
        revision,
        takes_changes: true,
        lacks_versions: false,
    }
}

fn size(feed: &Feed) -> usize {
    rmp_serde::to_vec_named(feed).unwrap().len()
}

// Guards against a watcher that sends the whole list for each target that changes: the answers fill its
// link, and the others hear seconds late of targets that leave.
#[test]
fn a_poll_of_a_long_list_gets_what_changed() {
    let daemon = fixtures::daemon();
    daemon.live_list.update(listing(10, 0), false);
    daemon.live_list.update(listing(12, 2), false);
    daemon.live_list.update(listing(13, 3), false);
    let reply = feed::answer(&daemon, &request(10.into()));
    assert!(size(&reply) < CONTROL_BYTES, "{} bytes", size(&reply));
}

// Guards against daemons of two versions that can't read each other's lists.
#[test]
fn a_daemon_that_takes_no_changes_gets_the_whole_list() {
    let daemon = fixtures::daemon();
    daemon.live_list.update(listing(10, 0), false);
    daemon.live_list.update(listing(12, 2), false);
    let asked = FeedRequest {
        takes_changes: false,
        ..request(10.into())
    };
    let reply = feed::answer(&daemon, &asked);
    assert!(reply.changes.is_none());
    assert_eq!(reply.listing, Some(Box::new(listing(12, 2))));
}

// Guards against a daemon that has heard of a restore, has not seen its list, and vouches that there was none:
// others would drop the targets that the copy lacks.
#[test]
fn a_daemon_without_the_list_of_the_era_vouches_for_nothing() {
    let daemon = fixtures::daemon();
    daemon.live_list.update(listing(10, 0), false);
    daemon.platform_contact.record_list(MonoioClock.boot_time());
    let vouched = || feed::answer(&daemon, &request(10.into())).steady_for;
    assert!(vouched().is_some());
    daemon.platform_contact.latest_era.observe(1);
    assert_eq!(vouched(), None);
}
