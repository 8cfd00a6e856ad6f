//! Daemons that each dispatch their own requests tell each other what they have on the targets.
//!
//! One datagram to each peer after each change, no more often than the number of peers allows:
//! all daemons together then send as many in a second whatever their number. A lost one is made
//! good by the next.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use indexmap::IndexMap;
use lilaccrank::dispatch::sharing::Digest;
use lilaccrank::ids::{CustomerId, Incarnation, PoolId, VmId};
use lilaccrank::quota::Spent;
use lilaccrank::request_key::Ranking;
use lilaccrank_http::tally::Tally;
use monoio::net::udp::UdpSocket;
use serde::{Deserialize, Serialize};

use crate::daemon::Daemon;
use crate::pools::server;

/// Longest time between two datagrams: peers forget who is silent for six times as long.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Shortest time between two datagrams. Some sixty requests a second in all make three changes
/// each, so that most changes are told at once.
const LEAST: Duration = Duration::from_millis(10);
/// What each peer adds to that time. With 75 daemons a change is told within a tenth of a second,
/// and a daemon sends and receives some eight hundred datagrams a second each.
const FOR_EACH_PEER: Duration = Duration::from_millis(1);
/// Room for one datagram. A daemon's own requests on fifty targets take two kilobytes.
const BUFFER: usize = 16 << 10;

/// What one daemon tells.
#[derive(Debug, Deserialize, Serialize)]
struct Message {
    incarnation: Incarnation,
    /// Whether its sender is about to end, and spends nothing more.
    ending: bool,
    pools: Vec<(PoolId, Digest)>,
    /// Grows with each message of one life.
    sequence: u64,
    /// What its sender let pass of customers with quotas.
    spent: Vec<(CustomerId, Spent)>,
    vm: VmId,
}

/// The exchange of one daemon.
#[derive(Default)]
pub struct LoadExchange {
    changed: Event,
    /// The last message of each peer: datagrams may come out of order.
    heard: RefCell<IndexMap<VmId, (Incarnation, u64)>>,
}

impl LoadExchange {
    /// What this daemon has on targets is another than before.
    pub fn note_change(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Whether a message is newer than the last one of its sender.
    fn is_new(&self, message: &Message) -> bool {
        let place = (message.incarnation, message.sequence);
        let mut heard = self.heard.borrow_mut();
        let last = heard.get(&message.vm);
        if last.is_some_and(|last| place <= *last) {
            return false;
        }
        heard.insert(message.vm.clone(), place);
        true
    }
}

/// Binds the socket of the exchange.
///
/// # Errors
///
/// If the address is taken.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address)
}

/// Tells and hears for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    monoio::spawn(hear(Rc::clone(&daemon), Rc::clone(&socket)));
    let mut sequence = 0;
    loop {
        let changed = daemon.load_exchange.changed.listen();
        let _ = monoio::time::timeout(HEARTBEAT, changed).await;
        daemon.quotas.look();
        if !is_needed(&daemon) {
            continue;
        }
        let peers = peers(&daemon);
        sequence += 1;
        tell(&daemon, &socket, sequence, &peers).await;
        let count = u32::try_from(peers.len()).unwrap_or(u32::MAX);
        monoio::time::sleep(LEAST + FOR_EACH_PEER * count).await;
    }
}

/// Whether there is anything that all daemons have to know of each other at once.
fn is_needed(daemon: &Daemon) -> bool {
    let has_quotas = daemon.in_force().is_ok_and(|in_force| in_force.has_quotas);
    daemon.duties.is_dispatch_local() || has_quotas
}

fn peers(daemon: &Daemon) -> Vec<SocketAddr> {
    let me = daemon.duties.me().vm;
    let live = daemon.membership.live();
    let others = live.members.iter().filter(|member| member.vm != me);
    others.map(|member| member.peers).collect()
}

async fn tell(daemon: &Daemon, socket: &UdpSocket, sequence: u64, peers: &[SocketAddr]) {
    let me = daemon.duties.me();
    let message = Message {
        incarnation: me.incarnation,
        ending: daemon.refusing.get(),
        pools: match daemon.duties.is_dispatch_local() {
            true => server::digests(daemon),
            false => Vec::new(),
        },
        sequence,
        spent: daemon.quotas.spent(),
        vm: me.vm,
    };
    let buf = match rmp_serde::to_vec(&message) {
        Ok(buf) => buf,
        Err(e) => return log::error!("the load can't be told: {e}"),
    };
    let tally = &daemon.traffic.load_exchange;
    for peer in peers {
        let (sent, _) = socket.send_to(buf.clone(), *peer).await;
        match sent {
            Ok(sent) => count(tally, sent),
            Err(e) => log::debug!("the load was not told to {peer}: {e}"),
        }
    }
}

fn count(tally: &Tally, sent: usize) {
    tally.send_bytes(sent);
    tally.send_messages(1);
}

async fn hear(daemon: Rc<Daemon>, socket: Rc<UdpSocket>) {
    loop {
        let (received, mut buf) = socket.recv_from(vec![0; BUFFER]).await;
        let len = match received {
            Ok((len, _)) => len,
            Err(e) => {
                log::debug!("a peer's load was not received: {e}");
                continue;
            }
        };
        buf.truncate(len);
        daemon.traffic.load_exchange.receive_bytes(len);
        daemon.traffic.load_exchange.receive_messages(1);
        match rmp_serde::from_slice::<Message>(&buf) {
            Ok(message) => take(&daemon, message),
            Err(e) => log::warn!("a peer's load can't be read: {e}"),
        }
    }
}

fn take(daemon: &Rc<Daemon>, message: Message) {
    if !daemon.load_exchange.is_new(&message) {
        return;
    }
    let Message { vm, spent, .. } = &message;
    daemon.quotas.heard(vm, message.incarnation, spent);
    if message.ending {
        daemon.quotas.left(vm);
    }
    for (pool, digest) in message.pools {
        server::take_digest(daemon, &pool, &message.vm, digest);
    }
}
