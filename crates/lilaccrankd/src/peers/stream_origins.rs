//! Exchanges records of where streams began, so that callers can resume them at any daemon.
//!
//! Records are sent in datagrams on the socket of the load exchange. A lost one costs a copy, not
//! correctness: a stream whose origin no daemon that is asked knows is not resumed.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future;
use lilaccrank::ids::{PoolId, VmId};
use lilaccrank::peers::Peers;
use lilaccrank::request_key::Ranking;
use lilaccrank::software_version::{Origin, VersionDigest};
use lilaccrank::stream_origins::{
    COPIES, MissLimit, Outbox, Record, RecordedOrigin, StreamId, StreamOrigins,
};
use lilaccrank_http::timeout;
use monoio::net::udp::UdpSocket;
use serde::{Deserialize, Serialize};

use crate::daemon::Daemon;
use crate::peers::change_signal::ChangeSignal;
use crate::peers::duties;
use crate::peers::stored_origins::StoredOrigins;
use crate::targets::live_list::LiveList;

/// First byte of a datagram with records. MessagePack does not use it, so no load update begins
/// with it.
pub const MARKER: u8 = 0xc1;
/// Records in one datagram, which has to fit into an Ethernet frame.
const RECORDS_PER_DATAGRAM: usize = 24;
/// Delay before records are sent, so that the event that brought them goes to its caller first.
const SEND_DELAY: Duration = Duration::from_millis(2);
/// Interval at which expired records are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a daemon to answer a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Daemons that are asked for a record: its owners, and those that take over from them.
const ASKED: usize = COPIES + 1;
/// Delay before they are asked once more, if one of them did not reply.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time for the platform's store to say where a stream began.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of requests of this daemon that may wait for a record. Callers choose what they ask for.
const MAX_LOOKUPS: usize = 64;

/// Time after the first event of a stream in which the list may still name another version for its
/// target, which had started again before.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Number of recent streams that are checked against newer lists.
const MAX_RECENT: usize = 4_096;

/// Asks a daemon where a stream began.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OriginRequest {
    /// The stream.
    pub id: StreamId,
}

/// Reply to an [`OriginRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OriginReply {
    /// Where it began; `None` without a record.
    pub origin: Option<RecordedOrigin>,
}

/// Records of streams on one daemon.
#[derive(Default)]
pub struct OriginExchange {
    changed: ChangeSignal,
    lookups: Cell<usize>,
    misses: RefCell<MissLimit>,
    recent: RefCell<VecDeque<Recent>>,
    records: RefCell<StreamOrigins>,
    /// Records in the platform's store.
    pub stored: StoredOrigins,
}

/// What tells where a stream began.
#[derive(Clone, Debug)]
pub enum Found {
    /// The record of a daemon.
    Record(RecordedOrigin),
    /// Records in the platform's store.
    Stored(Vec<RecordedOrigin>),
    /// One version has begun all streams of the pool.
    OnlyVersion(VersionDigest),
}

impl Found {
    /// Where the stream began, by a list that may be newer than the records.
    #[must_use]
    pub fn origin(&self, pool: &str, list: &LiveList) -> Origin {
        match self {
            Self::Record(record) => list.origin(pool, *record),
            Self::Stored(records) => {
                let origins = records.iter().map(|record| list.origin(pool, *record));
                let agree = |a: Origin, b: Origin| if a == b { a } else { Origin::Unknown };
                origins.reduce(agree).unwrap_or(Origin::Unknown)
            }
            Self::OnlyVersion(version) => Origin::At(*version),
        }
    }

    /// The source, for the log.
    #[must_use]
    pub fn source(&self) -> &'static str {
        match self {
            Self::Record(_) => "record of a daemon",
            Self::Stored(_) => "record from the store",
            Self::OnlyVersion(_) => "one version in use",
        }
    }
}

/// A stream that this daemon has just begun or resumed.
struct Recent {
    at: Instant,
    pool: PoolId,
    record: Record,
}

