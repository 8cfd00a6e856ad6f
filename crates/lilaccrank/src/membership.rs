//! SWIM-style gossip membership of the daemons in one data centre, over datagrams.
//!
//! In each period a member probes one random other member, directly and then through other
//! members. A member that does not answer is suspected, and is declared dead unless it refutes
//! the suspicion with a higher incarnation in time. Updates are piggybacked on the probes; a
//! periodic comparison of whole tables repairs lost updates. The platform's list of VMs only
//! provides seed addresses: it lags behind, so it never decides that a member is live or dead.
//!
//! [`new`] returns a cheap handle and the [`Gossip`] task that has to be run. Messages are not
//! signed, so the gossip port must only be reachable from the network of the system's own VMs.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::{self, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

use futures::channel::{mpsc, oneshot};

use crate::clock::Clock;
use crate::ids::VmId;

pub mod datagrams;
mod gossip;
mod member;
mod message;
mod probe;
mod settings;
mod suspicion;
mod table;

pub use gossip::Gossip;
pub use member::{Member, State};
pub use message::DATAGRAM_LIMIT;
pub use settings::Settings;

use table::Table;

/// The members that one daemon knows at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Members that may own duties, sorted by VM; includes this daemon unless it is leaving.
    pub members: Rc<[Member]>,
    /// Version of the table; increases with each change.
    pub version: u64,
}

/// Handle to the membership; clones share their state.
#[derive(Clone)]
pub struct Membership {
    shared: Rc<Shared>,
}

/// A command sent to the gossip task.
enum Command {
    /// Probe this member at once; it may be down.
    ProbeHint(VmId),
    Leave(oneshot::Sender<()>),
    /// Another member reported this one as suspect.
    ReportedSuspect(VmId),
    /// A probe of this member by this daemon failed.
    Suspect(VmId),
}

struct Shared {
    commands: mpsc::UnboundedSender<Command>,
    seeds: RefCell<Vec<SocketAddr>>,
    snapshot: RefCell<Option<Snapshot>>,
    table: RefCell<Table>,
    watched_suspects: RefCell<HashSet<VmId>>,
    wakers: RefCell<Vec<Waker>>,
    woken_version: Cell<u64>,
}

/// Creates the membership of `me`. `me.incarnation` is the start time in milliseconds;
/// `me.state` is ignored and set to live.
pub fn new<C: Clock, D: datagrams::Datagrams>(
    cfg: Settings,
    mut me: Member,
    clock: C,
    datagrams: D,
) -> (Membership, Gossip<C, D>) {
    me.state = State::Live;
    let (tx, rx) = mpsc::unbounded();
    let shared = Rc::new(Shared {
        commands: tx,
        seeds: RefCell::default(),
        snapshot: RefCell::default(),
        table: RefCell::new(Table::new(me, clock.now())),
        watched_suspects: RefCell::default(),
        wakers: RefCell::default(),
        woken_version: Cell::new(1),
    });
    let membership = Membership {
        shared: Rc::clone(&shared),
    };
    (membership, Gossip::new(cfg, clock, datagrams, shared, rx))
}

impl Membership {
    /// Returns all known members, including leaving and dead ones, sorted by VM.
    #[must_use]
    pub fn all(&self) -> Vec<Member> {
        let mut members: Vec<_> = self.shared.table.borrow().all().cloned().collect();
        members.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        members
    }

    /// Waits until the version differs from `seen` and returns the new version.
    pub async fn changed(&self, seen: u64) -> u64 {
        self.shared
            .wait_until(|table| (table.version != seen).then_some(table.version))
            .await
    }

    /// Returns how often this daemon learned that other members had declared it dead.
    #[must_use]
    pub fn declared_dead_count(&self) -> u64 {
        self.shared.table.borrow().declared_dead
    }

    /// Announces to all members that this daemon is leaving and takes no new work. The gossip
    /// task has to run until this returns, and should run while requests are in progress.
    pub async fn leave(&self) {
        let (tx, rx) = oneshot::channel();
        let sent = self.shared.commands.unbounded_send(Command::Leave(tx));
        if sent.is_ok() {
            // An error means that the gossip task was dropped and can't announce anything.
            let _ = rx.await;
        }
    }

    /// Returns the members that may own duties.
    #[must_use]
    pub fn live(&self) -> Snapshot {
        let table = self.shared.table.borrow();
        let mut cached = self.shared.snapshot.borrow_mut();
        if let Some(snapshot) = cached.as_ref()
            && snapshot.version == table.version
        {
            return snapshot.clone();
        }
        let mut members: Vec<_> = table
            .all()
            .filter(|member| member.can_own_duties())
            .cloned()
            .collect();
        members.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        let snapshot = Snapshot {
            members: members.into(),
            version: table.version,
        };
        *cached = Some(snapshot.clone());
        snapshot
    }

    /// Returns the record of a member, regardless of its state.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<Member> {
        self.shared.table.borrow().get(vm).cloned()
    }

    /// Returns the version of the table, which increases with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.shared.table.borrow().version
    }

    /// Returns the record of this daemon.
    #[must_use]
    pub fn me(&self) -> Member {
        self.shared.table.borrow().me().clone()
    }

    /// Waits until this daemon has learned more than `seen` times that other members declared it
    /// dead, and returns the new count. Another daemon may have taken over by then, so the grants
    /// and duties that this daemon held before are void.
    pub async fn self_was_declared_dead(&self, seen: u64) -> u64 {
        self.shared
            .wait_until(|table| (table.declared_dead > seen).then_some(table.declared_dead))
            .await
    }

    /// Sets the seed addresses used to discover members. They come from the settings or from the
    /// platform's list of VMs, which lags behind.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.shared.seeds.borrow_mut() = seeds;
    }

    /// Reports that `vm` seems to be down, for instance because it refused a connection. The
    /// member is probed at once; the report alone never declares it dead.
    pub fn suspect(&self, vm: &str) {
        self.shared.send(Command::ProbeHint(vm.to_owned()));
    }
}

impl Shared {
    fn send(&self, command: Command) {
        if self.commands.unbounded_send(command).is_err() {
            log::debug!("membership: command dropped, the gossip task has ended");
        }
    }

    /// Applies `change` to the table and wakes the waiting tasks if the version changed.
    fn update<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        let (output, version) = {
            let mut table = self.table.borrow_mut();
            (change(&mut table), table.version)
        };
        if self.woken_version.replace(version) != version {
            let wakers = self.wakers.take();
            wakers.into_iter().for_each(Waker::wake);
        }
        output
    }

    fn wait_until<'a, T>(
        &'a self,
        ready: impl Fn(&Table) -> Option<T> + 'a,
    ) -> impl Future<Output = T> + 'a {
        future::poll_fn(move |cx| {
            if let Some(output) = ready(&self.table.borrow()) {
                return Poll::Ready(output);
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
    }
}
