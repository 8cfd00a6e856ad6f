//! Polls the watchers for the newest configuration identity, the list of targets and advisories.
//! Each reply says how old its information is.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future;
use lilaccrank::backoff;
use lilaccrank::clock::{self, BootTime, Clock};
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::ids::VmId;
use lilaccrank::peers::Peers;
use lilaccrank::request_key::Ranking;
use lilaccrank_http::monoio_clock::MonoioClock;
use rand::seq::IteratorRandom;

use crate::configuration::pulls;
use crate::daemon::Daemon;
use crate::peers::message::{Feed, FeedRequest};
use crate::rollouts::orders;
use crate::targets::live_list::{self, Listing};

/// Age up to which a contact with the platform counts as fresh. A watcher's long poll returns
/// after 800 ms at most while the platform is reachable.
const FRESH_AGE: Duration = Duration::from_millis(1_000);
/// Number of members that are polled at once after a silence.
const SAMPLE: usize = 3;

/// Polls others for as long as the daemon runs.
pub async fn follow(daemon: &Rc<Daemon>) {
    let every = clock::millis(daemon.cfg.feed_ms);
    let mut turn = 0;
    loop {
        monoio::time::sleep(every / 2 + backoff::full_jitter(every)).await;
        turn += 1;
        let now = MonoioClock.boot_time();
        let contact = &daemon.platform_contact;
        let stale = contact.age(now).is_none_or(|age| age > FRESH_AGE);
        let follows = contact.direct_age(now).is_some_and(|age| age < FRESH_AGE);
        if daemon.duties.is_watcher() && follows && !stale && !contact.may_lapse(now) {
            continue;
        }
        match next_peer(daemon, turn, now) {
            Some(vm) => poll(daemon, &vm).await,
            None => poll_several(daemon).await,
        }
    }
}

/// Polls several members at once. Any one of them may tell whether a silence was an outage of the
/// platform, and some may not answer.
pub async fn poll_several(daemon: &Rc<Daemon>) {
    let me = daemon.duties.me().vm;
    let live = daemon.membership.live();
    let others = live.members.iter().filter(|member| member.vm != me);
    let polled = others.sample(&mut rand::rng(), SAMPLE);
    future::join_all(polled.into_iter().map(|member| poll(daemon, &member.vm))).await;
}

/// Answers a poll of another daemon.
pub fn answer(daemon: &Daemon, request: &FeedRequest) -> Feed {
    let listing = daemon.live_list.listing();
    let asker_has = Listing {
        revision: request.revision,
        ..Listing::default()
    };
    let is_newer = listing.replaces(&asker_has);
    let changes = (is_newer && request.takes_changes)
        .then(|| daemon.live_list.changes(request.revision))
        .flatten();
    let is_whole = is_newer && changes.is_none();
    let now = MonoioClock.boot_time();
    let incarnation = daemon.duties.me().incarnation;
    let cell = &daemon.load_exchange;
    let era = daemon.platform_contact.latest_era.get();
    // Without the list of the era, a daemon does not know what the copy of the store lacks.
    let has_list_of_era = listing.revision.era == era;
    Feed {
        advisories: daemon
            .advisories
            .answer(&request.advisories, incarnation, cell),
        age: daemon.adoption.age(now),
        changes: changes.map(Box::new),
        era,
        identity: daemon.adoption.identity(),
        direct_age: daemon.platform_contact.direct_age(now),
        direct_member: daemon.platform_contact.direct_member(now),
        heard_age: daemon.platform_contact.age(now),
        listing: is_whole.then(|| Box::new((*listing).clone())),
        list_failure_age: daemon.platform_contact.list_failure_age(now),
        listing_age: daemon.live_list.freshness.age(now),
        orders: daemon
            .rollouts
            .newer_than(request.orders_revision)
            .map(Box::new),
        removed: daemon
            .live_list
            .departed
            .removed_since_restore(era, Instant::now()),
        steady_for: daemon
            .platform_contact
            .steady_for(now)
            .filter(|_| has_list_of_era),
        versions: request
            .lacks_versions
            .then(|| daemon.version_record.read_lately(daemon))
            .flatten()
            .map(Box::new),
    }
}

/// The member to poll at this turn: a watcher, or a member that reaches the platform while the watchers do
/// not. Random members are polled as well then, since any of them may know more; `None` for several of them,
/// while nobody is known to reach the platform.
fn next_peer(daemon: &Daemon, turn: usize, now: BootTime) -> Option<VmId> {
    let contact = &daemon.platform_contact;
    let is_watcher_fresh = contact.watcher_age(now).is_some_and(|age| age <= FRESH_AGE);
    // A watcher that the platform rejects gets its updates from other members.
    if is_watcher_fresh && !daemon.duties.is_watcher() {
        return next_watcher(daemon, turn);
    }
    match contact.direct_member(now) {
        Some((vm, _)) if !turn.is_multiple_of(4) => Some(vm),
        Some(_) => random_member(daemon),
        None if !turn.is_multiple_of(2) => next_watcher(daemon, turn),
        None => None,
    }
}

