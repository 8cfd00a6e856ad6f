//! Exchanges load between daemons that each dispatch their own requests.
//!
//! Daemons of one cell send each other what has changed: at once if it affects where the others
//! send requests, otherwise batched for a short time. All other daemons only need the demand of
//! customers on the cell. One daemon of each cell reports it, at an interval that grows with the
//! number of cells; a daemon at which it rises fast does so at once. A lost datagram is made up for by the next one.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future;
use futures::pin_mut;
use indexmap::IndexMap;
use lilaccrank::dispatch::sharing::Digest;
use lilaccrank::ids::{CustomerId, Incarnation, PoolId, VmId};
use lilaccrank::membership::{Member, Membership};
use lilaccrank::quota::{CellDemand, Spent};
use lilaccrank::request_key::Ranking;
use lilaccrank_http::runtime;
use lilaccrank_http::tally::Tally;
use monoio::net::udp::UdpSocket;

use crate::daemon::Daemon;
use crate::peers::change_signal::ChangeSignal;
use crate::peers::load_message::{self, LoadMessage};
use crate::peers::stream_origins;
use crate::pools::server;

/// Longest time between two datagrams. Peers drop the load of a daemon that is silent for six times
/// as long.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// How long changes are batched that affect no decision: while targets have capacity, daemons with
/// a slightly older view choose the same targets as the others.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between two datagrams. Some sixty requests a second in all make three changes
/// each, so that most changes are sent at once.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Added to that time for each peer of the cell. A cell has at most fifteen peers, so a change is
/// sent within 25 ms.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// Shortest time between two reports of a cell's demand to all daemons.
const MIN_CELL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of these reports per cell. With many cells, a daemon receives some fifteen reports a
/// second.
const INTERVAL_PER_CELL: Duration = Duration::from_millis(64);
/// Largest datagram. A daemon's own requests on fifty targets take two kilobytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// State of the load exchange of one daemon.
#[derive(Default)]
pub struct LoadExchange {
    /// Changes that may be batched.
    deferrable: ChangeSignal,
    /// Incarnation and sequence number of the last message of each peer, since datagrams may be
    /// reordered.
    last_received: RefCell<IndexMap<VmId, (Incarnation, u64)>>,
    /// Members by the addresses of their datagrams, at a version of the membership.
    members: RefCell<(u64, IndexMap<SocketAddr, Member>)>,
    /// Number of messages that this daemon has built.
    sequence: Cell<u64>,
    /// Changes that are sent at once.
    urgent: ChangeSignal,
}

impl LoadExchange {
    /// Records a change of this daemon's load on targets, or of what it admitted. A change
    /// `is_urgent` if others would decide otherwise if they knew.
    pub fn note_change(&self, is_urgent: bool) {
        if is_urgent {
            self.urgent.notify();
        } else {
            self.deferrable.notify();
        }
    }

    /// Completes once there is a change to send.
    async fn changed(&self) {
        let urgent = self.urgent.changed();
        let deferrable = async {
            self.deferrable.changed().await;
            monoio::time::sleep(BATCH_DELAY).await;
        };
        pin_mut!(urgent, deferrable);
        future::select(urgent, deferrable).await;
    }

    /// The member whose datagrams come from this address. If a later VM reuses the address of one
    /// that has ended, it is the later one.
    fn member(&self, membership: &Membership, from: SocketAddr) -> Option<Member> {
        let version = membership.version();
        let mut members = self.members.borrow_mut();
        if members.0 != version {
            let mut all = membership.all();
            all.sort_by_key(|member| member.incarnation);
            let by_address = all.into_iter().map(|member| (member.peers, member));
            *members = (version, by_address.collect());
        }
        members.1.get(&from).cloned()
    }

    /// Drops the sequence numbers of daemons that are no longer members.
    fn retain_members(&self, is_member: impl Fn(&VmId) -> bool) {
        self.last_received
            .borrow_mut()
            .retain(|vm, _| is_member(vm));
    }

    /// Returns `true` and records the message if it is newer than the last one of its sender.
    fn is_new(&self, vm: &VmId, message: &LoadMessage) -> bool {
        let position = (message.incarnation, message.sequence);
        let mut last_received = self.last_received.borrow_mut();
        let last = last_received.get(vm);
        if last.is_some_and(|last| position <= *last) {
            return false;
        }
        last_received.insert(vm.clone(), position);
        true
    }
}

