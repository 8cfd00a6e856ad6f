//! Synchronizes quarantines with their record in the platform's store.
//!
//! The record carries quarantines across a restart of the whole fleet and across partitions. It is
//! only read when a crash is observed, so it costs no calls otherwise.

use std::rc::Rc;
use std::time::Duration;

use lilaccrank::advisories::record::QuarantineRecord;
use lilaccrank::backoff::Backoff;
use lilaccrank::clock::Clock;
use lilaccrank::ids::VmId;
use lilaccrank::rendezvous;
use lilaccrank::store::{Error, Expect, Result, Versioned};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;

/// Key of the record in the store.
const KEY: &str = "quarantines/recent";
/// Rendezvous key of the duty to synchronize the record.
const DUTY: &str = "quarantine-record";
/// Number of daemons with that duty. The store may reject one of them.
const WRITER_COUNT: usize = 2;
/// Shortest time between two reads of the record.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the first and of any wait after a failed call.
const BASE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Runs until the daemon ends.
pub async fn run(daemon: Rc<Daemon>) {
    loop {
        daemon.advisories.crashes().changed().await;
        if !is_writer(&daemon) {
            continue;
        }
        let mut backoff = Backoff::new(BASE_BACKOFF, MAX_BACKOFF);
        while let Err(e) = synchronise(&daemon).await {
            log::warn!(why:% = e; "failed to synchronize the quarantine record");
            monoio::time::sleep(backoff.next_wait()).await;
            if !is_writer(&daemon) || !daemon.advisories.has_crashes() {
                break;
            }
        }
        monoio::time::sleep(MIN_SYNC_INTERVAL).await;
    }
}

fn is_writer(daemon: &Daemon) -> bool {
    let live = daemon.membership.live();
    let vms = live.members.iter().map(|member| &member.vm);
    let writers: Vec<&VmId> = rendezvous::top(DUTY, vms, WRITER_COUNT);
    writers.contains(&&daemon.cfg.vm)
}

/// Merges the record and adds the quarantines that it lacks.
async fn synchronise(daemon: &Rc<Daemon>) -> Result<()> {
    let found = daemon.ports.objects.read(daemon, KEY).await?;
    let expect = found
        .as_ref()
        .map_or(Expect::Absent, |found| Expect::Version(found.version));
    let mut record = found.as_ref().map(read).unwrap_or_default();
    let now = MonoioClock.wall_time();
    let recorded: Vec<_> = record.current(now).collect();
    daemon
        .advisories
        .merge_stored(&recorded, &daemon.load_exchange);
    let mut missing = daemon.advisories.quarantined();
    missing.retain(|(content, _)| recorded.iter().all(|(known, _)| known != content));
    if missing.is_empty() {
        return Ok(());
    }
    record.add(&missing, now);
    let value = serde_json::to_vec(&record).map_err(|_| Error::Unknown)?;
    daemon
        .ports
        .objects
        .write(daemon, KEY, value.into(), expect)
        .await
}

/// Decodes the record. One that can't be decoded is replaced by the next write.
fn read(found: &Versioned) -> QuarantineRecord {
    serde_json::from_slice(&found.value).unwrap_or_else(|e| {
        log::warn!(why:% = e; "failed to decode the quarantine record");
        QuarantineRecord::default()
    })
}
