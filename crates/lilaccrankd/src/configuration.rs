//! Keeps this daemon's configuration up to date: two daemons of a data centre watch the store,
//! the others hear of it from each other.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::backoff;
use lilaccrank::clock::Clock;
use lilaccrank::configuration::exchange;
use lilaccrank::configuration::manifest::{Identity, Standing};
use lilaccrank::ids::VmId;
use lilaccrank::peers::Peers;
use lilaccrank::request_key::Ranking;
use lilaccrank_http::monoio_clock::MonoioClock;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::configuration::source::Intake;
use crate::daemon::Daemon;
use crate::peers::message::{Announcement, Done};

pub mod feed;
pub mod heard;
pub mod in_force;
pub mod own_source;
pub mod source;

/// Members told at once of a new configuration; each of them tells as many.
const FANOUT: usize = 3;
/// Time between two comparisons with another daemon. A rumour may miss some; with this they
/// catch up well within the four seconds in which a change is to be in force.
const COMPARE_EVERY: Duration = Duration::from_secs(1);
/// Silence of the platform after which a daemon asks it itself. A watcher is answered every eight
/// tenths of a second, and a question to it comes every three tenths at most; a change has to be
/// in force after two seconds.
const STALE_AFTER: Duration = Duration::from_millis(1_400);
/// For each member, the time over which those that have heard nothing spread their questions:
/// with seven members four of them ask within a tenth of a second.
const STALE_SPREAD: Duration = Duration::from_millis(20);
/// That time at most. What a few learn takes a second or two to reach all of a large fleet, and a
/// target that leaves may get nothing new after three: over 71 members the spread alone would be 1.4
/// seconds, on top of the 1.75 until the silence is seen.
const STALE_SPREAD_MOST: Duration = Duration::from_millis(400);

/// Follows the configuration for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>) {
    let watching = watch_while_on_duty(&daemon);
    let comparing = compare(&daemon);
    let hearing = feed::follow(&daemon);
    let spreading = put_in_force(&daemon);
    pin_mut!(watching, comparing, hearing, spreading);
    future::join4(watching, comparing, hearing, spreading).await;
}

/// Takes in that another daemon has a new configuration.
pub fn announced(daemon: &Rc<Daemon>, announcement: Announcement) -> Done {
    if daemon.adoption.wants(&announcement.identity) {
        let daemon = Rc::clone(daemon);
        monoio::spawn(async move { take(&daemon, &announcement.vm).await });
    }
    Done
}

/// Follows the platform while that is this daemon's duty, or while nobody else can.
async fn watch_while_on_duty(daemon: &Rc<Daemon>) {
    loop {
        needed(daemon).await;
        let watching = daemon.ports.source.follow(Intake::new(daemon));
        let relieved = relieved(daemon);
        pin_mut!(watching, relieved);
        future::select(watching, relieved).await;
    }
}

/// Completes once this daemon has to follow the platform itself.
async fn needed(daemon: &Daemon) {
    while !daemon.duties.is_watcher() {
        let version = daemon.membership.live().version;
        let changed = daemon.membership.changed(version);
        let stale = stale(daemon);
        pin_mut!(changed, stale);
        if let Either::Right(_) = future::select(changed, stale).await {
            let age = daemon.heard.age(MonoioClock.boot_time());
            log::warn!(
                heard_ms_ago = age.map_or(-1, |age| age.as_millis() as i64);
                "no watcher tells anything new: this daemon asks the platform itself"
            );
            return;
        }
    }
}

/// Completes once the watchers have been silent, or cut off from the platform, for too long.
///
/// The platform may turn away just the daemons that watch. Each other daemon then waits for a
/// time of its own, so that a few of them ask first and tell the rest.
async fn stale(daemon: &Daemon) {
    if daemon.cfg.configuration_lease_ms == 0 {
        return future::pending().await;
    }
    loop {
        monoio::time::sleep(STALE_AFTER / 4).await;
        if !is_stale(daemon) {
            continue;
        }
        let members = daemon.membership.live().members.len();
        let spread = backoff::full_jitter(stale_spread(members));
        monoio::time::sleep(spread).await;
        if is_stale(daemon) {
            return;
        }
    }
}

/// Time over which the members that have heard nothing spread their questions to the platform.
#[must_use]
pub fn stale_spread(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    STALE_SPREAD.saturating_mul(members).min(STALE_SPREAD_MOST)
}

/// Completes once the watch is another member's duty and, where knowledge has to be fresh, that
/// member tells what it learns.
async fn relieved(daemon: &Daemon) {
    loop {
        let version = daemon.membership.live().version;
        if !daemon.duties.is_watcher() && is_told(daemon) {
            return;
        }
        let changed = daemon.membership.changed(version);
        let _ = monoio::time::timeout(STALE_AFTER, changed).await;
    }
}

fn is_stale(daemon: &Daemon) -> bool {
    let heard = daemon.heard.age(MonoioClock.boot_time());
    heard.is_none_or(|age| age >= STALE_AFTER)
}

/// Whether a watcher hears the platform, and has told so of late.
fn is_told(daemon: &Daemon) -> bool {
    let heard = daemon.heard.watcher_age(MonoioClock.boot_time());
    daemon.cfg.configuration_lease_ms == 0 || heard.is_some_and(|age| age < STALE_AFTER)
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
        monoio::spawn(async move {
            let told: lilaccrank::peers::Result<Done> = peers.call(&vm, announcement).await;
            if let Err(e) = told {
                log::debug!("a new configuration could not be announced: {e}");
            }
        });
    }
}

/// Compares with one other member a second, and as a watcher with another data centre too: what
/// the store can't tell while it is away, a peer can.
async fn compare(daemon: &Rc<Daemon>) {
    loop {
        monoio::time::sleep(COMPARE_EVERY).await;
        let me = daemon.duties.me();
        let live = daemon.membership.live();
        let others = live.members.iter().filter(|member| member.vm != me.vm);
        if let Some(member) = others.choose(&mut rand::rng()) {
            take(daemon, &member.vm).await;
        }
        if daemon.duties.is_watcher()
            && let Some(vm) = in_other_data_centre(daemon)
        {
            take(daemon, &vm).await;
        }
    }
}

/// Some daemon of another data centre, by its peer address.
fn in_other_data_centre(daemon: &Daemon) -> Option<VmId> {
    let others = daemon.cfg.other_data_centres.values();
    let daemons = others.choose(&mut rand::rng())?;
    let daemon = daemons.choose(&mut rand::rng())?;
    Some(daemon.peer.to_string())
}

pub(crate) async fn take(daemon: &Daemon, vm: &VmId) {
    let before = daemon.adoption.identity();
    match exchange::take_from(&daemon.peers, vm, &daemon.adoption).await {
        Ok(now) if standing(before.as_ref(), now.as_ref()) == Some(Standing::Newer) => {
            log::info!("took a newer configuration from {vm}");
        }
        Ok(_) => {}
        Err(e) => log::debug!("no configuration from {vm}: {e}"),
    }
}

fn standing(before: Option<&Identity>, now: Option<&Identity>) -> Option<Standing> {
    Some(now?.standing(before?))
}
