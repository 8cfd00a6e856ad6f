//! A store behind a circuit and a budget of retries.
//!
//! A cut-off data centre keeps asking for a store that does not answer, and when the store comes
//! back every client asks at once. Behind this wrapper the calls of each client stop while the
//! store is away, and come back one trial at a time, spread evenly.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::backoff::Backoff;
use crate::circuit_breaker::{self, CircuitBreaker, Permit};
use crate::clock::{self, Clock};
use crate::retry_budget::{self, RetryBudget};
use crate::store::{Error, Expect, Result, Store, Version, Versioned};

/// Longest wait of a watch that is the trial of a half-open circuit. A quiet object would
/// otherwise keep the circuit half open for as long as the watch, and all other calls out.
const MAX_TRIAL_WATCH: Duration = Duration::from_millis(500);

/// Circuit, budget and tries of a guarded store.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The retry budget.
    pub budget: retry_budget::Settings,
    /// Longest wait for an answer; a watch may take its own time besides.
    pub call_timeout: Duration,
    /// The circuit.
    pub circuit: circuit_breaker::Settings,
    /// Ceiling of the first wait between tries.
    pub initial_wait: Duration,
    /// Highest ceiling of a wait.
    pub max_wait: Duration,
    /// Tries of one call, the first included.
    pub max_attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            budget: retry_budget::Settings::default(),
            call_timeout: Duration::from_secs(2),
            circuit: circuit_breaker::Settings::default(),
            initial_wait: Duration::from_millis(50),
            max_wait: Duration::from_secs(1),
            max_attempts: 3,
        }
    }
}

/// A store whose calls are limited while it fails; clones share the limits.
#[derive(Clone)]
pub struct GuardedStore<S, C> {
    budget: Rc<RefCell<RetryBudget>>,
    cfg: Settings,
    circuit: CircuitBreaker<C>,
    clock: C,
    store: S,
}

/// Whether a call may be made again after [`Error::Unknown`].
#[derive(Clone, Copy, Eq, PartialEq)]
enum CallKind {
    Read,
    /// It may have taken effect: only its caller can tell by reading back.
    Write,
}

impl<S: Store, C: Clock> GuardedStore<S, C> {
    /// Guards `store`.
    pub fn new(cfg: Settings, store: S, clock: C) -> Self {
        let budget = RetryBudget::new(cfg.budget.clone(), clock.now());
        Self {
            budget: Rc::new(RefCell::new(budget)),
            circuit: CircuitBreaker::new(cfg.circuit.clone(), clock.clone()),
            cfg,
            clock,
            store,
        }
    }

    /// `once` makes the call; it is given how long the store may wait before it answers.
    async fn call<T, F>(
        &self,
        kind: CallKind,
        wait: Duration,
        attempt: impl Fn(Duration) -> F,
    ) -> Result<T>
    where
        F: Future<Output = Result<T>>,
    {
        self.budget.borrow_mut().record_call();
        let mut backoff = Backoff::new(self.cfg.initial_wait, self.cfg.max_wait);
        let mut attempts = 1;
        loop {
            // An open circuit ends the call: retries against it would only use up the budget.
            let Ok(permit) = self.circuit.permit() else {
                return Err(Error::Unavailable);
            };
            let wait = if permit.is_trial() {
                wait.min(MAX_TRIAL_WATCH)
            } else {
                wait
            };
            let limit = wait + self.cfg.call_timeout;
            let answer = clock::timeout(&self.clock, limit, attempt(wait)).await;
            let outcome = answer.unwrap_or(Err(Error::Unknown));
            record_outcome(permit, &outcome);
            let Some(min_wait) = retry_after(kind, &outcome) else {
                return outcome;
            };
            if attempts >= self.cfg.max_attempts
                || !self.budget.borrow_mut().try_retry(self.clock.now())
            {
                return outcome;
            }
            self.clock.sleep(min_wait + backoff.next_wait()).await;
            attempts += 1;
        }
    }
}

/// Tells the circuit what came of a call. A conflict is an answer like any other.
fn record_outcome<T, C: Clock>(permit: Permit<C>, outcome: &Result<T>) {
    match outcome {
        Ok(_) | Err(Error::Conflict { .. } | Error::TooLarge { .. }) => permit.succeeded(),
        Err(Error::Throttled { retry_after }) => permit.failed(*retry_after),
        Err(Error::Unavailable | Error::Unknown) => permit.failed(Duration::ZERO),
    }
}

/// Least wait before the call may be made again; `None` if its outcome stands.
fn retry_after<T>(kind: CallKind, outcome: &Result<T>) -> Option<Duration> {
    match outcome {
        Err(Error::Throttled { retry_after }) => Some(*retry_after),
        Err(Error::Unavailable) => Some(Duration::ZERO),
        Err(Error::Unknown) if kind == CallKind::Read => Some(Duration::ZERO),
        _ => None,
    }
}

impl<S: Store, C: Clock> Store for GuardedStore<S, C> {
    async fn get(&self, key: &str) -> Result<Option<Versioned>> {
        self.call(CallKind::Read, Duration::ZERO, |_| self.store.get(key))
            .await
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<Version> {
        self.call(CallKind::Write, Duration::ZERO, |_| {
            self.store.put(key, value.clone(), expect)
        })
        .await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        self.call(CallKind::Write, Duration::ZERO, |_| {
            self.store.delete(key, expect)
        })
        .await
    }

    async fn watch(
        &self,
        key: &str,
        seen: Option<Version>,
        wait: Duration,
    ) -> Result<Option<Versioned>> {
        self.call(CallKind::Read, wait, |wait| {
            self.store.watch(key, seen, wait)
        })
        .await
    }
}
