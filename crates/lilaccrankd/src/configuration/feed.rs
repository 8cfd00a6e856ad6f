//! What a daemon hears from the watchers: whether its configuration is the newest, and the list
//! of targets. Each answer tells how old its knowledge is.

use std::rc::Rc;
use std::time::Duration;

use lilaccrank::backoff;
use lilaccrank::clock::Clock;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::ids::VmId;
use lilaccrank::peers::Peers;
use lilaccrank::request_key::Ranking;
use lilaccrank_http::monoio_clock::MonoioClock;
use rand::seq::IteratorRandom;

use crate::configuration;
use crate::daemon::Daemon;
use crate::peers::message::{Feed, FeedRequest};
use crate::targets::live_list::{self, Listing};

/// Age of what a watcher tells at most, as long as it hears the platform: it waits for a change
/// for eight tenths of a second.
const FRESH: Duration = Duration::from_millis(1_000);

/// Asks the watchers in turn for as long as the daemon runs, and any other member where they know
/// nothing fresh.
pub async fn follow(daemon: &Rc<Daemon>) {
    let every = Duration::from_millis(daemon.cfg.feed_ms);
    let mut turn = 0;
    loop {
        monoio::time::sleep(every / 2 + backoff::full_jitter(every)).await;
        turn += 1;
        let heard = daemon.heard.age(MonoioClock.boot_time());
        let stale = heard.is_none_or(|age| age > FRESH);
        let direct = daemon.heard.direct_age(MonoioClock.boot_time());
        let follows = direct.is_some_and(|age| age < FRESH);
        if daemon.duties.is_watcher() && follows {
            continue;
        }
        // A watcher that is turned away hears of others what the platform tells them.
        let needs_others = stale || daemon.duties.is_watcher();
        let asked = if needs_others && turn % 2 == 0 {
            any_member(daemon)
        } else {
            watcher(daemon, turn)
        };
        if let Some(vm) = asked {
            ask(daemon, &vm).await;
        }
    }
}

/// Answers another daemon.
pub fn answer(daemon: &Daemon, asked: &FeedRequest) -> Feed {
    let listing = daemon.live_list.listing();
    let asker_has = Listing {
        revision: asked.revision,
        ..Listing::default()
    };
    let now = MonoioClock.boot_time();
    let incarnation = daemon.duties.me().incarnation;
    let cell = &daemon.load_exchange;
    Feed {
        advisories: daemon
            .advisories
            .answer(&asked.advisories, incarnation, cell),
        age: daemon.adoption.age(now),
        identity: daemon.adoption.identity(),
        direct_age: daemon.heard.direct_age(now),
        heard_age: daemon.heard.age(now),
        listing: listing.replaces(&asker_has).then(|| (*listing).clone()),
        listing_age: daemon.live_list.age(now),
    }
}

fn watcher(daemon: &Daemon, turn: usize) -> Option<VmId> {
    let me = daemon.duties.me().vm;
    let watchers = daemon.duties.watchers();
    let others: Vec<_> = watchers.into_iter().filter(|vm| *vm != me).collect();
    let at = turn.checked_rem(others.len())?;
    others.into_iter().nth(at)
}

fn any_member(daemon: &Daemon) -> Option<VmId> {
    let me = daemon.duties.me().vm;
    let live = daemon.membership.live();
    let others = live.members.iter().filter(|member| member.vm != me);
    others
        .choose(&mut rand::rng())
        .map(|member| member.vm.clone())
}

async fn ask(daemon: &Rc<Daemon>, vm: &VmId) {
    let asked = MonoioClock.boot_time();
    let known = daemon.live_list.listing();
    let req = FeedRequest {
        advisories: daemon.advisories.pull(vm),
        revision: known.revision,
    };
    let told: Feed = match daemon.peers.call(vm, req).await {
        Ok(told) => told,
        Err(e) => return log::debug!("nothing heard from {vm}: {e}"),
    };
    let cell = &daemon.load_exchange;
    daemon.advisories.merge_page(vm, &told.advisories, cell);
    if let Some(listing) = told.listing {
        live_list::apply_listing(daemon, listing);
    }
    if let Some(identity) = &told.identity
        && daemon.adoption.wants(identity)
    {
        configuration::take(daemon, vm).await;
    }
    // What the other one knew was at least this fresh when it was asked.
    let generation = |identity: Option<Identity>| identity.map(|found| found.generation);
    let current = generation(daemon.adoption.identity()) >= generation(told.identity);
    if let Some(age) = told.age.filter(|_| current) {
        daemon.adoption.confirm(asked.saturating_sub(age));
    }
    if let Some(age) = told.listing_age {
        daemon.live_list.confirm(asked.saturating_sub(age));
    }
    if let Some(age) = told.heard_age {
        daemon.heard.from_peer(asked.saturating_sub(age));
    }
    let is_watcher = daemon.duties.watchers().contains(vm);
    if let Some(age) = told.direct_age.filter(|_| is_watcher) {
        daemon.heard.from_watcher(asked.saturating_sub(age));
    }
}
