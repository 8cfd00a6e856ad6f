//! Records software versions in the platform's store before streams begin at them.
//!
//! While one version is recorded for a pool, it began all streams of that pool, and they can be resumed
//! after a restart of all daemons.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use indexmap::IndexMap;
use lilaccrank::backoff::Backoff;
use lilaccrank::clock::Clock;
use lilaccrank::document::{Target, TargetState};
use lilaccrank::ids::{PoolId, VmId};
use lilaccrank::rendezvous;
use lilaccrank::software_version::VersionDigest;
use lilaccrank::store::{Error, Expect, Result};
use lilaccrank::versions_in_use::{RecordedVersion, Unneeded, VersionsInUse};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;
use crate::peers::change_signal::ChangeSignal;
use crate::peers::fresh_reads::FreshReads;
use crate::pools::server;

/// Key of the record in the store.
const KEY: &str = "streams/versions";
/// Rendezvous key of the duty to write the record.
const DUTY: &str = "stream-versions";
/// Number of daemons that write at once. The store may reject one of them.
const WRITER_COUNT: usize = 2;
/// Time for which the others leave a new version to them.
const WRITER_HEADSTART: Duration = Duration::from_millis(100);
/// Interval at which expired waits and versions are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the record is read without a reason.
const REREAD_INTERVAL: Duration = Duration::from_secs(60);
/// Time since a read for which other daemons are told what is recorded: far shorter than what is not needed
/// stays there.
const TOLD_LIMIT: Duration = REREAD_INTERVAL.saturating_mul(2);
/// Shortest pause between two reads for requests.
const MIN_READ_PAUSE: Duration = Duration::from_millis(20);
/// Reads for requests a second of all daemons.
const FLEET_READS_PER_S: f64 = 500.0;
/// Tries of one write against those of other daemons.
const MAX_CONFLICTS: usize = 5;
/// Upper bound of the first and of any wait after a failed call.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which targets of a version get nothing while it can't be recorded. Later they get requests if
/// no target of a recorded version can.
const WITHHOLD_LIMIT: Duration = Duration::from_secs(2);
/// Age of a list from which on it does not tell that a version has left.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);
/// Longest wait for a list that names a version.
const LIST_WAIT: Duration = Duration::from_millis(500);

/// The record as this daemon knows it.
#[derive(Default)]
pub struct VersionRecord {
    changed: ChangeSignal,
    /// Set once the platform's store has been found to keep the record.
    is_kept: Cell<bool>,
    known: RefCell<VersionsInUse>,
    /// Result of the last read for requests; `None` if it failed.
    last_read: RefCell<Option<VersionsInUse>>,
    /// When what is known was last read, or written.
    read_at: Cell<Option<Instant>>,
    reads: FreshReads,
    /// Notified when the record is known or has changed.
    recorded: Event,
    unneeded: RefCell<Unneeded>,
    /// Versions that are not recorded yet, and since when targets of them get nothing.
    withheld: RefCell<IndexMap<(PoolId, RecordedVersion), Instant>>,
}

impl VersionRecord {
    /// Notes that the list of targets, the configuration or the era of the store may have changed.
    pub fn notify(&self) {
        self.changed.notify();
    }

    /// Returns `true` if a target may get no requests, since streams of its version could not be told
    /// from others after a restart.
    #[must_use]
    pub fn is_withheld(&self, daemon: &Daemon, pool: &PoolId, target: &Target) -> bool {
        let version = VersionDigest::of(target);
        if !self.is_kept.get() || self.is_recorded(pool, version) {
            return false;
        }
        let Ok(in_force) = daemon.in_force() else {
            return false;
        };
        if !in_force.stream_routes.contains(pool) {
            return false;
        }
        let now = Instant::now();
        let since = {
            let mut withheld = self.withheld.borrow_mut();
            *withheld.entry((pool.clone(), version)).or_insert(now)
        };
        now - since < WITHHOLD_LIMIT || self.has_recorded_target(daemon, pool)
    }

