//! Orders of one daemon to the targets of one pool, under one lease.

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
use lilaccrank::orders::{Command, Effect, Error, OrderTarget, Orders, Result};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;

use crate::daemon::PlatformStore;
use crate::orders::target_orders::TargetOrders;
use crate::orders::timeouts::OrderTimeouts;

/// How long the lease is kept after the last order. Orders come in series, and a target that
/// ignores fencing numbers costs a long wait each time the lease is acquired again.
const LEASE_LINGER: Duration = Duration::from_secs(30);
/// Interval at which an order checks whether the lease is held.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Issues the orders to one pool of one data centre.
///
/// It exists for each pool as long as the daemon runs, also while another daemon has the duty: two
/// candidates with the same holder name would take the lease from each other without waiting.
pub struct PoolOrders {
    changed: Event,
    /// Key of the lease in the store.
    key: String,
    last_order_at: Cell<Instant>,
    incarnation: Cell<Incarnation>,
    active: Cell<bool>,
    orders: Orders<MonoioClock, LeaseHandle<MonoioClock>, TargetOrders>,
    targets: Rc<RefCell<IndexMap<TargetId, Target>>>,
    lease_handle: LeaseHandle<MonoioClock>,
    term: Cell<Term>,
    timeouts: OrderTimeouts,
    /// Number of orders that need the lease.
    pending_orders: Cell<usize>,
}

/// Number of times that this daemon has taken on the duty.
pub type Term = u64;

/// Keeps the lease while it is needed.
type LeaseKeeper = Keeper<PlatformStore, MonoioClock>;

/// Counts one order as needing the lease until it is dropped.
struct PendingOrder<'a>(&'a PoolOrders);

impl Drop for PendingOrder<'_> {
    fn drop(&mut self) {
        self.0.last_order_at.set(Instant::now());
        self.0.pending_orders.set(self.0.pending_orders.get() - 1);
        self.0.changed.notify(usize::MAX);
    }
}

impl PoolOrders {
    /// Starts the task that acquires the lease at `key` while it is needed.
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
        runtime::spawn(Rc::clone(&pool_orders).maintain_lease(keeper));
        pool_orders
    }

    /// Returns `true` if this daemon issues the pool's orders.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// The current term; `None` while another daemon has the duty.
    pub fn term(&self) -> Option<Term> {
        self.is_active().then(|| self.term.get())
    }

    /// Takes on the duty, or gives it up together with the lease. `incarnation` is that of this
    /// daemon: a daemon that was taken for dead and returns begins a new term, even if it never saw
    /// another daemon have the duty.
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

    /// Sets the targets that orders may go to.
    pub fn set_targets(&self, targets: Vec<Target>) {
        let targets = targets
            .into_iter()
            .map(|target| (target.id.clone(), target));
        *self.targets.borrow_mut() = targets.collect();
        self.changed.notify(usize::MAX);
    }

    /// Ids of the targets that orders may go to.
    pub fn target_ids(&self) -> Vec<TargetId> {
        self.targets.borrow().keys().cloned().collect()
    }

    /// Returns a target that orders may go to.
    pub fn target(&self, id: &TargetId) -> Option<Target> {
        self.targets.borrow().get(id).cloned()
    }

    /// Returns a listener for changes of the duty and of the targets.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Issues one order. Waits for the lease, up to a limit.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the target may have carried it out; after any other error it has not.
    pub async fn issue(&self, target: &Target, id: &str, command: Command) -> Result<Effect> {
        let _pending_order = self.track_order();
        let order_target = OrderTarget {
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
            // In a new term, another daemon may have issued a later order, which this one would
            // undo.
            if term.is_none() || term != self.term() || self.lease_handle.guard().is_err() {
                return Err(lease::Error::NotHeld(self.key.clone()).into());
            }
            let result = self.orders.issue(&order_target, id, command.clone()).await;
            // The lease was lost before anything was sent, so the order can be sent again.
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

    /// Completes once the lease is needed. Holding it all the time for each pool of each data
    /// centre would cost the store more writes than everything else together.
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
