//! Renews, uses and releases a held lease, and detects its loss.

use std::time::Instant;

use derive_more::Display;

use super::candidate::Candidate;
use super::context::Sent;
use super::{Error, Fence, Guard, GuardSource, Lease, Result};
use crate::clock::Clock;
use crate::store::{self, Expect, Store, Version};

/// Phase of a lease that this process holds until it expires by the local clock.
pub struct Held {
    predecessor_expired_at: Instant,
    fence: Fence,
    /// A write without a reply, which may have changed the version.
    unresolved: Option<Sent>,
    expires_at: Instant,
    version: Version,
}

/// Phase of a lease that this process no longer holds.
pub struct Lost {
    reason: Reason,
}

/// Reasons why a lease was lost.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// It was not renewed in time: this process was paused, or the store was unavailable.
    #[display("not renewed in time")]
    Expired,
    /// This process released it.
    #[display("released")]
    Released,
    /// Another process acquired it, or a write of this process took effect after its timeout.
    #[display("changed in the store")]
    Taken,
}

/// Outcome of a renewal.
pub enum Renewal<S, C> {
    /// The lease is still held. If the write failed, its expiry is unchanged, so renew again soon.
    Held(Lease<Held, S, C>),
    /// The lease is no longer held.
    Lost(Lease<Lost, S, C>),
}

impl Held {
    pub(super) fn new(
        predecessor_expired_at: Instant,
        fence: Fence,
        expires_at: Instant,
        version: Version,
    ) -> Self {
        Self {
            predecessor_expired_at,
            fence,
            unresolved: None,
            expires_at,
            version,
        }
    }
}

impl<S: Store, C: Clock> Lease<Held, S, C> {
    /// Time at which the lease expires for this process unless it is renewed.
    pub fn expires_at(&self) -> Instant {
        self.phase.expires_at
    }

    /// Tries to renew the lease once. The write is conditional, so a holder that was paused can't
    /// extend a lease that another process has acquired meanwhile.
    pub async fn renew(mut self) -> Renewal<S, C> {
        if let Some(sent) = self.phase.unresolved {
            match self.read_back(sent).await {
                Ok(true) => {}
                Ok(false) => return self.lost(Reason::Taken),
                Err(_) => return self.still_held(),
            }
        }
        let expect = Expect::Version(self.phase.version);
        let (sent, outcome) = self.context.write(self.phase.fence, false, expect).await;
        match outcome {
            Ok(version) => {
                self.phase.version = version;
                self.phase.expires_at = self.context.expires_at(sent.at);
            }
            Err(store::Error::Conflict { .. }) => return self.lost(Reason::Taken),
            Err(store::Error::Unknown) => self.phase.unresolved = Some(sent),
            Err(_) => {}
        }
        self.still_held()
    }

    /// Releases the lease, so that another process can acquire it without waiting. Orders sent
    /// under it must have completed. If the write fails, the lease expires after its duration.
    pub async fn release(mut self) -> Lease<Lost, S, C> {
        let expect = Expect::Version(self.phase.version);
        let (_, outcome) = self.context.write(self.phase.fence, true, expect).await;
        if let Err(err) = outcome {
            log::info!("lease {}: release failed: {err}", self.context.key);
        }
        self.into_lost(Reason::Released)
    }

    /// Reads the record and adopts its version. Returns `false` if the lease has changed hands.
    async fn read_back(&mut self, sent: Sent) -> store::Result<bool> {
        let found = self.context.read().await?;
        let Some(found) = found.filter(|found| {
            found.record.holder == self.context.holder && found.record.fence == self.phase.fence
        }) else {
            return Ok(false);
        };
        self.phase.version = found.version;
        self.phase.unresolved = None;
        if found.record.attempt == sent.attempt {
            self.phase.expires_at = self.context.expires_at(sent.at);
        }
        Ok(true)
    }

    fn still_held(self) -> Renewal<S, C> {
        if self.context.clock.now() >= self.phase.expires_at {
            return self.lost(Reason::Expired);
        }
        Renewal::Held(self)
    }

    fn lost(self, reason: Reason) -> Renewal<S, C> {
        Renewal::Lost(self.into_lost(reason))
    }

    fn into_lost(self, reason: Reason) -> Lease<Lost, S, C> {
        Lease {
            context: self.context,
            phase: Lost { reason },
        }
    }
}

impl<S: Store, C: Clock> GuardSource for Lease<Held, S, C> {
    fn guard(&self) -> Result<Guard> {
        if self.context.clock.now() >= self.phase.expires_at {
            return Err(Error::NotHeld(self.context.key.clone()));
        }
        Ok(Guard {
            predecessor_expired_at: self.phase.predecessor_expired_at,
            fence: self.phase.fence,
            expires_at: self.phase.expires_at,
        })
    }
}

impl<S: Store, C: Clock> Lease<Lost, S, C> {
    /// The reason why the lease was lost.
    pub fn reason(&self) -> Reason {
        self.phase.reason
    }

    /// Turns the lost lease into a candidate again.
    pub fn retry(self) -> Lease<Candidate, S, C> {
        Lease {
            context: self.context,
            phase: Candidate::default(),
        }
    }
}
