//! Leases under pauses, lost replies and store outages: there are never two holders at once.

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
        Attempt::Wait(..) => panic!("{holder} did not acquire the lease"),
    }
}

fn renew(held: HeldLease) -> HeldLease {
    match executor::block_on(held.renew()) {
        Renewal::Held(held) => held,
        Renewal::Lost(lost) => panic!("lost: {}", lost.reason()),
    }
}

// The write that acquires the lease takes effect, but the reply is lost. Without reading back, the
// holder would not know that it holds the lease, and nobody could send orders until it expires.
#[test]
fn lost_answer_to_acquiring_is_resolved_by_reading_back() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    store.faults.lose_answer.set(true);
    let Attempt::Wait(retry, _) = executor::block_on(candidate("a", &store, &clock).attempt())
    else {
        panic!("held without a reply from the store");
    };
    clock.advance(Duration::from_secs(1));
    let Attempt::Held(held) = executor::block_on(retry.attempt()) else {
        panic!("did not recognise its own write");
    };
    let guard = held.guard().expect("held");
    assert_eq!(guard.fence, 1, "the lease was acquired twice");
    let remaining = held.expires_at() - clock.now();
    assert_eq!(
        remaining,
        Duration::from_secs(10 - 1 - 1),
        "the lease must expire relative to the first write"
    );
}

// The reply to a renewal is lost after the version has changed. Without reading back, the next
// renewal at the old version would conflict, as if another process had acquired the lease.
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

// The holder is paused for longer than the lease duration while it waits for the reply to its
// renewal, and then reads a successful reply. Another process may hold the lease by then, so the
// expiry must not be computed from the time at which the holder resumed.
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
        panic!("still held 11 s after the expiry");
    };
    assert_eq!(lost.reason().to_string(), "not renewed in time");
}

// A target has accepted fencing number 1000 when the store is wiped. The daemon that acquires the
// lease next has just started and has seen no number. If it used 1, the target would refuse all its
// orders, and those of its successors, permanently.
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

// The duty moves to another daemon, and the first one releases the lease. From then on it must not
// act, and the other one must be able to acquire the lease at once, without waiting for its expiry.
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
    assert!(
        handle.guard().is_err(),
        "the handle still permits orders after the release"
    );
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

/// Three processes that compete for one lease, each with its own keeper.
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

    /// Returns `true` if at most one process may act and the fencing number has grown with each
    /// change of holder.
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
    // Two holders at once would send a target contradictory orders. No sequence of pauses, lost
    // replies, delays and outages may lead to that.
    fn never_two_holders(events: Vec<Event>) -> bool {
        let mut keepers = Keepers::new();
        events.into_iter().all(|event| keepers.apply(event))
    }

    // After all faults have ended the lease must be held again, or targets would get no more
    // orders.
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
