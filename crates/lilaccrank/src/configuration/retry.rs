//! Repeats calls to the store within a deadline, with full jitter.

use std::time::{Duration, Instant};

use crate::backoff::{self, Backoff};
use crate::clock::{self, Clock};
use crate::store;

const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Tries left of one operation.
pub(super) struct Retry<C> {
    backoff: Backoff,
    clock: C,
    deadline: Instant,
}

impl<C: Clock> Retry<C> {
    pub(super) fn new(clock: &C, limit: Duration) -> Self {
        Self::until(clock, clock.now() + limit)
    }

    pub(super) fn until(clock: &C, deadline: Instant) -> Self {
        Self {
            backoff: Backoff::new(FIRST_WAIT, LONGEST_WAIT),
            clock: clock.clone(),
            deadline,
        }
    }

    /// Repeats an idempotent call while its failure may pass.
    pub(super) async fn call<T>(
        &mut self,
        mut call: impl AsyncFnMut() -> store::Result<T>,
    ) -> store::Result<T> {
        loop {
            let e = match self.once(call()).await {
                Err(e) if may_pass(&e) => e,
                outcome => return outcome,
            };
            self.pause(e).await?;
        }
    }

    /// One call, bounded by the deadline.
    pub(super) async fn once<T>(
        &self,
        call: impl Future<Output = store::Result<T>>,
    ) -> store::Result<T> {
        let left = self.deadline.saturating_duration_since(self.clock.now());
        let outcome = clock::hard_timeout(&self.clock, left, call).await;
        outcome.unwrap_or(Err(store::Error::Unknown))
    }

    /// Waits before the next try.
    ///
    /// # Errors
    /// The deadline would pass: `e` is final.
    pub(super) async fn pause(&mut self, e: store::Error) -> store::Result<()> {
        let wait = match &e {
            // Throttled clients told the same time would all come back at once.
            store::Error::Throttled { retry_after } => {
                *retry_after + backoff::full_jitter(*retry_after)
            }
            _ => self.backoff.next_wait(),
        };
        if self.clock.now() + wait >= self.deadline {
            return Err(e);
        }
        self.clock.sleep(wait).await;
        // Timers can be late by more than was left.
        if self.clock.now() >= self.deadline {
            return Err(e);
        }
        Ok(())
    }
}

/// Whether the same call can succeed later.
pub(super) fn may_pass(e: &store::Error) -> bool {
    matches!(
        e,
        store::Error::Throttled { .. } | store::Error::Unavailable | store::Error::Unknown
    )
}
