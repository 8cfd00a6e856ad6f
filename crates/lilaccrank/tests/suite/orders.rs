//! Tests of orders that reach a target late, from one or two lease holders.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::executor::{LocalPool, LocalSpawner};
use futures::task::LocalSpawnExt;
use lilaccrank::clock::Clock;
use lilaccrank::document::Fencing;
use lilaccrank::ids::TargetId;
use lilaccrank::lease::{Error, Guard, GuardSource, Result};
use lilaccrank::orders::{
    self, Command, Effect, Order, OrderTarget, Orders, Role, Settings, Targets,
};
use lilaccrank::paused_clock::PausedClock;

type TestOrders = Orders<PausedClock, FakeLease, FakeTargets>;

/// Connection to one fake target, which records the orders that it executed.
#[derive(Clone)]
struct FakeTargets {
    executed: Rc<RefCell<Vec<Order>>>,
    clock: PausedClock,
    delay: Rc<Cell<Duration>>,
    fencing: Fencing,
    spawner: LocalSpawner,
}

impl FakeTargets {
    fn arrive(&self, order: Order) {
        let mut executed = self.executed.borrow_mut();
        let highest = executed.iter().map(|earlier| earlier.fence).max();
        let is_stale = highest > Some(order.fence);
        if self.fencing == Fencing::Ignored || !is_stale {
            executed.push(order);
        }
    }
}

impl Targets for FakeTargets {
    /// An order in flight arrives even if the sender has given up waiting.
    async fn issue(&self, _target: &TargetId, order: &Order) -> orders::Result<Effect> {
        let (targets, order) = (self.clone(), order.clone());
        let delay = self.clock.sleep(self.delay.get());
        let arrival = async move {
            delay.await;
            targets.arrive(order);
        };
        self.spawner.spawn_local(arrival).expect("the pool runs");
        self.clock.sleep(self.delay.get()).await;
        Ok(Effect::Changed)
    }
}

/// A lease from the point of view of one holder.
struct FakeLease {
    clock: PausedClock,
    fence: Rc<Cell<u64>>,
    guard: Guard,
}

impl GuardSource for FakeLease {
    fn guard(&self) -> Result<Guard> {
        if self.clock.now() >= self.guard.expires_at {
            return Err(Error::NotHeld("orders".to_owned()));
        }
        Ok(Guard {
            fence: self.fence.get(),
            ..self.guard
        })
    }
}

struct Fixture {
    clock: PausedClock,
    /// Fencing token of the holder that was created last.
    fence: RefCell<Rc<Cell<u64>>>,
    outcomes: Rc<RefCell<Vec<orders::Result<()>>>>,
    pool: LocalPool,
    targets: FakeTargets,
}

impl Fixture {
    fn new(fencing: Fencing) -> Self {
        let clock = PausedClock::new();
        clock.advance(Duration::from_secs(60));
        let pool = LocalPool::new();
        let targets = FakeTargets {
            executed: Rc::default(),
            clock: clock.clone(),
            delay: Rc::default(),
            fencing,
            spawner: pool.spawner(),
        };
        Self {
            clock,
            fence: RefCell::default(),
            outcomes: Rc::default(),
            pool,
            targets,
        }
    }

    fn seconds_from_now(&self, seconds: u64) -> Instant {
        self.clock.now() + Duration::from_secs(seconds)
    }

    fn long_ago(&self) -> Instant {
        self.clock.now() - Duration::from_secs(60)
    }

    fn holder(
        &self,
        fence: u64,
        expires_at: Instant,
        predecessor_expired_at: Instant,
    ) -> TestOrders {
        let shared_fence = Rc::new(Cell::new(fence));
        self.fence.replace(Rc::clone(&shared_fence));
        let lease = FakeLease {
            clock: self.clock.clone(),
            fence: shared_fence,
            guard: Guard {
                predecessor_expired_at,
                fence,
                expires_at,
            },
        };
        let cfg = Settings::default();
        Orders::new(cfg, self.clock.clone(), lease, self.targets.clone())
    }

    /// Issues an order that takes the given time to arrive and to be answered.
    fn issue(&mut self, holder: impl Into<Rc<TestOrders>>, role: Role, time_in_flight: Duration) {
        self.targets.delay.set(time_in_flight);
        let holder: Rc<TestOrders> = holder.into();
        let outcomes = Rc::clone(&self.outcomes);
        let target = OrderTarget {
            fencing: self.targets.fencing,
            id: "engine-1".to_owned(),
        };
        let issue = async move {
            let outcome = holder.issue(&target, "role", Command::SetRole { role });
            let outcome = outcome.await.map(|_| ());
            outcomes.borrow_mut().push(outcome);
        };
        self.pool
            .spawner()
            .spawn_local(issue)
            .expect("the pool runs");
        self.pool.run_until_stalled();
    }

    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.clock.advance(Duration::from_millis(100));
            self.pool.run_until_stalled();
        }
    }

    fn executed(&self) -> Vec<Command> {
        let orders = self.targets.executed.borrow();
        orders.iter().map(|order| order.command.clone()).collect()
    }
}

