//! Orders of two holders that reach a target late.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::executor::{LocalPool, LocalSpawner};
use futures::task::LocalSpawnExt;
use lilaccrank::clock::Clock;
use lilaccrank::document::Fencing;
use lilaccrank::ids::TargetId;
use lilaccrank::lease::{Error, Guard, GuardSource, Result};
use lilaccrank::orders::{self, Addressee, Command, Order, Orders, Role, Settings, Targets};
use lilaccrank::paused_clock::PausedClock;

type Giver = Orders<PausedClock, FakeLease, FakeTargets>;

/// A wire to one target, which notes what it carried out.
#[derive(Clone)]
struct FakeTargets {
    carried_out: Rc<RefCell<Vec<Order>>>,
    clock: PausedClock,
    delay: Rc<Cell<Duration>>,
    fencing: Fencing,
    spawner: LocalSpawner,
}

impl FakeTargets {
    fn arrive(&self, order: Order) {
        let mut carried_out = self.carried_out.borrow_mut();
        let highest = carried_out.iter().map(|earlier| earlier.fence).max();
        let old = highest > Some(order.fence);
        if self.fencing == Fencing::Ignored || !old {
            carried_out.push(order);
        }
    }
}

impl Targets for FakeTargets {
    /// What is on the wire arrives also when the sender has given up.
    async fn give(&self, _target: &TargetId, order: &Order) -> orders::Result<()> {
        let (targets, order) = (self.clone(), order.clone());
        let delay = self.clock.sleep(self.delay.get());
        let arrival = async move {
            delay.await;
            targets.arrive(order);
        };
        self.spawner.spawn_local(arrival).expect("the pool runs");
        self.clock.sleep(self.delay.get()).await;
        Ok(())
    }
}

/// A lease as one holder sees it.
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

struct Setting {
    clock: PausedClock,
    /// Number of the holder made last.
    fence: RefCell<Rc<Cell<u64>>>,
    outcomes: Rc<RefCell<Vec<orders::Result<()>>>>,
    pool: LocalPool,
    targets: FakeTargets,
}

impl Setting {
    fn new(fencing: Fencing) -> Self {
        let clock = PausedClock::new();
        clock.advance(Duration::from_secs(60));
        let pool = LocalPool::new();
        let targets = FakeTargets {
            carried_out: Rc::default(),
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

    fn in_s(&self, seconds: u64) -> Instant {
        self.clock.now() + Duration::from_secs(seconds)
    }

    fn long_ago(&self) -> Instant {
        self.clock.now() - Duration::from_secs(60)
    }

    fn holder(&self, fence: u64, expires_at: Instant, predecessor_expired_at: Instant) -> Giver {
        let number = Rc::new(Cell::new(fence));
        self.fence.replace(Rc::clone(&number));
        let lease = FakeLease {
            clock: self.clock.clone(),
            fence: number,
            guard: Guard {
                predecessor_expired_at,
                fence,
                expires_at,
            },
        };
        let cfg = Settings::default();
        Orders::new(cfg, self.clock.clone(), lease, self.targets.clone())
    }

    /// Gives an order that is on the wire for so long.
    fn give(&mut self, holder: impl Into<Rc<Giver>>, role: Role, on_wire: Duration) {
        self.targets.delay.set(on_wire);
        let holder: Rc<Giver> = holder.into();
        let outcomes = Rc::clone(&self.outcomes);
        let target = Addressee {
            fencing: self.targets.fencing,
            id: "engine-1".to_owned(),
        };
        let give = async move {
            let outcome = holder.give(&target, "role", Command::SetRole { role });
            let outcome = outcome.await;
            outcomes.borrow_mut().push(outcome);
        };
        self.pool
            .spawner()
            .spawn_local(give)
            .expect("the pool runs");
        self.pool.run_until_stalled();
    }

    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.clock.advance(Duration::from_millis(100));
            self.pool.run_until_stalled();
        }
    }

    fn carried_out(&self) -> Vec<Command> {
        let orders = self.targets.carried_out.borrow();
        orders.iter().map(|order| order.command.clone()).collect()
    }
}

// The earlier holder's order "prefill" is sent in its lease and stays on the wire for 4.9 s; the
// later holder orders "decode" a second after the first. The target must end as "decode": one
// that checks the number refuses the late order; for one that ignores it the later holder waits.
macro_rules! late_order {
    ($($name:ident: $fencing:expr, $roles:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut setting = Setting::new($fencing);
            let earlier = setting.holder(1, setting.in_s(1), setting.long_ago());
            setting.give(earlier, Role::Prefill, Duration::from_millis(4_900));
            setting.advance(1);
            let later = setting.holder(2, setting.in_s(60), setting.in_s(0));
            setting.give(later, Role::Decode, Duration::from_millis(10));
            setting.advance(20);
            let expected = $roles.map(|role| Command::SetRole { role });
            assert_eq!(setting.carried_out(), expected);
        }
    )*};
}

late_order! {
    late_order_to_a_target_that_checks: Fencing::Checked, [Role::Decode];
    late_order_to_a_target_that_ignores: Fencing::Ignored, [Role::Prefill, Role::Decode];
}

// A holder waits for earlier orders to arrive and loses its lease meanwhile. If it did not ask
// again after the wait, it would act as if it still held it.
#[test]
fn holder_that_lost_its_lease_in_the_wait_gives_no_order() {
    let mut setting = Setting::new(Fencing::Ignored);
    let holder = setting.holder(1, setting.in_s(4), setting.in_s(0));
    setting.give(holder, Role::Decode, Duration::ZERO);
    setting.advance(20);
    assert_eq!(setting.carried_out(), []);
    let not_held = orders::Error::Lease(Error::NotHeld("orders".to_owned()));
    assert_eq!(*setting.outcomes.borrow(), [Err(not_held)]);
}

// No answer to "prefill" comes in time, and the operator asks the same holder for "decode" while
// the first order is still on the wire. Both carry one number, and no target can tell which is
// the later. Unless the second waits until the first, which is sent once more, can't arrive any
// more, the target ends as "prefill", though the holder was told that "decode" is done.
#[test]
fn order_without_an_answer_is_not_overtaken() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let mut setting = Setting::new(fencing);
        let holder = setting.holder(1, setting.in_s(60), setting.long_ago());
        let holder = Rc::new(holder);
        setting.give(
            Rc::clone(&holder),
            Role::Prefill,
            Duration::from_millis(4_900),
        );
        setting.advance(4);
        setting.give(holder, Role::Decode, Duration::from_millis(10));
        setting.advance(10);
        let roles = [Role::Prefill, Role::Prefill, Role::Decode];
        assert_eq!(
            setting.carried_out(),
            roles.map(|role| Command::SetRole { role })
        );
        assert_eq!(*setting.outcomes.borrow(), [Ok(()), Ok(())]);
    }
}

// A holder's order gets no answer; meanwhile the lease is with another and comes back. The order
// must not be sent again under the new number, since the other may have given a later one.
#[test]
fn order_is_not_repeated_under_another_number() {
    let mut setting = Setting::new(Fencing::Checked);
    let holder = Rc::new(setting.holder(1, setting.in_s(60), setting.long_ago()));
    setting.give(
        Rc::clone(&holder),
        Role::Prefill,
        Duration::from_millis(4_900),
    );
    setting.advance(4);
    setting.fence.borrow().set(3);
    setting.advance(10);
    let unknown = orders::Error::Unknown("engine-1".to_owned());
    assert_eq!(*setting.outcomes.borrow(), [Err(unknown)]);
    let role = Role::Prefill;
    assert_eq!(setting.carried_out(), [Command::SetRole { role }]);
}
