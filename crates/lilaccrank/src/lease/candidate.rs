//! Acquires a lease that is free, or that has expired for its holder.

use std::time::{Duration, Instant, SystemTime};

use super::context::{Found, Sent};
use super::held::Held;
use super::{Fence, Lease};
use crate::backoff;
use crate::clock::Clock;
use crate::store::{self, Expect, Store, Version};

/// Number of times per lease duration that a candidate polls a lease held by another process. It
/// also polls when that lease may have expired.
const POLLS_PER_DURATION: u32 = 4;

/// Phase of a lease that this process tries to acquire.
#[derive(Default)]
pub struct Candidate {
    first_seen: Option<FirstSeen>,
    sent: Option<Sent>,
}

/// The version of the lease object that was read last, and when it was first read.
struct FirstSeen {
    at: Instant,
    version: Version,
}

/// Outcome of one attempt to acquire a lease.
pub enum Attempt<S, C> {
    /// The lease is now held.
    Held(Lease<Held, S, C>),
    /// The lease could not be acquired; try again after the wait.
    Wait(Lease<Candidate, S, C>, Duration),
}

/// The write that acquires the lease.
struct Acquisition {
    /// Duration of the lease that is replaced; zero if there is none.
    predecessor_duration: Duration,
    expect: Expect,
    fence: Fence,
}

impl<S: Store, C: Clock> Lease<Candidate, S, C> {
    /// Attempts to acquire the lease until it is held.
    pub async fn acquire(mut self) -> Lease<Held, S, C> {
        loop {
            match self.attempt().await {
                Attempt::Held(held) => return held,
                Attempt::Wait(candidate, wait) => {
                    candidate.context.clock.sleep(wait).await;
                    self = candidate;
                }
            }
        }
    }

    /// Reads the lease once and acquires it if that is possible.
    pub async fn attempt(mut self) -> Attempt<S, C> {
        let found = match self.context.read().await {
            Ok(found) => found,
            Err(err) => return self.wait_after(&err),
        };
        if let Some(found) = &found
            && let Some(sent) = self.phase.sent
            && found.record.holder == self.context.holder
            && found.record.attempt == sent.attempt
            && self.context.expires_at(sent.at) > self.context.clock.now()
        {
            // The write took effect, but the reply to it was lost.
            let (fence, version) = (found.record.fence, found.version);
            return Attempt::Held(self.held(fence, version, sent, found.record.duration()));
        }
        match self.acquisition(found) {
            Ok(acquisition) => self.take(acquisition).await,
            Err(wait) => Attempt::Wait(self, wait),
        }
    }

    /// Returns the write that acquires the lease, or else the time until the next poll.
    fn acquisition(&mut self, found: Option<Found>) -> Result<Acquisition, Duration> {
        let next = self.next_fence();
        let Some(Found { record, version }) = found else {
            return Ok(Acquisition {
                predecessor_duration: Duration::ZERO,
                expect: Expect::Absent,
                fence: next,
            });
        };
        let unchanged_for = self.unchanged_for(version);
        let is_own = record.holder == self.context.holder;
        let duration = record.duration();
        if record.released || is_own || unchanged_for >= duration {
            return Ok(Acquisition {
                predecessor_duration: duration,
                expect: Expect::Version(version),
                fence: next,
            });
        }
        Err((duration - unchanged_for).min(duration / POLLS_PER_DURATION))
    }

    /// Returns a fencing number above every number seen, and at least the Unix time in seconds.
    ///
    /// A process that starts after the store was wiped or restored from an older state has not
    /// seen the numbers in use. If it started at 1 again, targets that check the number would
    /// refuse its orders permanently. Numbers grow more slowly than one per second, so the wall
    /// clock is ahead of them. A wrong clock does no harm, since the number still exceeds every
    /// number seen.
    fn next_fence(&self) -> Fence {
        let wall = self.context.clock.wall_time();
        let since = wall.duration_since(SystemTime::UNIX_EPOCH);
        let seconds = since.map_or(0, |since| since.as_secs());
        seconds.max(self.context.highest_fence + 1)
    }

    /// Time for which this version is known to have been in the store. It is measured locally from
    /// the first read: the writer's clock may differ, and its write may have been delayed.
    fn unchanged_for(&mut self, version: Version) -> Duration {
        let now = self.context.clock.now();
        match &self.phase.first_seen {
            Some(first_seen) if first_seen.version == version => now - first_seen.at,
            _ => {
                self.phase.first_seen = Some(FirstSeen { at: now, version });
                Duration::ZERO
            }
        }
    }

    async fn take(mut self, acquisition: Acquisition) -> Attempt<S, C> {
        let (sent, outcome) = self
            .context
            .write(acquisition.fence, false, acquisition.expect)
            .await;
        self.phase.sent = Some(sent);
        match outcome {
            Ok(version) => {
                let predecessor_duration = acquisition
                    .predecessor_duration
                    .max(self.context.cfg.duration);
                Attempt::Held(self.held(acquisition.fence, version, sent, predecessor_duration))
            }
            Err(err) => self.wait_after(&err),
        }
    }

    fn held(
        self,
        fence: Fence,
        version: Version,
        sent: Sent,
        predecessor_duration: Duration,
    ) -> Lease<Held, S, C> {
        let predecessor_expired_at = self.context.clock.now() + predecessor_duration;
        let expires_at = self.context.expires_at(sent.at);
        Lease {
            phase: Held::new(predecessor_expired_at, fence, expires_at, version),
            context: self.context,
        }
    }

    /// Waits with full jitter, so that candidates don't call the store at the same time.
    fn wait_after(self, err: &store::Error) -> Attempt<S, C> {
        let ceiling = self.context.cfg.duration / POLLS_PER_DURATION;
        let min_wait = match err {
            store::Error::Throttled { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        Attempt::Wait(self, min_wait + backoff::full_jitter(ceiling))
    }
}