// The first holder's order "prefill" is in flight for 4.9 s; the second holder orders "decode" one
// second later. The target must end as "decode": a target that checks fencing tokens refuses the
// late order; for one that ignores them the second holder waits.
macro_rules! late_order {
    ($($name:ident: $fencing:expr, $roles:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fixture = Fixture::new($fencing);
            let earlier = fixture.holder(1, fixture.seconds_from_now(1), fixture.long_ago());
            fixture.issue(earlier, Role::Prefill, Duration::from_millis(4_900));
            fixture.advance(1);
            let later = fixture.holder(2, fixture.seconds_from_now(60), fixture.seconds_from_now(0));
            fixture.issue(later, Role::Decode, Duration::from_millis(10));
            fixture.advance(20);
            let expected = $roles.map(|role| Command::SetRole { role });
            assert_eq!(fixture.executed(), expected);
        }
    )*};
}

late_order! {
    late_order_to_a_target_that_checks: Fencing::Checked, [Role::Decode];
    late_order_to_a_target_that_ignores: Fencing::Ignored, [Role::Prefill, Role::Decode];
}

// A holder loses its lease while it waits for orders of its predecessor to arrive. It must check
// the lease again after the wait.
#[test]
fn holder_that_lost_its_lease_in_the_wait_issues_no_order() {
    let mut fixture = Fixture::new(Fencing::Ignored);
    let holder = fixture.holder(1, fixture.seconds_from_now(4), fixture.seconds_from_now(0));
    fixture.issue(holder, Role::Decode, Duration::ZERO);
    fixture.advance(20);
    assert_eq!(fixture.executed(), []);
    let not_held = orders::Error::Lease(Error::NotHeld("orders".to_owned()));
    assert_eq!(*fixture.outcomes.borrow(), [Err(not_held)]);
}

// "prefill" is not answered in time, and the same holder issues "decode" while the first order is
// still in flight. Both have the same fencing token, so a target can't tell which one is newer.
// Unless the second waits until the first, which is sent once more, can no longer arrive, the
// target ends as "prefill" although "decode" was reported as done.
#[test]
fn order_without_an_answer_is_not_overtaken() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let mut fixture = Fixture::new(fencing);
        let holder = fixture.holder(1, fixture.seconds_from_now(60), fixture.long_ago());
        let holder = Rc::new(holder);
        fixture.issue(
            Rc::clone(&holder),
            Role::Prefill,
            Duration::from_millis(4_900),
        );
        fixture.advance(4);
        fixture.issue(holder, Role::Decode, Duration::from_millis(10));
        fixture.advance(10);
        let roles = [Role::Prefill, Role::Prefill, Role::Decode];
        assert_eq!(
            fixture.executed(),
            roles.map(|role| Command::SetRole { role })
        );
        assert_eq!(*fixture.outcomes.borrow(), [Ok(()), Ok(())]);
    }
}

// An order is not answered, and the lease passes to another holder and back. The order must not be
// repeated under the new fencing token, because the other holder may have issued a newer one.
#[test]
fn order_is_not_repeated_under_another_number() {
    let mut fixture = Fixture::new(Fencing::Checked);
    let holder = Rc::new(fixture.holder(1, fixture.seconds_from_now(60), fixture.long_ago()));
    fixture.issue(
        Rc::clone(&holder),
        Role::Prefill,
        Duration::from_millis(4_900),
    );
    fixture.advance(4);
    fixture.fence.borrow().set(3);
    fixture.advance(10);
    let unknown = orders::Error::Unknown("engine-1".to_owned());
    assert_eq!(*fixture.outcomes.borrow(), [Err(unknown)]);
    let role = Role::Prefill;
    assert_eq!(fixture.executed(), [Command::SetRole { role }]);
}

// An order waits behind another one that is not answered. Meanwhile the lease passes to another
// holder and back. The waiting order must not be sent under the new fencing token, because the
// other holder may have issued a newer one.
#[test]
fn waiting_order_is_not_sent_under_another_number() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let mut fixture = Fixture::new(fencing);
        let holder = Rc::new(fixture.holder(1, fixture.seconds_from_now(60), fixture.long_ago()));
        fixture.issue(
            Rc::clone(&holder),
            Role::Prefill,
            Duration::from_millis(4_900),
        );
        fixture.advance(1);
        fixture.issue(holder, Role::Decode, Duration::from_millis(10));
        fixture.advance(1);
        fixture.fence.borrow().set(3);
        fixture.advance(20);
        let role = Role::Prefill;
        assert_eq!(fixture.executed(), [Command::SetRole { role }]);
        let outcomes = fixture.outcomes.borrow();
        assert!(
            matches!(outcomes[1], Err(orders::Error::Lease(_))),
            "{outcomes:?}"
        );
    }
}
