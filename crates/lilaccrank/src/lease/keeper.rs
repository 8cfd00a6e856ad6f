//! A task that acquires a lease, renews it, and acquires it again after a loss.

use std::cell::Cell;
use std::future::{self, Future};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::FusedFuture;

use super::candidate::{Attempt, Candidate};
use super::held::{Held, Lost, Renewal};
use super::{Error, Guard, GuardSource, Lease, Result};
use crate::clock::{self, Clock};
use crate::store::Store;

/// Number of renewals per lease duration: two may fail before the lease is lost.
const RENEWALS_PER_DURATION: u32 = 4;

/// The task that keeps one lease held.
pub struct Keeper<S, C> {
    candidate: Lease<Candidate, S, C>,
    handle: LeaseHandle<C>,
}

/// Handle to the lease of a [`Keeper`], under which other tasks act. Clones share its state.
#[derive(Clone)]
pub struct LeaseHandle<C> {
    clock: C,
    guard: Rc<Cell<Option<Guard>>>,
    key: Rc<str>,
}

impl<S: Store, C: Clock> Keeper<S, C> {
    /// Creates a keeper for the lease of `candidate`. It does nothing until it is run.
    pub fn new(candidate: Lease<Candidate, S, C>) -> Self {
        let handle = LeaseHandle {
            clock: candidate.context.clock.clone(),
            guard: Rc::default(),
            key: candidate.context.key.as_str().into(),
        };
        Self { candidate, handle }
    }

    /// Returns a handle under which other tasks act.
    #[must_use]
    pub fn handle(&self) -> LeaseHandle<C> {
        self.handle.clone()
    }

    /// Acquires and renews the lease until the future is dropped; the lease then expires.
    pub async fn run(self) {
        drop(self.run_until(future::pending()).await);
    }

    /// Acquires and renews the lease until `stop` completes, and then releases it, so that another
    /// process need not wait for its expiry. The returned keeper knows the highest fencing number
    /// seen: run it again instead of creating another candidate.
    #[must_use = "the keeper can be run again"]
    pub async fn run_until(mut self, stop: impl Future<Output = ()>) -> Self {
        let mut stop = pin!(stop.fuse());
        loop {
            // An attempt is not cancelled: its write may still take effect, and only the outcome
            // shows whether there is a lease to release.
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

/// Why the keeper stopped holding the lease.
enum Ended<S, C> {
    Lost(Lease<Lost, S, C>),
    Stopped(Lease<Lost, S, C>),
}

/// Renews the lease until it is lost or `stop` completes.
async fn hold<S: Store, C: Clock>(
    handle: &LeaseHandle<C>,
    mut held: Lease<Held, S, C>,
    mut stop: Pin<&mut impl FusedFuture<Output = ()>>,
) -> Ended<S, C> {
    let wait = held.context.cfg.duration / RENEWALS_PER_DURATION;
    loop {
        // `stop` may have completed during the attempt; no task may act under the lease then.
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

/// Waits for `wait`. Returns `true` if `stop` completes before that or has already completed.
async fn stopped_within<C: Clock>(
    clock: &C,
    wait: Duration,
    mut stop: Pin<&mut impl FusedFuture<Output = ()>>,
) -> bool {
    if stop.is_terminated() {
        return true;
    }
    clock::hard_timeout(clock, wait, stop.as_mut())
        .await
        .is_some()
}

impl<C: Clock> GuardSource for LeaseHandle<C> {
    fn guard(&self) -> Result<Guard> {
        let now = self.clock.now();
        let guard = self.guard.get().filter(|guard| now < guard.expires_at);
        guard.ok_or_else(|| Error::NotHeld(self.key.to_string()))
    }
}
