//! Long computations in steps, between which other tasks and timers run.

use std::cell::Cell;
use std::future::{self, Future};
use std::time::{Duration, Instant};

use futures::FutureExt;

use crate::clock::Clock;

/// Bytes that are handled in one step, unless a single piece is larger.
const STEP_BYTES: usize = 192 << 10;
/// Pause between two steps. The runtime fires no timers while a task wakes itself.
const PAUSE: Duration = Duration::from_millis(1);

/// Time that a computation took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cost {
    /// Longest step.
    pub longest_step: Duration,
    /// All steps and the pauses between them.
    pub total: Duration,
}

/// Divides a computation into steps.
pub trait Pace {
    /// Records that bytes were handled; pauses once they make up a step.
    fn handled(&self, bytes: usize) -> impl Future<Output = ()>;

    /// Time taken so far.
    fn cost(&self) -> Cost;
}

/// Lets other tasks and timers run.
pub async fn pause<C: Clock>(clock: &C) {
    clock.sleep(PAUSE).await;
}

/// Steps with a short sleep between them.
#[derive(Debug)]
pub struct Steps<C> {
    began: Instant,
    bytes: Cell<usize>,
    clock: C,
    longest: Cell<Duration>,
    step_began: Cell<Instant>,
}

impl<C: Clock> Steps<C> {
    /// Begins the first step.
    #[must_use]
    pub fn new(clock: C) -> Self {
        let now = clock.now();
        Self {
            began: now,
            bytes: Cell::new(0),
            clock,
            longest: Cell::default(),
            step_began: Cell::new(now),
        }
    }

    fn longest(&self) -> Duration {
        let now = self.clock.now();
        let step = now.saturating_duration_since(self.step_began.get());
        self.longest.get().max(step)
    }
}

impl<C: Clock> Pace for Steps<C> {
    async fn handled(&self, bytes: usize) {
        let bytes = self.bytes.get().saturating_add(bytes);
        self.bytes.set(bytes);
        if bytes < STEP_BYTES {
            return;
        }
        self.longest.set(self.longest());
        pause(&self.clock).await;
        self.bytes.set(0);
        self.step_began.set(self.clock.now());
    }

    fn cost(&self) -> Cost {
        Cost {
            longest_step: self.longest(),
            total: self.clock.now().saturating_duration_since(self.began),
        }
    }
}

/// A single step.
#[derive(Clone, Copy, Debug)]
pub struct AtOnce;

impl Pace for AtOnce {
    fn handled(&self, _: usize) -> impl Future<Output = ()> {
        future::ready(())
    }

    fn cost(&self) -> Cost {
        Cost::default()
    }
}

/// Runs a computation whose pace is [`AtOnce`].
pub(crate) fn at_once<T>(computation: impl Future<Output = T>) -> T {
    let output = computation.now_or_never();
    output.expect("a computation in one step does not wait")
}