/// Counts a request that waits for a record until it is dropped.
struct Lookup<'a>(&'a Cell<usize>);

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl OriginExchange {
    /// Records a stream that a target of `pool` begins or resumes for this daemon, and sends the record
    /// to its owners.
    pub fn record_stream(&self, pool: &PoolId, record: Record) {
        self.record(record);
        let now = Instant::now();
        let mut recent = self.recent.borrow_mut();
        while recent
            .front()
            .is_some_and(|first| recent.len() >= MAX_RECENT || now - first.at >= LIST_LAG)
        {
            recent.pop_front();
        }
        recent.push_back(Recent {
            at: now,
            pool: pool.clone(),
            record,
        });
    }

    /// Contradicts the recent streams whose targets have other versions by a newer list: the processes
    /// that wrote their events may have had them before the list said so.
    pub fn check_versions(&self, list: &LiveList) {
        let now = Instant::now();
        let mut recent = self.recent.borrow_mut();
        recent.retain(|recent| now - recent.at < LIST_LAG);
        let is_contradicted =
            |recent: &&Recent| list.origin(&recent.pool, recent.record.origin) == Origin::Unknown;
        for recent in recent.iter().filter(is_contradicted) {
            self.record(Record {
                origin: recent.record.origin.contradicted(),
                ..recent.record
            });
        }
    }

    fn record(&self, record: Record) {
        let is_changed = self.records.borrow_mut().insert_own(record, Instant::now());
        if is_changed {
            self.stored.push(record);
        }
        if self.find(record.id).is_none() {
            log::warn!("no room for the record of a stream, which can't be resumed elsewhere");
        }
        self.changed.notify();
    }

    /// Notes that the members have changed.
    pub fn members_changed(&self) {
        self.changed.notify();
    }

    /// Answers another daemon.
    pub fn answer(&self, req: OriginRequest) -> OriginReply {
        OriginReply {
            origin: self.find(req.id),
        }
    }

    fn find(&self, id: StreamId) -> Option<RecordedOrigin> {
        self.records.borrow().find(id, Instant::now())
    }

    fn lookup(&self, customer: &str) -> Option<Lookup<'_>> {
        let count = self.lookups.get();
        let may_ask = self.misses.borrow().allows(customer, Instant::now());
        (may_ask && count < MAX_LOOKUPS).then(|| {
            self.lookups.set(count + 1);
            Lookup(&self.lookups)
        })
    }
}

/// Returns what tells where a stream of a customer began; `None` if nothing does. The stream is one of this
/// pool, and has no id if its caller does not name it.
pub async fn find(
    daemon: &Daemon,
    customer: &str,
    pool: &PoolId,
    id: Option<StreamId>,
) -> Option<Found> {
    let exchange = &daemon.origins;
    if let Some(found) = id.and_then(|id| exchange.find(id)) {
        return Some(Found::Record(found));
    }
    let Some(_lookup) = exchange.lookup(customer) else {
        log::info!(customer = customer; "not asked where a stream began: too many queries");
        return None;
    };
    let found = match id {
        Some(id) => find_record(daemon, id).await,
        None => None,
    };
    if found.is_some() {
        return found.map(Found::Record);
    }
    let found = timeout::timeout(STORE_TIMEOUT, find_in_store(daemon, pool, id)).await;
    let found = found.unwrap_or_else(|_| {
        log::info!("the store did not say within {STORE_TIMEOUT:?} where a stream began");
        None
    });
    if found.is_none() {
        let mut misses = exchange.misses.borrow_mut();
        misses.record(customer, Instant::now());
    }
    found
}

/// Asks the owners of a record, and once more if one of them did not reply.
async fn find_record(daemon: &Daemon, id: StreamId) -> Option<RecordedOrigin> {
    let (mut found, all_replied) = ask_owners(daemon, id).await;
    if found.is_none() && !all_replied {
        monoio::time::sleep(RETRY_DELAY).await;
        (found, _) = ask_owners(daemon, id).await;
    }
    found.or_else(|| daemon.origins.find(id))
}

/// Returns what the platform's store tells. A record goes before the versions in use.
async fn find_in_store(daemon: &Daemon, pool: &PoolId, id: Option<StreamId>) -> Option<Found> {
    let stored = &daemon.origins.stored;
    let found = id.map(|id| stored.find(id)).unwrap_or_default();
    if !found.is_empty() {
        return Some(Found::Stored(found));
    }
    if let Some(version) = daemon.version_record.only_version(daemon, pool).await {
        return Some(Found::OnlyVersion(version));
    }
    let found = stored.read(id?).await;
    (!found.is_empty()).then_some(Found::Stored(found))
}

