//! Leases with fencing numbers, kept in the platform's store by conditional updates.
//!
//! No wall clock is trusted, and no two clocks are compared. A holder counts its time from
//! before it sent the write, less a margin for clocks that run at slightly different rates; a
//! taker waits the whole duration from when it first saw that very version. So a holder's view
//! ends first, whatever the delays. [`Lease`] is a typestate: a [`Candidate`] becomes [`Held`],
//! and a held lease that can't be renewed becomes [`Lost`].
//!
//! A lease object is released but never deleted, since its fencing number must only grow.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Clock;
use crate::store::Store;

mod candidate;
mod context;
mod held;
mod keeper;

pub use candidate::{Attempt, Candidate};
pub use held::{Held, Lost, Reason, Renewal};
pub use keeper::{Keeper, LeaseHandle};

use context::Context;

/// Number that grows with each change of holder; a target refuses orders with an old one.
pub type Fence = u64;
/// Result of a lease operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a lease can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The lease is not held, or was lost.
    #[error("lease {0} is not held")]
    NotHeld(String),
}

/// Times of a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Longest wait for one answer of the store.
    pub call_timeout: Duration,
    /// How long a holder keeps the lease without renewing it.
    pub duration: Duration,
    /// How much earlier than `duration` the holder stops to believe in it. Covers clocks that
    /// differ in rate by up to `margin / duration`.
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

/// Leave to act under a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guard {
    /// When no earlier holder can believe in its lease any more.
    pub predecessor_expired_at: Instant,
    /// The number to send with each act.
    pub fence: Fence,
    /// Up to when an act may start.
    pub expires_at: Instant,
}

/// Whatever gives leave to act.
pub trait GuardSource {
    /// Leave to act now. Ask anew right before each act: after a pause of this process the
    /// lease may be over, and this is where the holder learns it.
    fn guard(&self) -> Result<Guard>;
}

/// A lease in one phase of its life.
pub struct Lease<P, S, C> {
    context: Context<S, C>,
    phase: P,
}

/// What the store holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Record {
    /// Tells the writes of one holder apart, so that a lost answer is resolved by reading back.
    attempt: u64,
    duration_ms: u64,
    fence: Fence,
    holder: String,
    released: bool,
}

impl Record {
    fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

impl<S: Store, C: Clock> Lease<Candidate, S, C> {
    /// A candidate for the lease at `key`. `holder` must differ for each life of each process
    /// (say, vm and incarnation), and have one candidate per key: who finds its own name takes
    /// the lease back without waiting.
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
