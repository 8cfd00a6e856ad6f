//! Keeps the configuration up to date: the watchers of a data centre (two by default) follow the
//! platform's store, and the other daemons learn of changes from their peers.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::backoff;
use lilaccrank::clock::Clock;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::ids::VmId;
use lilaccrank::peers::Peers;
use lilaccrank::request_key::Ranking;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::configuration::source::UpdateHandler;
use crate::daemon::Daemon;
use crate::peers::message::{Announcement, Done};

pub mod feed;
pub mod in_force;
pub mod native_source;
pub mod platform_contact;
pub mod pulls;
pub mod source;
pub mod transfers;

/// Number of members that each daemon announces a new configuration to.
const FANOUT: usize = 3;
/// Interval between two anti-entropy exchanges with another daemon. Announcements may miss some
/// members; the exchange brings them up to date within the four seconds that a change may take.
const COMPARE_EVERY: Duration = Duration::from_secs(1);
/// Age of the last contact with the platform at which a daemon queries it itself. The platform
/// answers a watcher after 800 ms at most, members poll a watcher at least every 300 ms, and a
/// change has to be in force after two seconds.
const STALE_AFTER: Duration = Duration::from_millis(1_400);
/// Maximum jitter per member before a daemon without a recent contact queries the platform. With
/// seven members, four of them query it within 100 ms.
const STALE_JITTER_PER_MEMBER: Duration = Duration::from_millis(20);
/// Upper bound of the jitter. News takes a second or two to reach all of a large fleet, and a
/// leaving target may get no new requests after three seconds. Without the bound, 71 members would
/// spread over 1.4 s, in addition to the 1.4 s until a contact is stale.
const STALE_JITTER_MAX: Duration = Duration::from_millis(400);
/// Pause of a watcher after an answer with changes of the list of targets.
const WATCHER_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a daemon that begins to watch knows the other members, and whether it is a watcher.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Pause of another daemon, which hears of the changes from the watchers as well.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(400);

/// Keeps the configuration up to date for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>) {
    let watching = watch_while_needed(&daemon);
    let comparing = compare(&daemon);
    let polling = feed::follow(&daemon);
    let applying = put_in_force(&daemon);
    pin_mut!(watching, comparing, polling, applying);
    future::join4(watching, comparing, polling, applying).await;
}

/// Handles a peer's announcement; pulls the configuration if it is newer.
pub fn handle_announcement(daemon: &Rc<Daemon>, announcement: Announcement) -> Done {
    pulls::pull_newer(daemon, &announcement.vm, &announcement.identity);
    Done
}

/// Follows the platform while this daemon is a watcher or no watcher has a recent contact.
async fn watch_while_needed(daemon: &Rc<Daemon>) {
    loop {
        until_needed(daemon).await;
        log::info!(is_watcher = daemon.duties.is_watcher(); "following the platform");
        let watching = daemon.ports.source.follow(UpdateHandler::new(daemon));
        let until_relieved = until_relieved(daemon);
        pin_mut!(watching, until_relieved);
        future::select(watching, until_relieved).await;
        daemon.live_list.freshness.forget_calls();
    }
}

/// Completes once this daemon has to follow the platform itself.
pub async fn until_needed(daemon: &Daemon) {
    let until_watcher = until_watcher(daemon);
    let until_stale = until_stale(daemon);
    pin_mut!(until_watcher, until_stale);
    if let Either::Right(_) = future::select(until_watcher, until_stale).await {
        let age = daemon.platform_contact.age(MonoioClock.boot_time());
        log::warn!(
            heard_ms_ago = age.map_or(-1, |age| age.as_millis() as i64);
            "no recent contact with the platform through peers: following the platform directly"
        );
    }
}

/// Completes once this daemon is a watcher.
async fn until_watcher(daemon: &Daemon) {
    while !daemon.duties.is_watcher() {
        let version = daemon.membership.version();
        daemon.membership.changed(version).await;
    }
}

/// Completes once the last contact with the platform is too old, or a send needs a newer list of
/// targets; never without a lease.
async fn until_stale(daemon: &Daemon) {
    if !has_lease(daemon) {
        return future::pending().await;
    }
    let needed = daemon.live_list.freshness.needed();
    let without_contact = until_without_contact(daemon);
    pin_mut!(needed, without_contact);
    future::select(needed, without_contact).await;
}

/// Completes once the last contact with the platform is too old.
///
/// The platform may reject only the watchers. The other daemons then wait for a random time each,
/// so that a few of them query the platform first and pass the result on.
async fn until_without_contact(daemon: &Daemon) {
    // A daemon that starts has no contact yet, but may learn from its peers first.
    monoio::time::sleep(STALE_AFTER / 4).await;
    loop {
        monoio::time::sleep(time_until_stale(daemon)).await;
        let members = daemon.membership.live().members.len();
        let jitter = backoff::full_jitter(stale_jitter(members));
        monoio::time::sleep(jitter).await;
        if time_until_stale(daemon).is_zero() {
            return;
        }
    }
}

