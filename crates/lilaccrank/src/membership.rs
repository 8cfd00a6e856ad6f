//! Membership of the daemons of one data centre, by gossip over datagrams.
//!
//! Each member probes one random other per period, directly and then through helpers. Who does
//! not answer is suspected, and declared dead unless it refutes that by a higher incarnation
//! in time. Changes travel on the probes; a slow comparison of whole tables mends what was lost.
//! The platform's list of vms only says where to look for members: it lags, so it declares none
//! live or dead.
//!
//! [`new`] returns a cheap handle and the [`Gossip`] that does the work once it is run. The
//! gossip port belongs on the network of the system's own vms: messages are not signed.

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

/// The members as one daemon sees them at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Members that may own duties, this daemon among them unless it leaves; sorted by vm.
    pub members: Rc<[Member]>,
    /// Grows with each change of what this daemon knows.
    pub version: u64,
}

/// Handle to the membership; clones share one state.
#[derive(Clone)]
pub struct Membership {
    shared: Rc<Shared>,
}

/// What the handle asks of the running gossip.
enum Command {
    ProbeHint(VmId),
    Leave(oneshot::Sender<()>),
    ReportedSuspect(VmId),
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

/// Makes the membership of `me`. `me.incarnation` is its start time in milliseconds; its state
/// is taken as live.
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
    /// All members known, the leaving and the dead included; sorted by vm.
    #[must_use]
    pub fn all(&self) -> Vec<Member> {
        let mut members: Vec<_> = self.shared.table.borrow().all().cloned().collect();
        members.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
        members
    }

    /// Waits until the version differs from `seen`; returns the new one.
    pub async fn changed(&self, seen: u64) -> u64 {
        self.shared
            .wait_until(|table| (table.version != seen).then_some(table.version))
            .await
    }

    /// How often this daemon learned that the others had declared it dead.
    #[must_use]
    pub fn declared_dead_count(&self) -> u64 {
        self.shared.table.borrow().declared_dead
    }

    /// Announces to all that this daemon takes no new work. The gossip has to keep running
    /// until this returns, and should as long as requests are in progress.
    pub async fn leave(&self) {
        let (tx, rx) = oneshot::channel();
        let sent = self.shared.commands.unbounded_send(Command::Leave(tx));
        if sent.is_ok() {
            // An error means that the gossip was dropped: then there is nobody left to tell.
            let _ = rx.await;
        }
    }

    /// The members that may own duties.
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
            .filter(|member| member.takes_duties())
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

    /// The record of one member, in whatever state.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<Member> {
        self.shared.table.borrow().get(vm).cloned()
    }

    /// Counts the changes of the members.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.shared.table.borrow().version
    }

    /// This daemon's own record.
    #[must_use]
    pub fn me(&self) -> Member {
        self.shared.table.borrow().me().clone()
    }

    /// Waits until this daemon has learned more than `seen` times that the others had declared
    /// it dead; returns the new count. Another may have taken over: whatever it granted and
    /// whatever duties it held before are void.
    pub async fn self_was_declared_dead(&self, seen: u64) -> u64 {
        self.shared
            .wait_until(|table| (table.declared_dead > seen).then_some(table.declared_dead))
            .await
    }

    /// Sets where to look for members that are not known: the settings' list, or the platform's
    /// lagging one.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.shared.seeds.borrow_mut() = seeds;
    }

    /// Hints that `vm` seems gone, for instance since it refused a connection. It is probed at
    /// once; the hint alone never declares it dead.
    pub fn suspect(&self, vm: &str) {
        self.shared.send(Command::ProbeHint(vm.to_owned()));
    }
}

impl Shared {
    fn send(&self, command: Command) {
        if self.commands.unbounded_send(command).is_err() {
            log::debug!("membership: gossip no longer runs");
        }
    }

    /// Changes the table and wakes who waits for a change.
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
