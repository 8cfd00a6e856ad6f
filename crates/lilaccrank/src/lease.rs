//! Leases with fencing numbers, kept in the platform's store by conditional updates.
//!
//! Expiry doesn't depend on wall clocks, and clocks of different machines are never compared. A
//! holder measures the duration from before it sent the write, less a margin for clocks that run
//! at slightly different rates. A candidate waits for the whole duration from when it first saw
//! the current version. So a lease always expires for its holder first, whatever the delays.
//!
//! [`Lease`] is a typestate: a [`Candidate`] becomes [`Held`], and a held lease that can't be
//! renewed becomes [`Lost`].
//!
//! A lease object is released but never deleted, since its fencing number must only grow.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::{self, Clock};
use crate::store::Store;

mod candidate;
mod context;
mod held;
mod keeper;

pub use candidate::{Attempt, Candidate};
pub use held::{Held, Lost, Reason, Renewal};
pub use keeper::{Keeper, LeaseHandle};

use context::Context;

/// Fencing number. It grows with each change of holder, and a target that checks it refuses orders
/// with an older one.
pub type Fence = u64;
/// Result of a lease operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a lease can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The lease with this key was never acquired, has expired or was lost.
    #[error("lease {0} is not held")]
    NotHeld(String),
    /// The lease was lost since, and acquired again under another number.
    #[error("the lease has number {current} now, the order was begun under number {begun}")]
    Renumbered {
        /// Number under which the order was begun.
        begun: Fence,
        /// Present number.
        current: Fence,
    },
}

/// Timing of a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Timeout of one call to the store.
    pub call_timeout: Duration,
    /// Time for which a lease is valid without a renewal.
    pub duration: Duration,
    /// Time by which the lease expires earlier for its holder than after `duration`. Covers clocks
    /// whose rates differ by up to `margin / duration`.
    pub margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(1),
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(1),
        }
    }
}

/// Permission to act under a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guard {
    /// Time at which the lease has expired for every earlier holder.
    pub predecessor_expired_at: Instant,
    /// Fencing number to send with each order.
    pub fence: Fence,
    /// Time until which an order may be sent.
    pub expires_at: Instant,
}

/// Source of permission to act under a lease.
pub trait GuardSource {
    /// Returns permission to act now. Must be called again right before each order is sent: the
    /// lease may have expired while this process was paused, and only this call detects it.
    ///
    /// # Errors
    ///
    /// [`Error::NotHeld`] if the lease is not held or has expired.
    fn guard(&self) -> Result<Guard>;

    /// Returns permission to continue an order that was begun under this fencing number.
    ///
    /// # Errors
    ///
    /// [`Error::NotHeld`] if the lease is not held, and [`Error::Renumbered`] if another process may
    /// have held it since.
    fn guard_for(&self, fence: Fence) -> Result<Guard> {
        let guard = self.guard()?;
        if guard.fence != fence {
            return Err(Error::Renumbered {
                begun: fence,
                current: guard.fence,
            });
        }
        Ok(guard)
    }
}

/// A lease in the phase `P`: [`Candidate`], [`Held`] or [`Lost`].
pub struct Lease<P, S, C> {
    context: Context<S, C>,
    phase: P,
}

/// The lease object in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Record {
    /// Distinguishes the writes of one holder, so that reading back resolves a lost reply.
    attempt: u64,
    duration_ms: u64,
    fence: Fence,
    holder: String,
    released: bool,
}

impl Record {
    fn duration(&self) -> Duration {
        clock::millis(self.duration_ms)
    }
}

impl<S: Store, C: Clock> Lease<Candidate, S, C> {
    /// Creates a candidate for the lease at `key`. `holder` must be unique to each run of each
    /// process (for example VM and incarnation) and may have only one candidate per key, since a
    /// candidate that finds its own name in the store takes the lease without waiting.
    pub fn new(
        cfg: Settings,
        key: impl Into<String>,
        holder: impl Into<String>,
        store: S,
        clock: C,
    ) -> Self {
        let context = Context::new(cfg, key.into(), holder.into(), store, clock);
        Self {
            context,
            phase: Candidate::default(),
        }
    }
}
