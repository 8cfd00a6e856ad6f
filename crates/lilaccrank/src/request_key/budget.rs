//! Token bucket that limits the rate of calls to the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use crate::clock::Clock;

/// Rate limit of calls to the store, with a burst. Clones share one bucket.
#[derive(Clone)]
pub struct Budget<C> {
    burst: f64,
    clock: C,
    per_second: f64,
    state: Rc<Cell<State>>,
}

#[derive(Clone, Copy)]
struct State {
    at: Instant,
    tokens: f64,
}

impl<C: Clock> Budget<C> {
    /// Creates a full bucket of `burst` tokens, which refills at `per_second`.
    #[must_use]
    pub fn new(clock: C, per_second: f64, burst: f64) -> Self {
        let state = State {
            at: clock.now(),
            tokens: burst,
        };
        Self {
            burst,
            clock,
            per_second,
            state: Rc::new(Cell::new(state)),
        }
    }

    /// Takes a token if one is available. Returns `true` if it did.
    #[must_use]
    pub fn try_take(&self) -> bool {
        self.try_take_reserving(0.0)
    }

    /// Takes a token if half of the burst remains for other calls. Returns `true` if it did.
    #[must_use]
    pub fn try_take_low_priority(&self) -> bool {
        self.try_take_reserving(self.burst / 2.0)
    }

    /// Takes a token even if none is available, as a claim that has begun must be completed. New
    /// claims are refused until the negative balance is refilled, so that the average rate holds.
    pub fn force_take(&self) {
        let mut state = self.refilled();
        state.tokens -= 1.0;
        self.state.set(state);
    }

    fn try_take_reserving(&self, reserve: f64) -> bool {
        let mut state = self.refilled();
        let enough = state.tokens >= reserve + 1.0;
        if enough {
            state.tokens -= 1.0;
        }
        self.state.set(state);
        enough
    }

    fn refilled(&self) -> State {
        let state = self.state.get();
        let at = self.clock.now();
        let gained = (at - state.at).as_secs_f64() * self.per_second;
        let tokens = (state.tokens + gained).min(self.burst);
        State { at, tokens }
    }
}