/// Binds the socket of the exchange.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address)
}

/// Sends and receives load updates until the daemon ends.
pub async fn run(daemon: Rc<Daemon>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    runtime::spawn(receive(Rc::clone(&daemon), Rc::clone(&socket)));
    runtime::spawn(stream_origins::run(Rc::clone(&daemon), Rc::clone(&socket)));
    runtime::spawn(report_cell_demand(Rc::clone(&daemon), Rc::clone(&socket)));
    loop {
        let changed = daemon.load_exchange.changed();
        let _ = monoio::time::timeout(HEARTBEAT, changed).await;
        daemon.quotas.tick();
        server::apply_leaving(&daemon);
        server::apply_rate_limits(&daemon);
        server::apply_brittle(&daemon);
        server::apply_overflow(&daemon);
        if !is_needed(&daemon) {
            continue;
        }
        let (cell_peers, _) = peers(&daemon);
        let pools = match daemon.duties.is_dispatch_local() {
            true => server::digests(&daemon),
            false => Vec::new(),
        };
        let spent = daemon.quotas.report();
        send_update(&daemon, &socket, pools, spent, &cell_peers).await;
        if let Some(demand) = daemon.quotas.surge_demand() {
            send_cell_demand(&daemon, &socket, demand).await;
        }
        monoio::time::sleep(MIN_SEND_INTERVAL + INTERVAL_PER_PEER * count(&cell_peers)).await;
    }
}

/// Reports the demand on this cell to all daemons while this daemon represents the cell.
async fn report_cell_demand(daemon: Rc<Daemon>, socket: Rc<UdpSocket>) {
    loop {
        let cells = u32::from(server::cell(&daemon).id().count);
        let interval = MIN_CELL_INTERVAL.max(INTERVAL_PER_CELL * cells);
        daemon.quotas.set_report_interval(interval);
        let membership = &daemon.membership;
        daemon
            .load_exchange
            .retain_members(|vm| membership.find(vm).is_some());
        daemon.advisories.retain(|vm| membership.find(vm).is_some());
        monoio::time::sleep(interval).await;
        let cell = server::cell(&daemon);
        let me = &daemon.cfg.vm;
        if cell.id().count < 2 || cell.representative(me) != me || !is_needed(&daemon) {
            continue;
        }
        send_cell_demand(&daemon, &socket, daemon.quotas.cell_demand()).await;
    }
}

/// Sends the demand on this cell to all daemons.
async fn send_cell_demand(daemon: &Daemon, socket: &UdpSocket, demand: CellDemand<CustomerId>) {
    let (cell_peers, others) = peers(daemon);
    let rates = demand.rates.into_iter();
    let rates = rates.map(|(id, per_s)| (load_message::customer_digest(&id), per_s));
    let message = LoadMessage {
        cell_demand: Some(CellDemand {
            cell: demand.cell,
            members: demand.members,
            rates: rates.collect(),
        }),
        ..empty_message(daemon)
    };
    send(daemon, socket, &message, cell_peers.iter().chain(&others)).await;
}

fn count(peers: &[SocketAddr]) -> u32 {
    u32::try_from(peers.len()).unwrap_or(u32::MAX)
}

/// Returns `true` if daemons need each other's load or quota usage.
fn is_needed(daemon: &Daemon) -> bool {
    let has_quotas = daemon.in_force().is_ok_and(|in_force| in_force.has_quotas);
    daemon.duties.is_dispatch_local() || has_quotas
}

/// The other daemons of this cell, and all remaining ones. Where only one daemon dispatches a pool,
/// there are no cells and all daemons exchange quota usage.
fn peers(daemon: &Daemon) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let me = daemon.duties.me().vm;
    let live = daemon.membership.live();
    let others = live.members.iter().filter(|member| member.vm != me);
    let (cell_peers, rest): (Vec<&Member>, Vec<&Member>) =
        others.partition(|member| is_cell_peer(daemon, &member.vm));
    let addresses = |members: Vec<&Member>| members.iter().map(|member| member.peers).collect();
    (addresses(cell_peers), addresses(rest))
}

fn is_cell_peer(daemon: &Daemon, vm: &VmId) -> bool {
    !daemon.duties.is_dispatch_local() || server::cell(daemon).peers().contains(vm)
}

