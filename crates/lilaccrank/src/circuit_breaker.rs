//! A circuit breaker that opens by failure rate and lets single trial calls through.
//!
//! Calls to a failing destination cost time and slow its recovery. An open circuit breaker
//! rejects calls at once. After a wait with full jitter, which keeps many clients from returning
//! together, it lets one trial call through; the outcome closes the circuit breaker or opens it
//! for longer.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::backoff::Backoff;
use crate::clock::Clock;

/// Result of asking for a [`Permit`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The circuit breaker rejects calls at the moment.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("circuit is open, try again in {retry_after:?}")]
pub struct Error {
    /// Time after which a call may be let through.
    pub retry_after: Duration,
}

/// When a circuit breaker opens and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of failed calls, from 0 to 1, at which it opens.
    pub failure_rate: f64,
    /// Ceiling of the first wait while open; it doubles with each failed trial.
    pub initial_wait: Duration,
    /// Maximum ceiling of a wait.
    pub max_wait: Duration,
    /// Number of calls in the window below which the failure rate is ignored.
    pub min_calls: u32,
    /// Time for which an outcome counts towards the failure rate.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failure_rate: 0.5,
            initial_wait: Duration::from_secs(1),
            max_wait: Duration::from_secs(8),
            min_calls: 4,
            window: Duration::from_secs(10),
        }
    }
}

/// A circuit breaker for one destination; clones share its state.
#[derive(Clone)]
pub struct CircuitBreaker<C> {
    clock: C,
    inner: Rc<RefCell<Inner>>,
}

struct Inner {
    backoff: Backoff,
    cfg: Settings,
    state: State,
    window: Window,
}

enum State {
    Closed,
    /// One trial call is in progress.
    HalfOpen,
    Open {
        until: Instant,
    },
}

/// Permission for one call. Report the outcome with [`failed`](Self::failed) or
/// [`succeeded`](Self::succeeded); a permit dropped without an outcome does not count.
#[must_use]
pub struct Permit<C: Clock> {
    circuit: CircuitBreaker<C>,
    reported: bool,
    trial: bool,
}

/// Outcomes of the last calls.
struct Window {
    length: Duration,
    outcomes: VecDeque<Outcome>,
}

struct Outcome {
    at: Instant,
    failed: bool,
}

/// Maximum number of outcomes in the window; more would only make the rate more precise.
const MAX_OUTCOMES: usize = 256;

/// `retry_after` of calls that are rejected while a trial call is in progress.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(200);

impl<C: Clock> CircuitBreaker<C> {
    /// Creates a closed circuit breaker.
    pub fn new(cfg: Settings, clock: C) -> Self {
        let inner = Inner {
            backoff: Backoff::new(cfg.initial_wait, cfg.max_wait),
            state: State::Closed,
            window: Window {
                length: cfg.window,
                outcomes: VecDeque::new(),
            },
            cfg,
        };
        Self {
            clock,
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Asks for permission to make one call.
    ///
    /// # Errors
    ///
    /// Returns an error while the circuit breaker is open or a trial call is in progress.
    pub fn permit(&self) -> Result<Permit<C>> {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        let trial = match inner.state {
            State::Closed => false,
            State::HalfOpen => {
                return Err(Error {
                    retry_after: TRIAL_RETRY_AFTER,
                });
            }
            State::Open { until } if now < until => {
                return Err(Error {
                    retry_after: until - now,
                });
            }
            State::Open { .. } => {
                inner.state = State::HalfOpen;
                true
            }
        };
        Ok(Permit {
            circuit: self.clone(),
            reported: false,
            trial,
        })
    }
}

impl Inner {
    fn open(&mut self, now: Instant, min_wait: Duration) {
        let until = now + min_wait + self.backoff.next_wait();
        self.state = State::Open { until };
        self.window.outcomes.clear();
    }

    fn close(&mut self) {
        self.state = State::Closed;
        self.backoff.reset();
    }

    fn exceeds_failure_rate(&self) -> bool {
        let outcomes = &self.window.outcomes;
        let failures = outcomes.iter().filter(|outcome| outcome.failed).count();
        outcomes.len() >= self.cfg.min_calls as usize
            && failures as f64 >= self.cfg.failure_rate * outcomes.len() as f64
    }
}

impl Window {
    fn push(&mut self, at: Instant, failed: bool) {
        let length = self.length;
        self.outcomes.push_back(Outcome { at, failed });
        let full = self.outcomes.len() > MAX_OUTCOMES;
        if full {
            self.outcomes.pop_front();
        }
        while let Some(oldest) = self.outcomes.front()
            && at - oldest.at > length
        {
            self.outcomes.pop_front();
        }
    }
}

impl<C: Clock> Permit<C> {
    /// Reports a failed call. If the circuit breaker opens, it stays open for at least `min_wait`.
    pub fn failed(mut self, min_wait: Duration) {
        self.reported = true;
        let now = self.circuit.clock.now();
        let mut inner = self.circuit.inner.borrow_mut();
        if self.trial {
            return inner.open(now, min_wait);
        }
        inner.window.push(now, true);
        let closed = matches!(inner.state, State::Closed);
        if closed && inner.exceeds_failure_rate() {
            inner.open(now, min_wait);
        }
    }

    /// Returns `true` if this is the trial call of a half-open circuit breaker.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// Reports a successful call.
    pub fn succeeded(mut self) {
        self.reported = true;
        let now = self.circuit.clock.now();
        let mut inner = self.circuit.inner.borrow_mut();
        inner.window.push(now, false);
        if self.trial {
            inner.close();
        }
    }
}

impl<C: Clock> Drop for Permit<C> {
    /// Reopens the circuit breaker for an immediate trial if the trial call was abandoned.
    /// Otherwise it would stay half open and never let a call through again.
    fn drop(&mut self) {
        if self.trial && !self.reported {
            let until = self.circuit.clock.now();
            self.circuit.inner.borrow_mut().state = State::Open { until };
        }
    }
}
