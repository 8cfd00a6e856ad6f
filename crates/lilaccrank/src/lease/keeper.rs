//! Keeping a lease: a task that takes it, renews it and takes it again when it was lost.

use std::cell::Cell;
use std::rc::Rc;

use super::candidate::Candidate;
use super::held::Renewal;
use super::{Error, Guard, Guards, Lease, Result};
use crate::clock::Clock;
use crate::store::Store;

/// Renewals per duration, so that two may fail before the lease is lost.
const RENEWALS_PER_DURATION: u32 = 4;

/// The task that keeps one lease.
pub struct Keeper<S, C> {
    candidate: Lease<Candidate, S, C>,
    tenure: Tenure<C>,
}

/// What a [`Keeper`] holds at the moment; clones share it.
#[derive(Clone)]
pub struct Tenure<C> {
    clock: C,
    guard: Rc<Cell<Option<Guard>>>,
    key: Rc<str>,
}

impl<S: Store, C: Clock> Keeper<S, C> {
    /// Will keep the lease of `candidate` once it runs.
    pub fn new(candidate: Lease<Candidate, S, C>) -> Self {
        let tenure = Tenure {
            clock: candidate.context.clock.clone(),
            guard: Rc::default(),
            key: candidate.context.key.as_str().into(),
        };
        Self { candidate, tenure }
    }

    /// The handle under which others act.
    #[must_use]
    pub fn tenure(&self) -> Tenure<C> {
        self.tenure.clone()
    }

    /// Takes and renews the lease until dropped; it then ends by time.
    pub async fn run(self) {
        let Self {
            mut candidate,
            tenure,
        } = self;
        loop {
            let mut held = candidate.acquire().await;
            let lost = loop {
                tenure.guard.set(held.guard().ok());
                let wait = held.context.cfg.duration / RENEWALS_PER_DURATION;
                tenure.clock.sleep(wait).await;
                match held.renew().await {
                    Renewal::Held(renewed) => held = renewed,
                    Renewal::Lost(lost) => break lost,
                }
            };
            log::warn!("lease {}: lost, {}", tenure.key, lost.reason());
            tenure.guard.set(None);
            candidate = lost.retry();
        }
    }
}

impl<C: Clock> Guards for Tenure<C> {
    fn guard(&self) -> Result<Guard> {
        let now = self.clock.now();
        let guard = self.guard.get().filter(|guard| now < guard.until);
        guard.ok_or_else(|| Error::NotHeld(self.key.to_string()))
    }
}
