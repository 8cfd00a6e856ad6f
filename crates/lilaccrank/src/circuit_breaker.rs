//! A circuit that opens by the rate of failures and is tried again one call at a time.
//!
//! While a destination fails, calls to it cost time and keep it from coming back. An open
//! circuit answers at once. After a wait drawn evenly from the whole interval (full jitter, so
//! that many clients don't come back together) one trial call goes out; its outcome closes the
//! circuit or opens it for longer.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::backoff::Backoff;
use crate::clock::Clock;

/// Result of asking for a call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The circuit lets no call through now.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("circuit is open, try again in {retry_after:?}")]
pub struct Error {
    /// When a call may be let through.
    pub retry_after: Duration,
}

/// When a circuit opens and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of failed calls at which it opens.
    pub failure_rate: f64,
    /// Ceiling of the first wait; the ceiling doubles with each failed trial.
    pub initial_wait: Duration,
    /// Highest ceiling.
    pub max_wait: Duration,
    /// Fewest calls in the window that say anything.
    pub min_calls: u32,
    /// Failures and successes count for this long.
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

/// A circuit before one destination; clones share it.
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
    /// One trial is under way.
    HalfOpen,
    Open {
        until: Instant,
    },
}

/// Leave for one call. Its outcome has to be told; dropped without one it counts for nothing.
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

/// Outcomes kept at most; more would only make the rate finer.
const MAX_OUTCOMES: usize = 256;

/// Time after which a caller may ask again while a trial is under way.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(200);

impl<C: Clock> CircuitBreaker<C> {
    /// A closed circuit.
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

    /// Asks for leave to make one call.
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
    /// The call failed; the circuit stays open for at least `least` if it opens.
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

    /// Whether this call decides if the circuit closes.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// The destination answered.
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
    /// A trial whose caller went away tells nothing. If it kept the circuit half open, no call
    /// would ever be let through again; the next caller makes the trial instead.
    fn drop(&mut self) {
        if self.trial && !self.reported {
            let until = self.circuit.clock.now();
            self.circuit.inner.borrow_mut().state = State::Open { until };
        }
    }
}
