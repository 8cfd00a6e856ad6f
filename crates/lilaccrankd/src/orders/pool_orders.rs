//! The orders of one daemon to the targets of one pool, under one lease.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use futures::future::{self, Either};
use futures::pin_mut;
use indexmap::IndexMap;
use lilaccrank::document::Target;
use lilaccrank::ids::{Incarnation, TargetId};
use lilaccrank::lease::{self, GuardSource, Keeper, Lease, LeaseHandle};
use lilaccrank::orders::{Command, Error, OrderTarget, Orders, Result};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::PlatformStore;
use crate::orders::target_orders::TargetOrders;
use crate::orders::times::OrderTimes;

/// The lease is kept this long after the last order. Orders come in series, and a target that
/// ignores fencing numbers costs a long wait each time the lease is taken anew.
const LINGER: Duration = Duration::from_secs(30);
/// Time between two looks at a lease that is being taken.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Who gives the orders to one pool of one data centre.
///
/// There is one for each pool through the whole life of the daemon, also while another has the
/// duty: two candidates of one name would take the lease from each other without waiting.
pub struct PoolOrders {
    changed: Event,
    /// Name of the lease.
    key: String,
    last_wanted: Cell<Instant>,
    life: Cell<Incarnation>,
    on_duty: Cell<bool>,
    orders: Orders<MonoioClock, LeaseHandle<MonoioClock>, TargetOrders>,
    targets: Rc<RefCell<IndexMap<TargetId, Target>>>,
    tenure: LeaseHandle<MonoioClock>,
    term: Cell<Term>,
    times: OrderTimes,
    /// Orders that need the lease now.
    wanted: Cell<usize>,
}

/// Counts the times that this daemon took the duty on.
pub type Term = u64;

/// The task that keeps the lease while it is needed.
type LeaseKeeper = Keeper<PlatformStore, MonoioClock>;

/// Counts one order that needs the lease until it is dropped.
struct Wanted<'a>(&'a PoolOrders);

impl Drop for Wanted<'_> {
    fn drop(&mut self) {
        self.0.last_wanted.set(Instant::now());
        self.0.wanted.set(self.0.wanted.get() - 1);
        self.0.changed.notify(usize::MAX);
    }
}

impl PoolOrders {
    /// Starts the task that takes the lease at `key` while it is needed.
    pub fn start(key: String, holder: String, store: PlatformStore, times: OrderTimes) -> Rc<Self> {
        let lease = Lease::new(times.lease(), &*key, holder, store, MonoioClock);
        let keeper = Keeper::new(lease);
        let tenure = keeper.handle();
        let targets = Rc::default();
        let answer_limit = times.orders().timeout;
        let port = TargetOrders::new(Rc::clone(&targets), answer_limit, tenure.clone());
        let pool_orders = Rc::new(Self {
            changed: Event::new(),
            key,
            last_wanted: Cell::new(Instant::now()),
            life: Cell::new(0),
            on_duty: Cell::new(false),
            orders: Orders::new(times.orders(), MonoioClock, tenure.clone(), port),
            targets,
            tenure,
            term: Cell::new(0),
            times,
            wanted: Cell::new(0),
        });
        monoio::spawn(Rc::clone(&pool_orders).keep(keeper));
        pool_orders
    }

    /// Whether this daemon gives the pool's orders.
    pub fn is_on_duty(&self) -> bool {
        self.on_duty.get()
    }

    /// The present term; `None` while another daemon has the duty.
    pub fn term(&self) -> Option<Term> {
        self.is_on_duty().then(|| self.term.get())
    }

    /// Takes the duty on, or lets it and the lease go. `life` is the daemon's present one: who was
    /// taken for dead and comes back begins a new term, though it never saw another have the duty.
    pub fn set_on_duty(&self, on_duty: bool, life: Incarnation) {
        let same_life = self.life.replace(life) == life;
        if self.on_duty.replace(on_duty) == on_duty && (same_life || !on_duty) {
            return;
        }
        if on_duty {
            self.term.set(self.term.get() + 1);
        }
        self.changed.notify(usize::MAX);
    }

    /// Targets that orders may go to.
    pub fn set_targets(&self, targets: Vec<Target>) {
        let targets = targets
            .into_iter()
            .map(|target| (target.id.clone(), target));
        *self.targets.borrow_mut() = targets.collect();
        self.changed.notify(usize::MAX);
    }

    /// Names of the targets that orders may go to.
    pub fn target_ids(&self) -> Vec<TargetId> {
        self.targets.borrow().keys().cloned().collect()
    }

    /// One of the targets that orders may go to.
    pub fn target(&self, id: &TargetId) -> Option<Target> {
        self.targets.borrow().get(id).cloned()
    }

    /// Hears of changes of the duty and of the targets.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Gives one order; takes the lease for it, within bounds.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the target may carry it out; after any other error it does not.
    pub async fn give(&self, target: &Target, id: &str, command: Command) -> Result<()> {
        let _wanted = self.want();
        let addressee = OrderTarget {
            fencing: target.fencing,
            id: target.id.clone(),
        };
        let until = Instant::now() + self.times.wait_for_lease();
        let term = self.term();
        loop {
            while self.tenure.guard().is_err() && term == self.term() && Instant::now() < until {
                monoio::time::sleep(LOOK_EVERY).await;
            }
            // In a new term another may have given a later order, which this one would undo.
            if term.is_none() || term != self.term() || self.tenure.guard().is_err() {
                return Err(lease::Error::NotHeld(self.key.clone()).into());
            }
            let given = self.orders.issue(&addressee, id, command.clone()).await;
            // The lease was lost before anything was sent.
            let again = matches!(given, Err(Error::Lease(_))) && Instant::now() < until;
            if !again {
                return given;
            }
        }
    }

    fn want(&self) -> Wanted<'_> {
        self.wanted.set(self.wanted.get() + 1);
        self.changed.notify(usize::MAX);
        Wanted(self)
    }

    async fn keep(self: Rc<Self>, mut keeper: LeaseKeeper) {
        loop {
            self.needed().await;
            keeper = keeper.run_until(self.not_needed()).await;
        }
    }

    /// The lease is taken only for orders. Held by each pool of each data centre all the time, it
    /// would cost the store more writes than everything else together.
    async fn needed(&self) {
        loop {
            let changed = self.listen();
            if self.is_on_duty() && self.wanted.get() > 0 {
                return;
            }
            changed.await;
        }
    }

    async fn not_needed(&self) {
        loop {
            let changed = self.listen();
            if !self.is_on_duty() {
                return;
            }
            if self.wanted.get() > 0 {
                changed.await;
                continue;
            }
            let left = LINGER.saturating_sub(self.last_wanted.get().elapsed());
            if left.is_zero() {
                return;
            }
            let over = monoio::time::sleep(left);
            pin_mut!(over);
            if let Either::Left(_) = future::select(over, changed).await {
                continue;
            }
        }
    }
}