    /// Completes once a target of a pool may get requests, or none of them waits for the record of its version.
    pub async fn until_recorded(&self, daemon: &Daemon, pool: &PoolId) {
        let recorded = async {
            while self.holds_up(daemon, pool) {
                let listener = self.recorded.listen();
                if self.holds_up(daemon, pool) {
                    listener.await;
                }
            }
        };
        // Later they get requests without the record.
        let _ = monoio::time::timeout(WITHHOLD_LIMIT, recorded).await;
    }

    /// Returns `true` if all live targets of a pool wait for the record of their versions.
    fn holds_up(&self, daemon: &Daemon, pool: &PoolId) -> bool {
        let listing = daemon.live_list.listing();
        let mut listed = listing.targets.get(pool).into_iter().flatten();
        let is_held_up = |target: &Target| {
            daemon.live_list.state_of(target) == TargetState::Live
                && self.is_withheld(daemon, pool, target)
        };
        listed.any(is_held_up) && !self.has_recorded_target(daemon, pool)
    }

    fn is_recorded(&self, pool: &PoolId, version: RecordedVersion) -> bool {
        let unneeded = self.unneeded.borrow();
        let is_doubtful = unneeded.is_doubtful(pool, version, Instant::now());
        self.known.borrow().contains(pool, version) && !is_doubtful
    }

    fn has_recorded_target(&self, daemon: &Daemon, pool: &PoolId) -> bool {
        let listing = daemon.live_list.listing();
        let mut listed = listing.targets.get(pool).into_iter().flatten();
        listed.any(|target| {
            self.is_recorded(pool, VersionDigest::of(target))
                && daemon.live_list.state_of(target) == TargetState::Live
        })
    }

    /// Returns `true` if streams may have begun at several versions, so that each has to be recorded.
    #[must_use]
    pub fn has_several_versions(&self, daemon: &Daemon) -> bool {
        let era = daemon.platform_contact.latest_era.get();
        let routes = daemon
            .in_force()
            .map(|in_force| in_force.stream_routes.clone());
        routes.is_ok_and(|routes| !self.known.borrow().has_one_version(&routes, era))
    }

    /// Returns the version that began every stream of a pool, by a read of the record; `None` if there may be
    /// several, or the store does not answer.
    pub async fn only_version(&self, daemon: &Daemon, pool: &PoolId) -> Option<VersionDigest> {
        if !self.is_kept.get() {
            return None;
        }
        self.reads.next().await;
        let in_force = daemon.in_force().ok()?;
        let version = {
            let read = self.last_read.borrow();
            let era = daemon.platform_contact.latest_era.get();
            let routes = &in_force.stream_routes;
            read.as_ref()?.only_version(pool, routes, era)?
        };
        daemon.live_list.version_known(version, LIST_WAIT).await;
        let listing = daemon.live_list.listing();
        let is_of_era = listing.revision.era == daemon.platform_contact.latest_era.get();
        let mut listed = listing.targets.get(pool).into_iter().flatten();
        let is_only = listed.all(|target| VersionDigest::of(target) == Some(version));
        (is_of_era && is_only).then_some(version)
    }

    /// Returns `true` if targets get nothing since their versions are not known to be recorded.
    #[must_use]
    pub fn lacks_versions(&self) -> bool {
        !self.withheld.borrow().is_empty()
    }

    /// Returns what this daemon needs and has lately read to be recorded, in the present era of the store.
    #[must_use]
    pub fn read_lately(&self, daemon: &Daemon) -> Option<VersionsInUse> {
        let read_at = self.read_at.get()?;
        let known = self.known.borrow();
        let is_present = known.era() == daemon.platform_contact.latest_era.get();
        (is_present && read_at.elapsed() < TOLD_LIMIT)
            .then(|| self.unneeded.borrow().needed(&known))
    }

