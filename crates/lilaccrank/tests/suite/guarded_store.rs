//! Tests of many clients during an outage of the store and after it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use lilaccrank::clock::Clock;
use lilaccrank::guarded_store::{GuardedStore, Settings};
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::store::{Error, Expect, Store};

use crate::fake_store::FakeStore;

const CLIENTS: usize = 64;
const OUTAGE: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(10);
const KEY: &str = "rules";

/// Calls that the store received, and the time until all clients had recovered.
#[derive(Debug)]
struct OutageReport {
    peak_calls_per_100_ms: usize,
    calls_in_outage: usize,
    recovered_after: Duration,
}

/// Reads once per second, or every 100 ms after a failure.
async fn poll<S: Store>(store: S, clock: PausedClock, last_read: Rc<Cell<Duration>>) {
    loop {
        let wait = match store.get(KEY).await {
            Ok(_) => {
                last_read.set(clock.elapsed());
                Duration::from_secs(1)
            }
            Err(_) => Duration::from_millis(100),
        };
        clock.sleep(wait).await;
    }
}

fn simulate_outage<S: Store>(guard: impl Fn(FakeStore, PausedClock) -> S) -> OutageReport {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    let mut pool = LocalPool::new();
    let mut last_reads = Vec::new();
    for _ in 0..CLIENTS {
        let last_read = Rc::new(Cell::new(Duration::ZERO));
        last_reads.push(Rc::clone(&last_read));
        let work = poll(
            guard(store.clone(), clock.clone()),
            clock.clone(),
            last_read,
        );
        pool.spawner().spawn_local(work).expect("the pool runs");
    }
    // All clients poll in step, like daemons that reacted to one event or started together.
    advance(&mut pool, &clock, Duration::from_secs(5));
    store.faults.unavailable.set(true);
    store.faults.calls.borrow_mut().clear();
    advance(&mut pool, &clock, OUTAGE);
    let calls_in_outage = store.faults.calls.take().len();
    store.faults.unavailable.set(false);
    let recovered_at = clock.elapsed();
    advance(&mut pool, &clock, Duration::from_millis(100));
    while last_reads.iter().any(|read| read.get() < recovered_at) {
        advance(&mut pool, &clock, STEP);
    }
    OutageReport {
        peak_calls_per_100_ms: max_calls_per_100_ms(&store.faults.calls.borrow()),
        calls_in_outage,
        recovered_after: clock.elapsed() - recovered_at,
    }
}

fn max_calls_per_100_ms(calls: &[Duration]) -> usize {
    let window = Duration::from_millis(100);
    let count = |first: &Duration| {
        let in_window = calls
            .iter()
            .filter(|at| **at >= *first && **at < *first + window);
        in_window.count()
    };
    calls.iter().map(count).max().unwrap_or(0)
}

fn advance(pool: &mut LocalPool, clock: &PausedClock, duration: Duration) {
    let until = clock.elapsed() + duration;
    while clock.elapsed() < until {
        clock.advance(STEP);
        pool.run_until_stalled();
    }
}

// The store is unavailable for a minute while 64 clients keep polling. Unguarded, each calls ten
// times per second, and all calls reach the recovered store within 100 ms, which can overload it
// again. Guarded clients call rarely and not in step.
#[test]
fn recovering_store_is_not_overloaded() {
    let unguarded = simulate_outage(|store, _| store);
    let guarded =
        simulate_outage(|store, clock| GuardedStore::new(Settings::default(), store, clock));
    println!("unguarded {unguarded:?}\nguarded {guarded:?}");
    assert!(guarded.calls_in_outage * 10 < unguarded.calls_in_outage);
    assert!(guarded.peak_calls_per_100_ms * 2 < unguarded.peak_calls_per_100_ms);
    assert!(guarded.recovered_after < Duration::from_secs(10));
}

fn guarded(store: &FakeStore, clock: &PausedClock) -> GuardedStore<FakeStore, PausedClock> {
    GuardedStore::new(Settings::default(), store.clone(), clock.clone())
}

// The answer to a write is lost after the write took effect. If the wrapper repeated the write, it
// would conflict with itself and the caller would take its own publication for another's.
#[test]
fn write_without_answer_is_not_repeated() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    store.faults.lose_answer.set(true);
    let write = guarded(&store, &clock);
    let write = write.put(KEY, Bytes::new(), Expect::Absent);
    assert_eq!(write.now_or_never(), Some(Err(Error::Unknown)));
    assert_eq!(store.faults.calls.borrow().len(), 1);
}

// The store accepts connections but does not answer. Each call must time out. After a few of them
// further calls must fail at once and without effect, so that callers can refuse requests that
// need the store instead of waiting for it.
#[test]
fn silent_store_opens_the_circuit() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    store.faults.unresponsive.set(true);
    let client = guarded(&store, &clock);
    let mut pool = LocalPool::new();
    for _ in 0..4 {
        let client = client.clone();
        let call = async move { drop(client.put(KEY, Bytes::new(), Expect::Any).await) };
        pool.spawner().spawn_local(call).expect("the pool runs");
    }
    pool.run_until_stalled();
    advance(&mut pool, &clock, Settings::default().call_timeout);
    assert_eq!(
        client.get(KEY).now_or_never(),
        Some(Err(Error::Unavailable))
    );
    assert_eq!(store.faults.calls.borrow().len(), 4);
}

// The trial call is a watch on an object that never changes. While it waits, all other calls are
// rejected although the store has recovered, so the wait must be short.
#[test]
fn watch_as_trial_keeps_the_circuit_half_open_briefly() {
    let clock = PausedClock::new();
    let store = FakeStore::new(clock.clone());
    let client = guarded(&store, &clock);
    store.faults.unavailable.set(true);
    let mut pool = LocalPool::new();
    let reader = client.clone();
    let reads = async move {
        for _ in 0..4 {
            assert!(reader.get(KEY).await.is_err());
        }
    };
    pool.spawner().spawn_local(reads).expect("the pool runs");
    advance(&mut pool, &clock, Duration::from_secs(20));
    let watcher = client.clone();
    store.faults.unavailable.set(false);
    let watch = async move { drop(watcher.watch(KEY, None, Duration::from_secs(60)).await) };
    pool.spawner().spawn_local(watch).expect("the pool runs");
    advance(&mut pool, &clock, Duration::from_secs(1));
    assert_eq!(client.get(KEY).now_or_never(), Some(Ok(None)));
}
