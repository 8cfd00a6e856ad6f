//! A store in memory whose writes of the manifest can fail, and that can come back older.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use indexmap::IndexMap;
use lilaccrank::clock::{self, Clock};
use lilaccrank::configuration::manifest::{self, Manifest};
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::store::{Error, Expect, Result, Store, Version, Versioned};

/// What happens to a write of the manifest.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// It takes effect, and its answer is lost.
    LostAfter,
    /// It takes no effect, and nobody learns that.
    LostBefore,
    /// It is refused for the moment.
    Throttled,
}

pub type Objects = IndexMap<String, Versioned>;

#[derive(Clone)]
pub struct FakeStore {
    clock: PausedClock,
    inner: Rc<RefCell<Inner>>,
}

#[derive(Default)]
struct Inner {
    faults: VecDeque<Fault>,
    manifest_writes: usize,
    objects: Objects,
    out: bool,
    revision: Version,
    silent_watches: usize,
    taken_up: Option<String>,
    wakers: Vec<Waker>,
}

impl FakeStore {
    pub fn new(clock: &PausedClock) -> Self {
        Self {
            clock: clock.clone(),
            inner: Rc::default(),
        }
    }

    /// The next write of the manifest ends in this way.
    pub fn fail_next(&self, fault: Fault) {
        self.inner.borrow_mut().faults.push_back(fault);
    }

    pub fn keys(&self, prefix: &str) -> usize {
        let inner = self.inner.borrow();
        let keys = inner.objects.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    pub fn manifest(&self) -> Option<Manifest> {
        let inner = self.inner.borrow();
        let found = inner.objects.get(manifest::KEY)?;
        Some(serde_json::from_slice(&found.value).unwrap())
    }

    /// Writes of the manifest that took effect.
    pub fn manifest_writes(&self) -> usize {
        self.inner.borrow().manifest_writes
    }

    /// Puts an earlier state back, whose numbers are given out again in a later era.
    pub fn restore(&self, objects: &Objects) {
        let mut inner = self.inner.borrow_mut();
        inner.objects = objects.clone();
        let era = inner.revision.era + 1;
        let objects = inner.objects.values_mut();
        let numbers = objects.map(|object| {
            object.version.era = era;
            object.version.number
        });
        let number = numbers.max().unwrap_or_default();
        inner.revision = Version { era, number };
        inner.wake();
    }

    fn silent(&self) -> bool {
        let mut inner = self.inner.borrow_mut();
        let silent = inner.silent_watches > 0;
        inner.silent_watches -= usize::from(silent);
        silent
    }

    pub fn set_out(&self, out: bool) {
        self.inner.borrow_mut().out = out;
    }

    /// The next watch never answers.
    pub fn silence_next_watch(&self) {
        self.inner.borrow_mut().silent_watches += 1;
    }

    /// Another publisher writes this object again right after the next write of the manifest.
    pub fn take_up(&self, key: &str) {
        self.inner.borrow_mut().taken_up = Some(key.to_owned());
    }

    pub fn snapshot(&self) -> Objects {
        self.inner.borrow().objects.clone()
    }
}

impl Inner {
    fn reach(&self) -> Result<()> {
        if self.out {
            return Err(Error::Unavailable);
        }
        Ok(())
    }

    fn check(&self, key: &str, expect: Expect) -> Result<()> {
        let current = self.objects.get(key).map(|found| found.version);
        let holds = match expect {
            Expect::Absent => current.is_none(),
            Expect::Any => true,
            Expect::Version(version) => current == Some(version),
        };
        holds.then_some(()).ok_or(Error::Conflict { current })
    }

    fn touch_taken_up(&mut self) {
        let Some(key) = self.taken_up.take() else {
            return;
        };
        self.revision.number += 1;
        if let Some(object) = self.objects.get_mut(&key) {
            object.version = self.revision;
        }
    }

    fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>> {
        let_others_run().await;
        let inner = self.inner.borrow();
        inner.reach()?;
        Ok(inner.objects.get(key).cloned())
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<Version> {
        let_others_run().await;
        let mut inner = self.inner.borrow_mut();
        inner.reach()?;
        let is_manifest = key == manifest::KEY;
        let fault = is_manifest.then(|| inner.faults.pop_front()).flatten();
        match fault {
            Some(Fault::LostBefore) => return Err(Error::Unknown),
            Some(Fault::Throttled) => {
                let retry_after = Duration::from_millis(10);
                return Err(Error::Throttled { retry_after });
            }
            Some(Fault::LostAfter) | None => (),
        }
        let checked = inner.check(key, expect);
        if checked.is_ok() {
            inner.revision.number += 1;
            let version = inner.revision;
            let object = Versioned { value, version };
            inner.objects.insert(key.to_owned(), object);
            if is_manifest {
                inner.manifest_writes += 1;
                inner.touch_taken_up();
            }
            inner.wake();
        }
        if fault == Some(Fault::LostAfter) {
            return Err(Error::Unknown);
        }
        checked.map(|()| inner.revision)
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        let mut inner = self.inner.borrow_mut();
        inner.reach()?;
        inner.check(key, expect)?;
        inner.objects.shift_remove(key);
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        seen: Option<Version>,
        wait: Duration,
    ) -> Result<Option<Versioned>> {
        if self.silent() {
            return future::pending().await;
        }
        let changed = future::poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            let current = inner.objects.get(key).map(|found| found.version);
            if inner.out || current != seen {
                return Poll::Ready(());
            }
            inner.wakers.push(cx.waker().clone());
            Poll::Pending
        });
        clock::timeout(&self.clock, wait, changed).await;
        self.get(key).await
    }
}

/// Calls take time: without this, one of two racing publishers would end before the other began.
async fn let_others_run() {
    let mut polled = false;
    future::poll_fn(|cx| {
        if std::mem::replace(&mut polled, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Runs a future to its end, advancing the clock whenever everything waits for it.
pub fn run<T: 'static>(clock: &PausedClock, fut: impl Future<Output = T> + 'static) -> T {
    run_beside(clock, future::ready(()), fut)
}

/// The same, beside a task that may never end.
pub fn run_beside<B: 'static, T: 'static>(
    clock: &PausedClock,
    background: impl Future<Output = B> + 'static,
    fut: impl Future<Output = T> + 'static,
) -> T {
    let mut pool = LocalPool::new();
    let background = background.map(drop);
    pool.spawner().spawn_local(background).unwrap();
    let mut handle = pool.spawner().spawn_local_with_handle(fut).unwrap();
    let start = clock.now();
    loop {
        pool.run_until_stalled();
        let mut cx = std::task::Context::from_waker(Waker::noop());
        if let Poll::Ready(output) = std::pin::Pin::new(&mut handle).poll(&mut cx) {
            return output;
        }
        clock.advance(Duration::from_millis(20));
        let elapsed = clock.now() - start;
        assert!(elapsed < Duration::from_secs(300), "it never ends");
    }
}