/// Returns the pause before the next watch of the list of targets, after an answer with changes, of a
/// daemon that has watched for `since`; `quiet` is the time since the answer with changes before, if there
/// was one. When many targets register at the same time, a call without a pause would be answered by each
/// of them; and when a fleet starts, each daemon is alone at first and takes itself for a watcher.
#[must_use]
pub fn watch_pause(quiet: Option<Duration>, is_watcher: bool, since: Duration) -> Duration {
    let is_settled = is_watcher && since >= SETTLING_TIME;
    let pause = if is_settled {
        WATCHER_PAUSE
    } else {
        FOLLOWER_PAUSE
    };
    match quiet {
        // Twice the pause, which is part of the time itself.
        Some(quiet) if quiet < pause * 2 => pause,
        _ => Duration::ZERO,
    }
}

/// Returns the maximum jitter before a member without a recent contact queries the platform.
#[must_use]
pub fn stale_jitter(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    STALE_JITTER_PER_MEMBER
        .saturating_mul(members)
        .min(STALE_JITTER_MAX)
}

/// Completes once this daemon is no watcher and, if there is a lease, a watcher has a recent contact
/// with the platform and the list of this daemon is recent as well.
pub async fn until_relieved(daemon: &Daemon) {
    loop {
        let version = daemon.membership.live().version;
        let confirmed = daemon.live_list.freshness.confirmed();
        if !daemon.duties.is_watcher() && has_fresh_watcher(daemon) && has_fresh_list(daemon) {
            return;
        }
        let changed = daemon.membership.changed(version);
        pin_mut!(changed, confirmed);
        let changed = future::select(changed, confirmed);
        let _ = monoio::time::timeout(STALE_AFTER, changed).await;
    }
}

/// Time until the last contact with the platform is too old.
fn time_until_stale(daemon: &Daemon) -> Duration {
    let contact_age = daemon.platform_contact.age(MonoioClock.boot_time());
    contact_age.map_or(Duration::ZERO, |age| STALE_AFTER.saturating_sub(age))
}

/// Returns `true` if the configuration or the list of targets may be used for a time only.
fn has_lease(daemon: &Daemon) -> bool {
    daemon.cfg.configuration_lease_ms > 0 || daemon.cfg.listing_lease_ms > 0
}

/// Returns `true` if a watcher reported a recent contact of its own, or none is required.
fn has_fresh_watcher(daemon: &Daemon) -> bool {
    let contact_age = daemon.platform_contact.watcher_age(MonoioClock.boot_time());
    !has_lease(daemon) || contact_age.is_some_and(|age| age < STALE_AFTER)
}

/// Returns `true` if the list of targets was the newest a short time ago, or may be of any age.
fn has_fresh_list(daemon: &Daemon) -> bool {
    let age = daemon.live_list.freshness.age(MonoioClock.boot_time());
    daemon.cfg.listing_lease_ms == 0 || age.is_some_and(|age| age < STALE_AFTER)
}

async fn put_in_force(daemon: &Rc<Daemon>) {
    let mut seen: Option<Identity> = None;
    loop {
        let current = daemon.adoption.changed(seen.as_ref()).await;
        let identity = current.manifest.identity.clone();
        daemon.put_in_force(&current);
        announce(daemon, &identity);
        seen = Some(identity);
    }
}

fn announce(daemon: &Rc<Daemon>, identity: &Identity) {
    let me = daemon.duties.me();
    let live = daemon.membership.live();
    let others = live.members.iter().filter(|member| member.vm != me.vm);
    for member in others.sample(&mut rand::rng(), FANOUT) {
        let announcement = Announcement {
            identity: identity.clone(),
            vm: me.vm.clone(),
        };
        let (peers, vm) = (daemon.peers.clone(), member.vm.clone());
        runtime::spawn(async move {
            let result: lilaccrank::peers::Result<Done> = peers.call(&vm, announcement).await;
            if let Err(e) = result {
                log::debug!("failed to announce a new configuration: {e}");
            }
        });
    }
}

/// Exchanges configurations with a random member at each interval. A watcher also asks a daemon of
/// another data centre, which may have a newer one while the store is unavailable.
async fn compare(daemon: &Rc<Daemon>) {
    loop {
        monoio::time::sleep(COMPARE_EVERY).await;
        let me = daemon.duties.me();
        let live = daemon.membership.live();
        let others = live.members.iter().filter(|member| member.vm != me.vm);
        if let Some(member) = others.choose(&mut rand::rng()) {
            pulls::compare_with(daemon, &member.vm).await;
        }
        if daemon.duties.is_watcher()
            && let Some(vm) = random_remote_daemon(daemon)
        {
            pulls::compare_with(daemon, &vm).await;
        }
    }
}

/// Picks a random daemon of another data centre; returns its peer address.
fn random_remote_daemon(daemon: &Daemon) -> Option<VmId> {
    let others = daemon.cfg.other_data_centres.values();
    let daemons = others.choose(&mut rand::rng())?;
    let daemon = daemons.choose(&mut rand::rng())?;
    Some(daemon.peer.to_string())
}