async fn send_update(
    daemon: &Daemon,
    socket: &UdpSocket,
    pools: Vec<(PoolId, Digest)>,
    spent: Vec<(CustomerId, Spent)>,
    peers: &[SocketAddr],
) {
    let message = LoadMessage {
        advisories: daemon.advisories.take_updates(),
        pools: pools
            .into_iter()
            .map(|(id, digest)| (load_message::pool_digest(&id), digest))
            .collect(),
        spent: spent
            .into_iter()
            .map(|(id, spent)| (load_message::customer_digest(&id), spent))
            .collect(),
        ..empty_message(daemon)
    };
    send(daemon, socket, &message, peers.iter()).await;
}

/// Returns the next message of this daemon, without content.
fn empty_message(daemon: &Daemon) -> LoadMessage {
    let sequence = daemon.load_exchange.sequence.get() + 1;
    daemon.load_exchange.sequence.set(sequence);
    LoadMessage {
        advisories: Vec::new(),
        cell_demand: None,
        ending: daemon.refusing.get(),
        incarnation: daemon.duties.me().incarnation,
        pools: Vec::new(),
        sequence,
        spent: Vec::new(),
    }
}

async fn send(
    daemon: &Daemon,
    socket: &UdpSocket,
    message: &LoadMessage,
    peers: impl Iterator<Item = &SocketAddr>,
) {
    let buf = match rmp_serde::to_vec(message) {
        Ok(buf) => buf,
        Err(e) => return log::error!("failed to encode the load update: {e}"),
    };
    let tally = &daemon.traffic.load_exchange;
    for peer in peers {
        let (sent, _) = socket.send_to(buf.clone(), *peer).await;
        match sent {
            Ok(sent) => note_sent(tally, sent),
            Err(e) => log::debug!("failed to send the load update to {peer}: {e}"),
        }
    }
}

fn note_sent(tally: &Tally, sent: usize) {
    tally.count_sent_bytes(sent);
    tally.count_sent_messages(1);
}

async fn receive(daemon: Rc<Daemon>, socket: Rc<UdpSocket>) {
    loop {
        runtime::checkpoint().await;
        let (received, mut buf) = socket.recv_from(vec![0; MAX_DATAGRAM_BYTES]).await;
        let (len, from) = match received {
            Ok(received) => received,
            Err(e) => {
                log::debug!("failed to receive a load update: {e}");
                continue;
            }
        };
        buf.truncate(len);
        let member = |from| daemon.load_exchange.member(&daemon.membership, from);
        if let [stream_origins::MARKER, records @ ..] = &buf[..] {
            match member(from) {
                Some(_) => stream_origins::receive(&daemon, records),
                None => log::debug!("ignored records of streams: no member has the address {from}"),
            }
            continue;
        }
        daemon.traffic.load_exchange.count_received_bytes(len);
        daemon.traffic.load_exchange.count_received_messages(1);
        match LoadMessage::read(&buf, from, member) {
            Ok((vm, message)) => apply(&daemon, &vm, message),
            Err(e) => log::debug!("ignored a load update: {e}"),
        }
    }
}

fn apply(daemon: &Rc<Daemon>, vm: &VmId, message: LoadMessage) {
    if !daemon.load_exchange.is_new(vm, &message) {
        return;
    }
    daemon.advisories.merge_update(&message.advisories);
    let Ok(in_force) = daemon.in_force() else {
        return;
    };
    if let Some(demand) = message.cell_demand {
        let rates = demand.rates.into_iter();
        let rates = rates.filter_map(|(id, per_s)| Some((in_force.customer(id)?.clone(), per_s)));
        daemon.quotas.merge_cell_demand(CellDemand {
            cell: demand.cell,
            members: demand.members,
            rates: rates.collect(),
        });
    }
    if is_cell_peer(daemon, vm) {
        let spent = message.spent.into_iter();
        let named = |(id, spent)| Some((in_force.customer(id)?.clone(), spent));
        let spent: Vec<_> = spent.filter_map(named).collect();
        daemon.quotas.merge_spent(vm, message.incarnation, &spent);
    }
    if message.ending {
        daemon.quotas.remove_peer(vm);
    }
    for (pool_digest, load) in message.pools {
        if let Some(pool) = in_force.pool(pool_digest) {
            server::apply_digest(daemon, pool, vm, load);
        }
    }
}
