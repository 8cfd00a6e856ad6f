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
use crate::orders::timeouts::OrderTimeouts;

/// The lease is kept this long after the last order. Orders come in series, and a target that
/// ignores fencing numbers costs a long wait each time the lease is taken anew.
const LEASE_LINGER: Duration = Duration::from_secs(30);
/// Time between two looks at a lease that is being taken.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Who gives the orders to one pool of one data centre.
///
/// There is one for each pool through the whole life of the daemon, also while another has the
/// duty: two candidates of one name would take the lease from each other without waiting.
pub struct PoolOrders {
    changed: Event,
    /// Name of the lease.
    key: String,
    last_order_at: Cell<Instant>,
    incarnation: Cell<Incarnation>,
    active: Cell<bool>,
    orders: Orders<MonoioClock, LeaseHandle<MonoioClock>, TargetOrders>,
    targets: Rc<RefCell<IndexMap<TargetId, Target>>>,
    lease_handle: LeaseHandle<MonoioClock>,
    term: Cell<Term>,
    timeouts: OrderTimeouts,
    /// Orders that need the lease now.
    pending_orders: Cell<usize>,
}

/// Counts the times that this daemon took the duty on.
pub type Term = u64;

/// The task that keeps the lease while it is needed.
type LeaseKeeper = Keeper<PlatformStore, MonoioClock>;

/// Counts one order that needs the lease until it is dropped.
struct PendingOrder<'a>(&'a PoolOrders);

impl Drop for PendingOrder<'_> {
    fn drop(&mut self) {
        self.0.last_order_at.set(Instant::now());
        self.0.pending_orders.set(self.0.pending_orders.get() - 1);
        self.0.changed.notify(usize::MAX);
    }
}

impl PoolOrders {
    /// Starts the task that takes the lease at `key` while it is needed.
    pub fn start(
        key: String,
        holder: String,
        store: PlatformStore,
        timeouts: OrderTimeouts,
    ) -> Rc<Self> {
        let lease = Lease::new(timeouts.lease(), &*key, holder, store, MonoioClock);
        let keeper = Keeper::new(lease);
        let lease_handle = keeper.handle();
        let targets = Rc::default();
        let answer_limit = timeouts.orders().timeout;
        let target_orders =
            TargetOrders::new(Rc::clone(&targets), answer_limit, lease_handle.clone());
        let pool_orders = Rc::new(Self {
            changed: Event::new(),
            key,
            last_order_at: Cell::new(Instant::now()),
            incarnation: Cell::new(0),
            active: Cell::new(false),
            orders: Orders::new(
                timeouts.orders(),
                MonoioClock,
                lease_handle.clone(),
                target_orders,
            ),
            targets,
            lease_handle,
            term: Cell::new(0),
            timeouts,
            pending_orders: Cell::new(0),
        });
        monoio::spawn(Rc::clone(&pool_orders).maintain_lease(keeper));
        pool_orders
    }

    /// Whether this daemon gives the pool's orders.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// The present term; `None` while another daemon has the duty.
    pub fn term(&self) -> Option<Term> {
        self.is_active().then(|| self.term.get())
    }

    /// Takes the duty on, or lets it and the lease go. `incarnation` is the daemon's present one: who was
    /// taken for dead and comes back begins a new term, though it never saw another have the duty.
    pub fn set_active(&self, is_active: bool, incarnation: Incarnation) {
        let is_same_incarnation = self.incarnation.replace(incarnation) == incarnation;
        if self.active.replace(is_active) == is_active && (is_same_incarnation || !is_active) {
            return;
        }
        if is_active {
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
        let _pending_order = self.track_order();
        let addressee = OrderTarget {
            fencing: target.fencing,
            id: target.id.clone(),
        };
        let deadline = Instant::now() + self.timeouts.max_lease_wait();
        let term = self.term();
        loop {
            while self.lease_handle.guard().is_err()
                && term == self.term()
                && Instant::now() < deadline
            {
                monoio::time::sleep(LEASE_POLL_INTERVAL).await;
            }
            // In a new term another may have given a later order, which this one would undo.
            if term.is_none() || term != self.term() || self.lease_handle.guard().is_err() {
                return Err(lease::Error::NotHeld(self.key.clone()).into());
            }
            let result = self.orders.issue(&addressee, id, command.clone()).await;
            // The lease was lost before anything was sent.
            let can_retry = matches!(result, Err(Error::Lease(_))) && Instant::now() < deadline;
            if !can_retry {
                return result;
            }
        }
    }

    fn track_order(&self) -> PendingOrder<'_> {
        self.pending_orders.set(self.pending_orders.get() + 1);
        self.changed.notify(usize::MAX);
        PendingOrder(self)
    }

    async fn maintain_lease(self: Rc<Self>, mut keeper: LeaseKeeper) {
        loop {
            self.wait_until_needed().await;
            keeper = keeper.run_until(self.wait_until_unneeded()).await;
        }
    }

    /// The lease is taken only for orders. Held by each pool of each data centre all the time, it
    /// would cost the store more writes than everything else together.
    async fn wait_until_needed(&self) {
        loop {
            let changed = self.listen();
            if self.is_active() && self.pending_orders.get() > 0 {
                return;
            }
            changed.await;
        }
    }

    async fn wait_until_unneeded(&self) {
        loop {
            let changed = self.listen();
            if !self.is_active() {
                return;
            }
            if self.pending_orders.get() > 0 {
                changed.await;
                continue;
            }
            let remaining = LEASE_LINGER.saturating_sub(self.last_order_at.get().elapsed());
            if remaining.is_zero() {
                return;
            }
            let timeout = monoio::time::sleep(remaining);
            pin_mut!(timeout);
            if let Either::Left(_) = future::select(timeout, changed).await {
                continue;
            }
        }
    }
}
