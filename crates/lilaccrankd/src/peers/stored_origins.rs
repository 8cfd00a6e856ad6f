//! Writes where streams began to the platform's store while several software versions may have begun them,
//! and reads it after a restart of all daemons.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::backoff::Backoff;
use lilaccrank::store::{Error, Expect, Result};
use lilaccrank::stream_origins::{
    Outcome, ReadRecords, Record, RecordLog, RecordedOrigin, StoredRecords, StreamId, Write,
};

use crate::daemon::Daemon;
use crate::peers::change_signal::ChangeSignal;
use crate::peers::fresh_reads::FreshReads;

/// Kind of the objects in the store.
const KIND: &str = "stream-origins";
/// Shortest time between two writes of one daemon.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// Writes a second of all daemons.
const FLEET_WRITES_PER_S: f64 = 250.0;
/// Pause between two reads.
const READ_PAUSE: Duration = Duration::from_secs(2);
/// Time between two checks of the era of the store.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the first and of any wait after a failed call.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Records of streams in the store.
#[derive(Default)]
pub struct StoredOrigins {
    changed: ChangeSignal,
    /// Set once the platform's store has been found to keep records.
    is_kept: Cell<bool>,
    log: RefCell<RecordLog>,
    read: RefCell<ReadRecords>,
    /// When the last read that succeeded began.
    read_at: Cell<Option<Instant>>,
    reads: FreshReads,
}

impl StoredOrigins {
    /// Adds a record of a stream that this daemon begins or resumes.
    pub fn push(&self, record: Record) {
        if self.is_kept.get() {
            self.log.borrow_mut().push(record, Instant::now());
            self.changed.notify();
        }
    }

    /// Notes that it may have changed whether records have to be written.
    pub fn notify(&self) {
        self.changed.notify();
    }

    /// Returns what the records that were read say of a stream; nothing without one.
    #[must_use]
    pub fn find(&self, id: StreamId) -> Vec<RecordedOrigin> {
        self.read.borrow().find(id, Instant::now()).to_vec()
    }

    /// Returns what the store's records say of a stream. Reads them unless that was done just before.
    pub async fn read(&self, id: StreamId) -> Vec<RecordedOrigin> {
        let read_at = self.read_at.get();
        let is_recent = read_at.is_some_and(|at| at.elapsed() < READ_PAUSE);
        if self.is_kept.get() && !is_recent {
            self.reads.next().await;
        }
        self.find(id)
    }
}

/// Reads and writes until the daemon ends.
pub async fn run(daemon: Rc<Daemon>) {
    if !daemon.ports.objects.has_lists() {
        return;
    }
    let stored = &daemon.origins.stored;
    stored.is_kept.set(true);
    let reads = stored.reads.serve(|| READ_PAUSE, || read_all(&daemon));
    futures::future::join(reads, write_all(&daemon)).await;
}

/// Reads the records of all daemons. The first read is tried again until the store answers.
async fn read_all(daemon: &Rc<Daemon>) {
    let stored = &daemon.origins.stored;
    let mut backoff = Backoff::new(BASE_BACKOFF, MAX_BACKOFF);
    loop {
        let began_at = Instant::now();
        match try_read_all(daemon).await {
            Ok(()) => return stored.read_at.set(Some(began_at)),
            Err(e) => log::warn!(why:% = e; "failed to read where streams began"),
        }
        if stored.read_at.get().is_some() {
            return;
        }
        monoio::time::sleep(backoff.next_wait()).await;
    }
}

async fn try_read_all(daemon: &Rc<Daemon>) -> Result<()> {
    let listed = daemon.ports.objects.list(daemon, KIND).await?;
    let now = Instant::now();
    let own = format!("{}.", daemon.cfg.vm);
    let stored = &daemon.origins.stored;
    let mut objects = Vec::new();
    for object in listed.objects {
        let records = match serde_json::from_value::<StoredRecords>(object.value) {
            Ok(records) => records,
            Err(e) => {
                log::warn!(name = object.name, why:% = e; "failed to decode where streams began");
                continue;
            }
        };
        let slot = object.name.strip_prefix(&own);
        if let Some(slot) = slot.and_then(|slot| slot.parse().ok()) {
            stored.log.borrow_mut().occupy(slot, records.ttl(), now);
        }
        objects.push(records);
    }
    let read = ReadRecords::new(&objects, listed.era, now);
    log::info!(objects = objects.len(), era = listed.era, streams = read.len(); "read where streams began");
    stored.read.replace(read);
    Ok(())
}

async fn write_all(daemon: &Rc<Daemon>) {
    let stored = &daemon.origins.stored;
    // What an earlier process wrote must not be overwritten.
    stored.reads.next().await;
    let mut backoff = Backoff::new(BASE_BACKOFF, MAX_BACKOFF);
    loop {
        // A timeout only means that nothing was added.
        let _ = monoio::time::timeout(CHECK_INTERVAL, stored.changed.changed()).await;
        while daemon.version_record.has_several_versions(daemon) {
            let era = daemon.platform_contact.latest_era.get();
            let write = stored.log.borrow_mut().next_write(era, Instant::now());
            let Some(write) = write else {
                break;
            };
            let outcome = write_one(daemon, &write).await;
            stored.log.borrow_mut().note(&write, outcome);
            let pause = match outcome {
                Outcome::Done => {
                    backoff.reset();
                    Duration::ZERO
                }
                Outcome::Exists => Duration::ZERO,
                Outcome::NotDone | Outcome::Unknown => backoff.next_wait(),
            };
            monoio::time::sleep(pause.max(write_interval(daemon))).await;
        }
    }
}

/// Interval at which each daemon writes, so that all of them keep below the limit.
fn write_interval(daemon: &Daemon) -> Duration {
    let members = daemon.membership.live().members.len();
    let fair = Duration::from_secs_f64(members as f64 / FLEET_WRITES_PER_S);
    fair.max(MIN_WRITE_INTERVAL)
}

async fn write_one(daemon: &Rc<Daemon>, write: &Write) -> Outcome {
    let key = format!("{KIND}/{}.{}", daemon.cfg.vm, write.slot);
    let expect = if write.is_new {
        Expect::Absent
    } else {
        Expect::Any
    };
    let Ok(value) = serde_json::to_vec(&write.records) else {
        return Outcome::NotDone;
    };
    let written = daemon
        .ports
        .objects
        .write(daemon, &key, value.into(), expect);
    match written.await {
        Ok(()) => Outcome::Done,
        Err(Error::Conflict { .. }) if write.is_new => Outcome::Exists,
        Err(e) => {
            log::warn!(why:% = e; "failed to write where streams began");
            match e {
                Error::Unknown => Outcome::Unknown,
                _ => Outcome::NotDone,
            }
        }
    }
}
