//! The gossip task: receives messages, probes members, synchronises tables and watches suspects.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::mpsc;
use futures::{StreamExt, stream};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3;

use super::datagrams::{Datagram, Datagrams};
use super::member::{Member, State};
use super::message::{Body, Message};
use super::probe::{Pending, Probes};
use super::settings::Settings;
use super::table::Applied;
use super::{Command, Shared};
use crate::clock::Clock;
use crate::ids::VmId;

/// Number of seeds contacted immediately at start.
const SEEDS_AT_START: usize = 3;

/// The gossip task of one daemon; see [`Gossip::run`].
pub struct Gossip<C, D> {
    commands: mpsc::UnboundedReceiver<Command>,
    node: Node<C, D>,
}

pub(super) struct Node<C, D> {
    pub(super) cfg: Settings,
    pub(super) clock: C,
    datagrams: D,
    pub(super) probes: RefCell<Probes>,
    pub(super) rng: RefCell<StdRng>,
    pub(super) shared: Rc<Shared>,
}

impl<C: Clock, D: Datagrams> Gossip<C, D> {
    pub(super) fn new(
        cfg: Settings,
        clock: C,
        datagrams: D,
        shared: Rc<Shared>,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Self {
        let seed = {
            let table = shared.table.borrow();
            xxh3::xxh3_64_with_seed(table.me().vm.as_bytes(), table.me().incarnation)
        };
        let node = Node {
            cfg,
            clock,
            datagrams,
            probes: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            shared,
        };
        Self { commands, node }
    }

    /// Runs the gossip protocol until the future is dropped.
    pub async fn run(self) {
        let node = &self.node;
        let commands = self.commands.map(|command| node.handle_command(command));
        // At most one watch runs per member, so the table bounds their number.
        let watches = commands.for_each_concurrent(None, |watch| watch);
        futures::join!(
            node.receive(),
            node.probe_all(),
            node.synchronise(),
            watches
        );
    }
}

impl<C: Clock, D: Datagrams> Node<C, D> {
    async fn receive(&self) {
        loop {
            match self.datagrams.recv().await {
                Ok(datagram) => self.handle_datagram(datagram).await,
                Err(err) => {
                    log::warn!("membership: failed to receive a datagram: {err}");
                    self.clock.sleep(self.cfg.probe_timeout).await;
                }
            }
        }
    }

    async fn handle_datagram(&self, datagram: Datagram) {
        let message = match Message::decode(&datagram.bytes) {
            Ok(message) => message,
            Err(err) => {
                log::debug!(
                    "membership: ignored a datagram from {}: {err}",
                    datagram.from
                );
                return;
            }
        };
        let mut priority = self.apply_reports(message.updates).await;
        if self.is_suspect_or_dead(&message.from) {
            // A daemon that resumes after a freeze doesn't know that it was declared dead, and the
            // others no longer probe it. It learns of it from the replies to its own messages.
            priority.push(message.from);
        }
        self.handle_body(datagram.from, message.body, &priority)
            .await;
    }

    fn is_suspect_or_dead(&self, vm: &str) -> bool {
        let table = self.shared.table.borrow();
        table
            .get(vm)
            .is_some_and(|member| matches!(member.state, State::Dead | State::Suspect))
    }

    /// Applies reports to the table. Returns the members whose current record the sender needs
    /// because its own is out of date.
    async fn apply_reports(&self, reports: Vec<Member>) -> Vec<VmId> {
        let now = self.clock.now();
        let mut priority = Vec::new();
        for report in reports {
            let vm = report.vm.clone();
            match self.shared.update(|table| table.apply(report, now)) {
                Applied::NewSuspect => self.shared.send(Command::ReportedSuspect(vm)),
                Applied::Resurrected(record) => self.notify_declared_dead(record).await,
                Applied::StaleAboutMe => priority.push(vm),
                Applied::Changed | Applied::Unchanged => {}
            }
        }
        priority
    }

    /// Tells a member that it was declared dead. A member that refutes an older suspicion is
    /// marked live again without having learned of its death, and would otherwise keep grants and
    /// duties that others have taken over.
    async fn notify_declared_dead(&self, record: Member) {
        self.transmit(record.gossip, Body::Update, vec![record])
            .await;
    }

    async fn handle_body(&self, from: SocketAddr, body: Body, priority: &[VmId]) {
        match body {
            Body::Ack { seq } => {
                let pending = self.probes.borrow_mut().finish(seq);
                match pending {
                    Some(Pending::Own(tx)) => drop(tx.send(())),
                    Some(Pending::Relayed { requester, seq }) => {
                        self.send(requester, Body::Ack { seq }, priority).await;
                    }
                    None => {}
                }
            }
            Body::Digest { hash } => {
                if hash != self.digest() {
                    self.send_table(from, true).await;
                }
            }
            Body::IndirectPing {
                address,
                seq,
                target,
            } => {
                let relayed = Pending::Relayed {
                    requester: from,
                    seq,
                };
                let seq = self.probes.borrow_mut().begin(relayed, self.clock.now());
                self.send(address, Body::Ping { seq, target }, &[]).await;
            }
            Body::Ping { seq, target } => {
                if target == self.my_vm() {
                    self.send(from, Body::Ack { seq }, priority).await;
                }
            }
            Body::Table { reply_wanted: true } => self.send_table(from, false).await,
            Body::Table { .. } | Body::Update => {}
        }
    }

