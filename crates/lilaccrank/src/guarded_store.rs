//! A store client with a circuit breaker and a retry budget.
//!
//! While the store can't be reached, for instance from a data centre that is cut off, clients
//! would keep calling it, and all would call at once when it recovers. This wrapper suspends the
//! calls of each client during an outage and resumes them one trial call at a time, with jitter.

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

/// Maximum wait of a watch that is the trial call. A watch on an object that doesn't change would
/// otherwise keep the circuit breaker half open, and reject all other calls, for its whole
/// duration.
const MAX_TRIAL_WATCH: Duration = Duration::from_millis(500);

/// Settings of a [`GuardedStore`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retry budget.
    pub budget: retry_budget::Settings,
    /// Timeout of a call; the wait of a watch is added to it.
    pub call_timeout: Duration,
    /// Circuit breaker.
    pub circuit: circuit_breaker::Settings,
    /// Ceiling of the first wait between attempts.
    pub initial_wait: Duration,
    /// Maximum ceiling of a wait between attempts.
    pub max_wait: Duration,
    /// Maximum number of attempts of one call, including the first.
    pub attempt_limit: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            budget: retry_budget::Settings::default(),
            call_timeout: Duration::from_secs(2),
            circuit: circuit_breaker::Settings::default(),
            initial_wait: Duration::from_millis(50),
            max_wait: Duration::from_secs(1),
            attempt_limit: 3,
        }
    }
}

/// A store client that limits its calls while the store fails; clones share the limits.
#[derive(Clone)]
pub struct GuardedStore<S, C> {
    budget: Rc<RefCell<RetryBudget>>,
    cfg: Settings,
    circuit: CircuitBreaker<C>,
    clock: C,
    store: S,
}

/// Kind of a call, which decides whether it may be retried after [`Error::Unknown`].
#[derive(Clone, Copy, Eq, PartialEq)]
enum CallKind {
    Read,
    /// Not retried: it may have taken effect, which only the caller can find out by reading back.
    Write,
}

impl<S: Store, C: Clock> GuardedStore<S, C> {
    /// Wraps `store`.
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

    /// Calls `attempt` until its result is final. `attempt` gets the time for which the store may
    /// delay its answer.
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
            // Retries against an open circuit breaker would only use up the budget.
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
            if attempts >= self.cfg.attempt_limit
                || !self.budget.borrow_mut().try_retry(self.clock.now())
            {
                return outcome;
            }
            self.clock.sleep(min_wait + backoff.next_wait()).await;
            attempts += 1;
        }
    }
}

/// Reports the outcome of a call to the circuit breaker. A conflict shows that the store works.
fn record_outcome<T, C: Clock>(permit: Permit<C>, outcome: &Result<T>) {
    match outcome {
        Ok(_) | Err(Error::Conflict { .. } | Error::TooLarge { .. }) => permit.succeeded(),
        Err(Error::Throttled { retry_after }) => permit.failed(*retry_after),
        Err(Error::Unavailable | Error::Unknown) => permit.failed(Duration::ZERO),
    }
}

/// Minimum wait before the call may be retried; `None` if its outcome is final.
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
