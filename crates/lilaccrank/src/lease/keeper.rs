//! Keeping a lease: a task that takes it, renews it and takes it again when it was lost.

use std::cell::Cell;
use std::future::{self, Future};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::FusedFuture;

use super::candidate::{Attempt, Candidate};
use super::held::{Held, Lost, Renewal};
use super::{Error, Fence, Guard, GuardSource, Lease, Result};
use crate::clock::{self, Clock};
use crate::store::Store;

/// Renewals per duration, so that two may fail before the lease is lost.
const RENEWALS_PER_DURATION: u32 = 4;

/// The task that keeps one lease.
pub struct Keeper<S, C> {
    candidate: Lease<Candidate, S, C>,
    handle: LeaseHandle<C>,
}

/// What a [`Keeper`] holds at the moment; clones share it.
#[derive(Clone)]
pub struct LeaseHandle<C> {
    clock: C,
    guard: Rc<Cell<Option<Guard>>>,
    key: Rc<str>,
}

impl<S: Store, C: Clock> Keeper<S, C> {
    /// Will keep the lease of `candidate` once it runs.
    pub fn new(candidate: Lease<Candidate, S, C>) -> Self {
        let handle = LeaseHandle {
            clock: candidate.context.clock.clone(),
            guard: Rc::default(),
            key: candidate.context.key.as_str().into(),
        };
        Self { candidate, handle }
    }

    /// The handle under which others act.
    #[must_use]
    pub fn handle(&self) -> LeaseHandle<C> {
        self.handle.clone()
    }

    /// Takes and renews the lease until dropped; it then ends by time.
    pub async fn run(self) {
        drop(self.run_until(future::pending()).await);
    }

    /// Takes and renews the lease until `stop` completes, and then gives it up, so that another
    /// need not wait for its end. What this keeper has learnt of fencing numbers stays with it:
    /// run it again rather than make a second candidate.
    #[must_use = "the keeper can be run again"]
    pub async fn run_until(mut self, stop: impl Future<Output = ()>) -> Self {
        let mut stop = pin!(stop.fuse());
        loop {
            // An attempt is not cut short: a write under way may take effect all the same, and
            // only its outcome tells whether there is a lease to give up.
            match self.candidate.attempt().await {
                Attempt::Held(held) => match hold(&self.handle, held, stop.as_mut()).await {
                    Ended::Lost(lost) => self.candidate = lost.retry(),
                    Ended::Stopped(lost) => {
                        self.candidate = lost.retry();
                        return self;
                    }
                },
                Attempt::Wait(candidate, wait) => {
                    self.candidate = candidate;
                    if stopped_within(&self.handle.clock, wait, stop.as_mut()).await {
                        return self;
                    }
                }
            }
        }
    }
}

/// How a tenure ended.
enum Ended<S, C> {
    Lost(Lease<Lost, S, C>),
    Stopped(Lease<Lost, S, C>),
}

async fn hold<S: Store, C: Clock>(
    handle: &LeaseHandle<C>,
    mut held: Lease<Held, S, C>,
    mut stop: Pin<&mut impl FusedFuture<Output = ()>>,
) -> Ended<S, C> {
    let wait = held.context.cfg.duration / RENEWALS_PER_DURATION;
    loop {
        // A stop may have come during the attempt; then nobody must begin to act.
        if stopped_within(&handle.clock, Duration::ZERO, stop.as_mut()).await {
            break;
        }
        handle.guard.set(held.guard().ok());
        if stopped_within(&handle.clock, wait, stop.as_mut()).await {
            break;
        }
        match held.renew().await {
            Renewal::Held(renewed) => held = renewed,
            Renewal::Lost(lost) => {
                log::warn!("lease {}: lost, {}", handle.key, lost.reason());
                handle.guard.set(None);
                return Ended::Lost(lost);
            }
        }
    }
    handle.guard.set(None);
    Ended::Stopped(held.release().await)
}

/// Sleeps; true if `stop` completes first or has completed.
async fn stopped_within<C: Clock>(
    clock: &C,
    wait: Duration,
    mut stop: Pin<&mut impl FusedFuture<Output = ()>>,
) -> bool {
    if stop.is_terminated() {
        return true;
    }
    clock::timeout(clock, wait, stop.as_mut()).await.is_some()
}

impl<C: Clock> LeaseHandle<C> {
    /// Leave to go on with an act that was begun under this number.
    pub fn guard_for(&self, fence: Fence) -> Result<Guard> {
        let guard = self.guard()?;
        if guard.fence != fence {
            return Err(Error::NotHeld(self.key.to_string()));
        }
        Ok(guard)
    }
}

impl<C: Clock> GuardSource for LeaseHandle<C> {
    fn guard(&self) -> Result<Guard> {
        let now = self.clock.now();
        let guard = self.guard.get().filter(|guard| now < guard.expires_at);
        guard.ok_or_else(|| Error::NotHeld(self.key.to_string()))
    }
}