/// Asks the owners of a record for it. Also returns whether all of them replied.
async fn ask_owners(daemon: &Daemon, id: StreamId) -> (Option<RecordedOrigin>, bool) {
    let live = daemon.membership.live();
    let vms = live.members.iter().map(|member| &member.vm);
    let owners = id.owners(vms, ASKED).into_iter();
    let others = owners.filter(|vm| **vm != daemon.cfg.vm);
    let replies = future::join_all(others.map(|vm| ask(daemon, vm, id))).await;
    let all_replied = replies.iter().all(Option::is_some);
    let found = replies
        .into_iter()
        .flatten()
        .filter_map(|reply| reply.origin);
    (found.reduce(RecordedOrigin::merge), all_replied)
}

async fn ask(daemon: &Daemon, vm: &VmId, id: StreamId) -> Option<OriginReply> {
    let asked = daemon.peers.call(vm, OriginRequest { id });
    let why = match timeout::timeout(QUERY_TIMEOUT, asked).await {
        Ok(Ok(reply)) => return Some(reply),
        Ok(Err(e)) => e.to_string(),
        Err(_) => format!("no reply within {QUERY_TIMEOUT:?}"),
    };
    log::info!(peer = vm, why = why; "asked in vain where a stream began");
    None
}

/// Sends records to their owners until the daemon ends.
pub async fn run(daemon: Rc<Daemon>, socket: Rc<UdpSocket>) {
    let mut seen = None;
    let mut expired_at = Instant::now();
    loop {
        // A timeout only means that nothing has changed.
        let _ = monoio::time::timeout(EXPIRE_INTERVAL, daemon.origins.changed.changed()).await;
        monoio::time::sleep(SEND_DELAY).await;
        let now = Instant::now();
        if now - expired_at >= EXPIRE_INTERVAL {
            daemon.origins.records.borrow_mut().expire(now);
            expired_at = now;
        }
        let live = daemon.membership.live();
        if seen.replace(live.version) != Some(live.version) {
            let members = live.members.iter().map(duties::member_ref).collect();
            let moved = daemon
                .origins
                .records
                .borrow_mut()
                .set_members(members, now);
            send(&daemon, &socket, moved).await;
        }
        let unsent = daemon.origins.records.borrow_mut().take_unsent(now);
        send(&daemon, &socket, unsent).await;
    }
}

async fn send(daemon: &Daemon, socket: &UdpSocket, outbox: Outbox) {
    let me = daemon.duties.me();
    for (owner, records) in outbox.iter().filter(|(owner, _)| ***owner != me) {
        let member = daemon.membership.find(&owner.vm);
        let Some(member) = member.filter(|member| member.incarnation == owner.incarnation) else {
            continue;
        };
        for records in records.chunks(RECORDS_PER_DATAGRAM) {
            send_datagram(daemon, socket, member.peers, records).await;
        }
    }
}

async fn send_datagram(
    daemon: &Daemon,
    socket: &UdpSocket,
    address: SocketAddr,
    records: &[Record],
) {
    let mut buf = vec![MARKER];
    if let Err(e) = rmp_serde::encode::write(&mut buf, records) {
        return log::error!("failed to encode records of streams: {e}");
    }
    let (sent, _) = socket.send_to(buf, address).await;
    match sent {
        Ok(sent) => {
            let tally = &daemon.traffic.stream_origins;
            tally.count_sent_bytes(sent);
            tally.count_sent_messages(1);
        }
        Err(e) => log::debug!("failed to send records of streams to {address}: {e}"),
    }
}

/// Takes over the records in a datagram of a member, without its first byte.
pub fn receive(daemon: &Daemon, datagram: &[u8]) {
    let tally = &daemon.traffic.stream_origins;
    tally.count_received_bytes(datagram.len() + 1);
    tally.count_received_messages(1);
    let records: Vec<Record> = match rmp_serde::from_slice(datagram) {
        Ok(records) => records,
        Err(e) => return log::debug!("ignored records of streams: {e}"),
    };
    let now = Instant::now();
    let mut known = daemon.origins.records.borrow_mut();
    for record in records {
        known.insert_copy(record, now);
    }
}