    /// Takes over what another daemon has read to be recorded. The store may not answer this one.
    pub fn learn(&self, daemon: &Rc<Daemon>, recorded: &VersionsInUse) {
        if recorded.era() != daemon.platform_contact.latest_era.get() {
            return;
        }
        let mut known = self.known.borrow().clone();
        if known.learn(recorded) {
            self.adopt(daemon, known);
        }
    }

    /// Notes which versions are recorded and not needed. Returns `true` if one of them may be removed.
    fn note_unneeded(&self, daemon: &Daemon, needed: &VersionsInUse, now: Instant) -> bool {
        let mut unneeded = self.unneeded.borrow_mut();
        unneeded.note(&mut self.known.borrow_mut(), needed, now);
        // A list that is too old does not tell that a version has left.
        if !has_current_list(daemon) {
            unneeded.restart(now);
        }
        unneeded.has_expired(now)
    }

    /// Adopts what the store holds, and passes on that targets of versions in it may get requests.
    fn adopt(&self, daemon: &Rc<Daemon>, recorded: VersionsInUse) {
        self.known.replace(recorded);
        let has_waited = {
            let known = self.known.borrow();
            let mut withheld = self.withheld.borrow_mut();
            let before = withheld.len();
            withheld.retain(|(pool, version), _| !known.contains(pool, *version));
            withheld.len() < before
        };
        if has_waited {
            server::configuration_changed(daemon);
        }
        self.recorded.notify(usize::MAX);
        daemon.origins.stored.notify();
    }

    /// Passes on that targets of versions that can't be recorded may get requests now.
    fn check_limit(&self, daemon: &Rc<Daemon>) {
        let now = Instant::now();
        let withheld = self.withheld.borrow();
        let mut waits = withheld.values();
        let is_over = waits.any(|since| now - *since >= WITHHOLD_LIMIT);
        drop(withheld);
        if is_over {
            server::configuration_changed(daemon);
        }
    }
}

/// Keeps the record until the daemon ends.
pub async fn run(daemon: Rc<Daemon>) {
    if !daemon.ports.objects.has_lists() {
        return;
    }
    let record = &daemon.version_record;
    record.is_kept.set(true);
    let reads = record
        .reads
        .serve(|| read_pause(&daemon), || read_for_requests(&daemon));
    futures::future::join(reads, follow(&daemon)).await;
}

/// Pause between two reads for requests, so that all daemons keep below the limit.
fn read_pause(daemon: &Daemon) -> Duration {
    let members = daemon.membership.live().members.len();
    let fair = Duration::from_secs_f64(members as f64 / FLEET_READS_PER_S);
    fair.max(MIN_READ_PAUSE)
}

async fn read_for_requests(daemon: &Rc<Daemon>) {
    let read = read(daemon).await;
    if let Err(e) = &read {
        log::info!(why:% = e; "the versions in use can't be read for a stream to resume");
    }
    let read = read.ok().map(|(read, _)| read);
    daemon.version_record.last_read.replace(read);
}

async fn follow(daemon: &Rc<Daemon>) {
    let record = &daemon.version_record;
    let mut backoff = Backoff::new(BASE_BACKOFF, MAX_BACKOFF);
    loop {
        // A timeout only means that nothing has changed.
        let _ = monoio::time::timeout(CHECK_INTERVAL, record.changed.changed()).await;
        record.check_limit(daemon);
        let Some(needed) = needed(daemon) else {
            continue;
        };
        let now = Instant::now();
        let has_expired = record.note_unneeded(daemon, &needed, now) && rank(daemon) == Some(0);
        let is_recorded = record.known.borrow().contains_all(&needed);
        let era = daemon.platform_contact.latest_era.get();
        let is_present = record.known.borrow().era() == era;
        let is_recent = record
            .read_at
            .get()
            .is_some_and(|at| at.elapsed() < REREAD_INTERVAL);
        if is_recorded && is_present && is_recent && !has_expired {
            continue;
        }
        if rank(daemon).is_none() {
            monoio::time::sleep(WRITER_HEADSTART).await;
        }
        match synchronise(daemon, &needed, has_expired).await {
            Ok(recorded) => {
                backoff.reset();
                record.read_at.set(Some(Instant::now()));
                record.adopt(daemon, recorded);
            }
            Err(e) => {
                log::warn!(why:% = e; "failed to record the versions in use");
                monoio::time::sleep(backoff.next_wait()).await;
                record.notify();
            }
        }
    }
}

