//! Leases under pauses, lost answers and a store that is away: never two holders at once.

use std::time::Duration;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::executor::{self, LocalPool};
use futures::task::LocalSpawnExt;
use lilaccrank::clock::Clock;
use lilaccrank::lease::{
    Attempt, Candidate, GuardSource, Held, Keeper, Lease, LeaseHandle, Renewal, Settings,
};
use lilaccrank::paused_clock::PausedClock;
use quickcheck::{Arbitrary, Gen, quickcheck};

use crate::fake_store::FakeStore;
use crate::process::{FakeProcess, ProcessState};

const KEY: &str = "leases/orders";

type HeldLease = Lease<Held, FakeStore, PausedClock>;

fn candidate(
    holder: &str,
    store: &FakeStore,
    clock: &PausedClock,
) -> Lease<Candidate, FakeStore, PausedClock> {
    Lease::new(
        Settings::default(),
        KEY,
        holder,
        store.clone(),
        clock.clone(),
    )
}

fn acquire(holder: &str, store: &FakeStore, clock: &PausedClock) -> HeldLease {
    match executor::block_on(candidate(holder, store, clock).attempt()) {
        Attempt::Held(held) => held,
        Attempt::Wait(..) => panic!("{holder} has to wait"),
    }
}

fn renew(held: HeldLease) -> HeldLease {
    match executor::block_on(held.renew()) {
        Renewal::Held(held) => held,
        Renewal::Lost(lost) => panic!("lost: {}", lost.reason()),
    }
}

// The write that took the lease had effect, but its answer was lost. Without reading back, the
// holder would take itself for beaten, and nobody would give orders for a whole duration.
#[test]
fn lost_answer_to_acquiring_is_resolved_by_reading_back() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    store.faults.lose_answer.set(true);
    let Attempt::Wait(retry, _) = executor::block_on(candidate("a", &store, &clock).attempt())
    else {
        panic!("no answer came");
    };
    clock.advance(Duration::from_secs(1));
    let Attempt::Held(held) = executor::block_on(retry.attempt()) else {
        panic!("the lease is its own");
    };
    let guard = held.guard().expect("held");
    assert_eq!(guard.fence, 1, "taken twice");
    let remaining = held.expires_at() - clock.now();
    assert_eq!(
        remaining,
        Duration::from_secs(10 - 1 - 1),
        "its time counts from the first write"
    );
}

// The answer to a renewal is lost and the version has moved on. The next renewal at the old
// version conflicts, which looks as if another had taken the lease.
#[test]
fn lost_answer_to_renewing_is_resolved_by_reading_back() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    let held = acquire("a", &store, &clock);
    let first_end = held.expires_at();
    clock.advance(Duration::from_secs(3));
    store.faults.lose_answer.set(true);
    let held = renew(renew(held));
    assert_eq!(held.expires_at(), first_end + Duration::from_secs(3));
    assert_eq!(held.guard().expect("held").fence, 1);
}

// The holder is paused while it waits for the answer of its renewal, for longer than the lease
// lasts, and then finds the answer "renewed". Another has the lease by then; the first must not
// count its time from when it woke.
#[test]
fn holder_paused_in_a_renewal_finds_it_lost() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    let mut pool = LocalPool::new();
    let held = acquire("a", &store, &clock);
    store.faults.delay_answer.set(Some(Duration::from_secs(20)));
    let renewal = pool
        .spawner()
        .spawn_local_with_handle(held.renew())
        .expect("the pool runs");
    pool.run_until_stalled();
    clock.advance(Duration::from_secs(20));
    let Renewal::Lost(lost) = pool.run_until(renewal) else {
        panic!("believes in a lease that ended 11 s ago");
    };
    assert_eq!(lost.reason().to_string(), "not renewed in time");
}

// A target has obeyed number 1000 when the store is wiped. The daemon that takes the lease then has
// just started and has seen no number at all; with number 1 the target would refuse each order of
// it, and of its successors, for good.
#[test]
fn fence_after_a_wiped_store_exceeds_earlier_ones() {
    let clock = PausedClock::new();
    clock.advance(Duration::from_secs(1_000));
    let before = acquire("a", &FakeStore::new(clock.clone()), &clock);
    clock.advance(Duration::from_secs(3));
    let after = acquire("b", &FakeStore::new(clock.clone()), &clock);
    let fence = |held: &HeldLease| held.guard().expect("held").fence;
    assert!(fence(&after) > fence(&before));
}