    /// Probes one other member per period, in an order that is shuffled for each round. The first
    /// probe is delayed by a random part of a period.
    async fn probe_all(&self) {
        let start = self.rng.borrow_mut().random::<f64>();
        self.clock.sleep(self.cfg.period.mul_f64(start)).await;
        loop {
            let round = futures::future::join(self.probe_next(), self.clock.sleep(self.cfg.period));
            round.await;
        }
    }

    async fn synchronise(&self) {
        let seeds = self.shared.seeds.borrow().clone();
        for seed in seeds.into_iter().take(SEEDS_AT_START) {
            self.send_digest(seed).await;
        }
        loop {
            let alone = self.shared.table.borrow().others().next().is_none();
            let period = if alone {
                self.cfg.period
            } else {
                self.cfg.sync_period
            };
            let jitter = self.rng.borrow_mut().random_range(0.75..1.25);
            self.clock.sleep(period.mul_f64(jitter)).await;
            let now = self.clock.now();
            self.shared.update(|table| table.remove_expired_dead(now));
            self.probes.borrow_mut().remove_expired(now);
            let reconnect = self.choose(&self.reconnect_addresses());
            let known = self.choose(&self.known_addresses());
            for address in [known, reconnect].into_iter().flatten() {
                self.send_digest(address).await;
            }
        }
    }

    fn known_addresses(&self) -> Vec<SocketAddr> {
        let table = self.shared.table.borrow();
        table.others().map(|member| member.gossip).collect()
    }

    /// Returns the addresses of dead members and of seeds at which no member is known. After a
    /// partition each side considers the other dead and no longer probes it, so the two sides only
    /// merge again because digests are still sent to these addresses.
    fn reconnect_addresses(&self) -> Vec<SocketAddr> {
        let table = self.shared.table.borrow();
        let seeds = self.shared.seeds.borrow();
        let dead = table
            .all()
            .filter(|member| member.state == State::Dead)
            .map(|member| member.gossip);
        let known = |address: &SocketAddr| {
            table
                .all()
                .any(|member| member.state != State::Dead && member.gossip == *address)
        };
        let mut reconnect: Vec<_> = dead
            .chain(seeds.iter().copied())
            .filter(|address| !known(address))
            .collect();
        reconnect.sort_unstable();
        reconnect.dedup();
        reconnect
    }

    fn choose(&self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        addresses.choose(&mut *self.rng.borrow_mut()).copied()
    }

    fn digest(&self) -> u64 {
        self.shared.table.borrow().digest()
    }

    pub(super) fn my_vm(&self) -> VmId {
        self.shared.table.borrow().me().vm.clone()
    }

    /// Sends the digest of the table with this daemon's own record, so that a receiver that does
    /// not know this daemon adds it.
    async fn send_digest(&self, to: SocketAddr) {
        let hash = self.digest();
        let me = self.my_vm();
        self.send(to, Body::Digest { hash }, &[me]).await;
    }

    async fn send_table(&self, to: SocketAddr, reply_wanted: bool) {
        let parts = self.shared.table.borrow().parts();
        for (index, updates) in parts.into_iter().enumerate() {
            let body = Body::Table {
                reply_wanted: reply_wanted && index == 0,
            };
            self.transmit(to, body, updates).await;
        }
    }

    /// Sends `body` with as many updates as fit, starting with the records of `priority`.
    pub(super) async fn send(&self, to: SocketAddr, body: Body, priority: &[VmId]) {
        let updates = self.shared.table.borrow_mut().take_updates(priority);
        self.transmit(to, body, updates).await;
    }

    /// Sends one record to all other members at once. Members keep assigning duties to a leaving
    /// or dead one until they learn of it, and piggybacked updates would take longer to spread.
    pub(super) async fn announce(&self, member: &Member) {
        let addresses = self.known_addresses();
        stream::iter(addresses)
            .for_each(|to| self.transmit(to, Body::Update, vec![member.clone()]))
            .await;
    }

    async fn transmit(&self, to: SocketAddr, body: Body, updates: Vec<Member>) {
        let from = self.my_vm();
        let message = Message {
            body,
            from,
            updates,
        };
        let sent = match message.encode() {
            Ok(bytes) => self.datagrams.send(to, bytes).await,
            Err(err) => return log::error!("membership: dropped a message to {to}: {err}"),
        };
        if let Err(err) = sent {
            log::debug!("membership: failed to send a datagram to {to}: {err}");
        }
    }
}