fn has_current_list(daemon: &Daemon) -> bool {
    let age = daemon.live_list.freshness.age(MonoioClock.boot_time());
    age.is_some_and(|age| age < MAX_LIST_AGE)
}

/// What has to be recorded; `None` before the configuration and a list are known.
fn needed(daemon: &Daemon) -> Option<VersionsInUse> {
    let in_force = daemon.in_force().ok()?;
    let listing = daemon.live_list.listing();
    if listing.revision.number == 0 {
        return None;
    }
    let listed = listing.all();
    let listed = listed.map(|(pool, target)| (pool.clone(), VersionDigest::of(target)));
    Some(VersionsInUse::needed(&in_force.stream_routes, listed))
}

/// Position of this daemon among those that write at once; `None` if it is none of them.
fn rank(daemon: &Daemon) -> Option<usize> {
    let live = daemon.membership.live();
    let vms = live.members.iter().map(|member| &member.vm);
    let writers: Vec<&VmId> = rendezvous::top(DUTY, vms, WRITER_COUNT);
    writers.iter().position(|vm| **vm == daemon.cfg.vm)
}

/// Adds what is needed to the record, and removes what no longer is; returns the record.
async fn synchronise(
    daemon: &Rc<Daemon>,
    needed: &VersionsInUse,
    may_remove: bool,
) -> Result<VersionsInUse> {
    for _ in 0..MAX_CONFLICTS {
        let (read, expect) = read(daemon).await?;
        let mut record = read.clone();
        if may_remove {
            let unneeded = daemon.version_record.unneeded.borrow();
            unneeded.remove_expired(&mut record, Instant::now());
        }
        if !record.add(needed) {
            log::error!("the list names too many software versions to record them");
            return Ok(record);
        }
        if record == read && expect.is_current {
            return Ok(record);
        }
        let value = serde_json::to_vec(&record).map_err(|_| Error::Unknown)?;
        let objects = &daemon.ports.objects;
        let written = objects
            .write(daemon, KEY, value.into(), expect.expect)
            .await;
        match written {
            Ok(()) => {
                log::info!(era = record.era(), record:? = record; "recorded the versions in use");
                return Ok(record);
            }
            Err(Error::Conflict { .. }) => {}
            Err(e) => return Err(e),
        }
    }
    Err(Error::Conflict { current: None })
}

/// Condition of the next write.
struct Condition {
    expect: Expect,
    /// Whether the object holds what was read, in this era of the store.
    is_current: bool,
}

async fn read(daemon: &Rc<Daemon>) -> Result<(VersionsInUse, Condition)> {
    let found = daemon.ports.objects.read(daemon, KEY).await?;
    let latest = daemon.platform_contact.latest_era.get();
    let era = found.as_ref().map_or(latest, |found| found.version.era);
    let expect = found
        .as_ref()
        .map_or(Expect::Absent, |found| Expect::Version(found.version));
    let stored = found.as_ref().and_then(|found| {
        let decoded = serde_json::from_slice::<VersionsInUse>(&found.value);
        decoded
            .inspect_err(|e| log::warn!(why:% = e; "failed to decode the versions in use"))
            .ok()
    });
    let is_current = stored.as_ref().is_some_and(|stored| stored.era() == era);
    let read = VersionsInUse::read(stored, era, found.is_none());
    Ok((read, Condition { expect, is_current }))
}
