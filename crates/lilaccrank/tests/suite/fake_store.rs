//! An in-memory store that can be unavailable, lose answers or delay writes.

use std::cell::{Cell, RefCell};
use std::future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use lilaccrank::clock::Clock;
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::store::{Error, Expect, Result, Store, Version, Versioned};

#[derive(Clone)]
pub struct FakeStore {
    clock: PausedClock,
    pub faults: Rc<Faults>,
    delayed: Rc<RefCell<Vec<DelayedWrite>>>,
    objects: Rc<RefCell<IndexMap<String, Versioned>>>,
    revision: Rc<Cell<Version>>,
}

/// A write that has not taken effect yet.
struct DelayedWrite {
    at: Duration,
    expect: Expect,
    key: String,
    value: Bytes,
}

/// Faults to inject, none by default, and a record of the calls.
#[derive(Default)]
pub struct Faults {
    /// Calls fail with [`Error::Unavailable`] and have no effect.
    pub unavailable: Cell<bool>,
    /// Times of all calls, measured from the start of the clock.
    pub calls: RefCell<Vec<Duration>>,
    /// The next write takes effect after this delay, and its answer is lost.
    pub delay_write: Cell<Option<Duration>>,
    /// The next write takes effect, but its answer is lost.
    pub lose_answer: Cell<bool>,
    /// Calls are never answered and have no effect.
    pub unresponsive: Cell<bool>,
    /// The answer to the next write arrives after this delay.
    pub delay_answer: Cell<Option<Duration>>,
}

impl FakeStore {
    pub fn new(clock: PausedClock) -> Self {
        Self {
            clock,
            faults: Rc::default(),
            delayed: Rc::default(),
            objects: Rc::default(),
            revision: Rc::default(),
        }
    }

    async fn call(&self) -> Result<()> {
        let now = self.clock.elapsed();
        self.faults.calls.borrow_mut().push(now);
        let due: Vec<_> = self
            .delayed
            .borrow_mut()
            .extract_if(.., |write| write.at <= now)
            .collect();
        for DelayedWrite {
            expect, key, value, ..
        } in due
        {
            // The caller has already got `Error::Unknown`.
            let _ = self.write(&key, value, expect);
        }
        if self.faults.unresponsive.get() {
            future::pending::<()>().await;
        }
        if self.faults.unavailable.get() {
            return Err(Error::Unavailable);
        }
        Ok(())
    }

    fn check(&self, key: &str, expect: Expect) -> Result<()> {
        let current = self.objects.borrow().get(key).map(|object| object.version);
        let holds = match expect {
            Expect::Absent => current.is_none(),
            Expect::Any => true,
            Expect::Version(version) => current == Some(version),
        };
        holds.then_some(()).ok_or(Error::Conflict { current })
    }

    fn write(&self, key: &str, value: Bytes, expect: Expect) -> Result<Version> {
        self.check(key, expect)?;
        let mut version = self.revision.get();
        version.number += 1;
        self.revision.set(version);
        let object = Versioned { value, version };
        self.objects.borrow_mut().insert(key.to_owned(), object);
        Ok(version)
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>> {
        self.call().await?;
        Ok(self.objects.borrow().get(key).cloned())
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<Version> {
        self.call().await?;
        if let Some(delay) = self.faults.delay_write.take() {
            let at = self.clock.elapsed() + delay;
            let write = DelayedWrite {
                at,
                expect,
                key: key.to_owned(),
                value,
            };
            self.delayed.borrow_mut().push(write);
            return Err(Error::Unknown);
        }
        let written = self.write(key, value, expect)?;
        if self.faults.lose_answer.take() {
            return Err(Error::Unknown);
        }
        if let Some(delay) = self.faults.delay_answer.take() {
            self.clock.sleep(delay).await;
        }
        Ok(written)
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        self.call().await?;
        self.check(key, expect)?;
        self.objects.borrow_mut().swap_remove(key);
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        seen: Option<Version>,
        wait: Duration,
    ) -> Result<Option<Versioned>> {
        let now = self.get(key).await?;
        if now.as_ref().map(|object| object.version) == seen {
            self.clock.sleep(wait).await;
            return self.get(key).await;
        }
        Ok(now)
    }
}
