//! Keeps this daemon's configuration up to date: two daemons of a data centre watch the store,
//! the others hear of it from each other.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::configuration::exchange;
use lilaccrank::configuration::manifest::{Identity, Standing};
use lilaccrank::configuration::watcher::{self, Timing};
use lilaccrank::ids::VmId;
use lilaccrank::peers::Peers;
use lilaccrank::request_key::Ranking;
use lilaccrank_http::monoio_clock::MonoioClock;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::daemon::Daemon;
use crate::peers::message::{Announcement, Done};

pub mod in_force;

/// Members told at once of a new configuration; each of them tells as many.
const FANOUT: usize = 3;
/// Time between two comparisons with another daemon. A rumour may miss some; with this they
/// catch up well within the four seconds in which a change is to be in force.
const COMPARE_EVERY: Duration = Duration::from_secs(1);

/// Follows the configuration for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>) {
    let watching = watch_while_on_duty(&daemon);
    let comparing = compare(&daemon);
    let spreading = put_in_force(&daemon);
    pin_mut!(watching, comparing, spreading);
    future::join3(watching, comparing, spreading).await;
}

/// Takes in that another daemon has a new configuration.
pub fn announced(daemon: &Rc<Daemon>, announcement: Announcement) -> Done {
    if daemon.adoption.wants(&announcement.identity) {
        let daemon = Rc::clone(daemon);
        monoio::spawn(async move { take(&daemon, &announcement.vm).await });
    }
    Done
}

async fn watch_while_on_duty(daemon: &Rc<Daemon>) {
    loop {
        let version = daemon.membership.live().version;
        let changed = daemon.membership.changed(version);
        if !daemon.duties.is_watcher() {
            changed.await;
            continue;
        }
        let watching = watcher::run_watcher(
            daemon.store.clone(),
            MonoioClock,
            daemon.adoption.clone(),
            Timing::default(),
        );
        let relieved = relieved(daemon);
        pin_mut!(watching, relieved);
        if let Either::Left((never, _)) = future::select(watching, relieved).await {
            match never {}
        }
    }
}

/// Completes once the watch is another member's duty.
async fn relieved(daemon: &Daemon) {
    while daemon.duties.is_watcher() {
        let version = daemon.membership.live().version;
        daemon.membership.changed(version).await;
    }
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

async fn take(daemon: &Daemon, vm: &VmId) {
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