fn next_watcher(daemon: &Daemon, turn: usize) -> Option<VmId> {
    let me = daemon.duties.me().vm;
    let watchers = daemon.duties.watchers();
    let others: Vec<_> = watchers.into_iter().filter(|vm| *vm != me).collect();
    let at = turn.checked_rem(others.len())?;
    others.into_iter().nth(at)
}

fn random_member(daemon: &Daemon) -> Option<VmId> {
    let me = daemon.duties.me().vm;
    let live = daemon.membership.live();
    let others = live.members.iter().filter(|member| member.vm != me);
    others
        .choose(&mut rand::rng())
        .map(|member| member.vm.clone())
}

async fn poll(daemon: &Rc<Daemon>, vm: &VmId) {
    let asked_at = MonoioClock.boot_time();
    let known = daemon.live_list.listing();
    let req = FeedRequest {
        advisories: daemon.advisories.pull(vm),
        revision: known.revision,
        orders_revision: daemon.rollouts.revision(),
        takes_changes: true,
        lacks_versions: daemon.version_record.lacks_versions(),
    };
    let mut reply: Feed = match daemon.peers.call(vm, req).await {
        Ok(reply) => reply,
        Err(e) => return log::debug!("failed to poll {vm}: {e}"),
    };
    let cell = &daemon.load_exchange;
    daemon.advisories.merge_page(vm, &reply.advisories, cell);
    let era = &daemon.platform_contact.latest_era;
    // What a daemon knows of an earlier era confirms nothing.
    let is_current = reply.era >= era.get();
    era.observe(reply.era);
    // Contacts go first: they tell whether targets that are missing from the list may have lapsed.
    record_contacts(daemon, &reply, asked_at, is_current);
    record_direct_members(daemon, vm, &reply, asked_at);
    // Orders go before the list: they tell which version of it is being tried.
    if let Some(orders) = reply.orders.take() {
        orders::update(daemon, *orders);
    }
    if let Some(listing) = newer_listing(daemon, &mut reply) {
        live_list::apply_listing(daemon, listing);
    }
    if let Some(versions) = &reply.versions {
        daemon.version_record.learn(daemon, versions);
    }
    if is_current {
        live_list::drop_removed(daemon, &reply.removed);
    }
    if let Some(identity) = &reply.identity {
        pulls::pull_newer(daemon, vm, identity);
    }
    // Counted from the time of the request, so that transit time does not make it look fresher.
    let generation = |identity: Option<&Identity>| identity.map(|found| found.generation);
    let in_force = daemon.adoption.identity();
    let current = generation(in_force.as_ref()) >= generation(reply.identity.as_ref());
    if let Some(age) = reply.age.filter(|_| current) {
        daemon.adoption.confirm(asked_at.saturating_sub(age));
    }
    if let Some(age) = reply.listing_age.filter(|_| is_current) {
        daemon
            .live_list
            .freshness
            .confirm(asked_at.saturating_sub(age));
    }
}

/// Records when another daemon had contact with the platform about the list of targets, and when it had none.
fn record_contacts(daemon: &Daemon, reply: &Feed, asked_at: BootTime, is_current: bool) {
    let contact = &daemon.platform_contact;
    if let Some(age) = reply.list_failure_age {
        contact.record_list_failure(asked_at.saturating_sub(age));
    }
    if let Some(age) = reply.heard_age {
        contact.record_peer(asked_at.saturating_sub(age));
    }
    if let Some(time) = reply.steady_for.filter(|_| is_current) {
        contact.record_peer_run(MonoioClock.boot_time().saturating_sub(time));
    }
}

/// Returns the list of targets that a reply brings, whole or as changes of the known one.
fn newer_listing(daemon: &Daemon, reply: &mut Feed) -> Option<Listing> {
    let changed = reply.changes.take().and_then(|changes| {
        let known = daemon.live_list.listing();
        let changed = changes.apply(&known);
        if changed.is_none() {
            log::debug!(known:% = known.revision; "ignored changes of a list that is outdated");
        }
        changed
    });
    changed.or(reply.listing.take().map(|listing| *listing))
}

/// Records which members reach the platform, as the daemon `vm` says.
fn record_direct_members(daemon: &Daemon, vm: &VmId, reply: &Feed, asked_at: BootTime) {
    let contact = &daemon.platform_contact;
    if let Some(age) = reply.direct_age {
        let at = asked_at.saturating_sub(age);
        contact.record_direct_member(vm, at);
        if daemon.duties.watchers().contains(vm) {
            contact.record_watcher(at);
        }
    }
    let me = daemon.duties.me().vm;
    let other = reply.direct_member.as_ref();
    if let Some((member, age)) = other.filter(|(member, _)| *member != me) {
        contact.record_direct_member(member, asked_at.saturating_sub(*age));
    }
}