// The duty moves to another daemon, and the first gives the lease up. From then on it must not
// act, and the other takes the lease at once, not only when its time is over.
#[test]
fn stopped_keeper_releases_the_lease() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    let mut pool = LocalPool::new();
    let keeper = Keeper::new(candidate("a", &store, &clock));
    let handle = keeper.handle();
    let (stop, stopped) = oneshot::channel::<()>();
    let running = keeper.run_until(stopped.map(|_| ()));
    let running = pool
        .spawner()
        .spawn_local_with_handle(running)
        .expect("the pool runs");
    pool.run_until_stalled();
    assert_eq!(handle.guard().expect("held").fence, 1);
    stop.send(()).expect("the keeper runs");
    let keeper = pool.run_until(running);
    assert!(handle.guard().is_err(), "acts without the duty");
    let other = acquire("b", &store, &clock);
    assert_eq!(other.guard().expect("held").fence, 2);
    drop(keeper);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Advance(u16),
    StoreUnavailable(bool),
    DelayWrite(u16),
    LoseAnswer,
    Pause(u8),
    Resume(u8),
    SlowAnswer(u16),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let ms = u16::arbitrary(g) % 12_000;
        match u8::arbitrary(g) % 16 {
            0 => Self::StoreUnavailable(true),
            1 | 2 => Self::StoreUnavailable(false),
            3 => Self::DelayWrite(ms),
            4 => Self::LoseAnswer,
            5 => Self::Pause(u8::arbitrary(g) % 3),
            6 | 7 => Self::Resume(u8::arbitrary(g) % 3),
            8 => Self::SlowAnswer(ms),
            _ => Self::Advance(ms),
        }
    }
}

/// Three keepers of one lease.
struct Keepers {
    clock: PausedClock,
    last: Option<(usize, u64)>,
    pool: LocalPool,
    processes: Vec<FakeProcess>,
    store: FakeStore,
    handles: Vec<LeaseHandle<PausedClock>>,
}

impl Keepers {
    fn new() -> Self {
        let clock = PausedClock::new();
        let store = FakeStore::new(clock.clone());
        let pool = LocalPool::new();
        let mut processes = Vec::new();
        let mut handles = Vec::new();
        for holder in ["a", "b", "c"] {
            let keeper = Keeper::new(candidate(holder, &store, &clock));
            let process = FakeProcess::new();
            handles.push(keeper.handle());
            pool.spawner()
                .spawn_local(process.clone().run(keeper.run()))
                .expect("the pool runs");
            processes.push(process);
        }
        Self {
            clock,
            last: None,
            pool,
            processes,
            store,
            handles,
        }
    }

    fn apply(&mut self, event: Event) -> bool {
        let faults = &self.store.faults;
        match event {
            Event::Advance(ms) => return self.advance(ms),
            Event::StoreUnavailable(away) => faults.unavailable.set(away),
            Event::DelayWrite(ms) => faults.delay_write.set(Some(millis(ms))),
            Event::LoseAnswer => faults.lose_answer.set(true),
            Event::Pause(index) => {
                self.processes[usize::from(index)].set_state(ProcessState::Frozen)
            }
            Event::Resume(index) => {
                self.processes[usize::from(index)].set_state(ProcessState::Running)
            }
            Event::SlowAnswer(ms) => faults.delay_answer.set(Some(millis(ms))),
        }
        self.is_consistent()
    }

    fn advance(&mut self, ms: u16) -> bool {
        (0..=ms / 250).all(|_| {
            self.clock.advance(millis(250));
            self.is_consistent()
        })
    }

    /// At most one rival may act, and the number grows with each change of holder.
    fn is_consistent(&mut self) -> bool {
        self.pool.run_until_stalled();
        let fences = self.handles.iter().map(|handle| handle.guard().ok());
        let acting: Vec<_> = fences
            .enumerate()
            .filter_map(|(index, guard)| Some((index, guard?.fence)))
            .collect();
        let Some(&(holder, fence)) = acting.first() else {
            return true;
        };
        let grows = self.last.is_none_or(|(last_holder, last_fence)| {
            fence > last_fence || (fence == last_fence && holder == last_holder)
        });
        self.last = Some((holder, fence));
        acting.len() == 1 && grows
    }
}

fn millis(ms: u16) -> Duration {
    Duration::from_millis(u64::from(ms))
}

quickcheck! {
    // Whatever is paused, lost, late or away: two holders at once would give a target opposite
    // orders, and each would take the other's for its own.
    fn never_two_holders(events: Vec<Event>) -> bool {
        let mut keepers = Keepers::new();
        events.into_iter().all(|event| keepers.apply(event))
    }

    // After all faults the lease is held again, or targets would stay as they are for ever.
    fn lease_is_held_again_after_faults(events: Vec<Event>) -> bool {
        let mut keepers = Keepers::new();
        for event in events {
            keepers.apply(event);
        }
        keepers.apply(Event::StoreUnavailable(false));
        (0..3).for_each(|index| { keepers.apply(Event::Resume(index)); });
        (0..6).for_each(|_| { keepers.advance(10_000); });
        keepers.handles.iter().any(|handle| handle.guard().is_ok())
    }
}
