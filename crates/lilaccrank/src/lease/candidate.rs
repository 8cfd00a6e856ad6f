//! Taking a lease: when it is free, or when its holder can no longer believe in it.

use std::time::{Duration, Instant, SystemTime};

use super::context::{Found, Sent};
use super::held::Held;
use super::{Fence, Lease};
use crate::backoff;
use crate::clock::Clock;
use crate::store::{self, Expect, Store, Version};

/// Looks at a held lease this often per duration, or when it may end.
const POLLS_PER_DURATION: u32 = 4;

/// A lease that this process would like to hold.
#[derive(Default)]
pub struct Candidate {
    first_seen: Option<FirstSeen>,
    sent: Option<Sent>,
}

struct FirstSeen {
    at: Instant,
    version: Version,
}

/// What one attempt to take a lease came to.
pub enum Attempt<S, C> {
    /// It is held now.
    Held(Lease<Held, S, C>),
    /// Try again after the wait.
    Wait(Lease<Candidate, S, C>, Duration),
}

/// How the record found may be replaced.
struct Acquisition {
    predecessor_duration: Duration,
    expect: Expect,
    fence: Fence,
}

impl<S: Store, C: Clock> Lease<Candidate, S, C> {
    /// Waits until the lease is held, however long that takes.
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

    /// Looks at the lease once and takes it if that is possible.
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
            // The answer was lost after the write took effect.
            let (fence, version) = (found.record.fence, found.version);
            return Attempt::Held(self.held(fence, version, sent, found.record.duration()));
        }
        match self.acquisition(found) {
            Ok(acquisition) => self.take(acquisition).await,
            Err(wait) => Attempt::Wait(self, wait),
        }
    }

    /// Whether the lease may be taken, or how long to wait until the next look.
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

    /// Above each number seen, and lifted to the seconds of the wall clock. A process that starts
    /// after the store was wiped, or came back older, has seen no number that counts; it would
    /// start at one again, and targets that check would refuse its orders for good. Numbers grow
    /// more slowly than seconds, so the clock is ahead of them. If it is wrong, nothing is lost:
    /// the number is still above each one seen.
    fn next_fence(&self) -> Fence {
        let wall = self.context.clock.wall_time();
        let since = wall.duration_since(SystemTime::UNIX_EPOCH);
        let seconds = since.map_or(0, |since| since.as_secs());
        seconds.max(self.context.highest_fence + 1)
    }

    /// How long this version has been there for sure. The record's own times say nothing: its
    /// writer's clock may be far off, and the write may have been under way for long.
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

    /// Drawn from the whole interval, so that candidates don't return to the store together.
    fn wait_after(self, err: &store::Error) -> Attempt<S, C> {
        let ceiling = self.context.cfg.duration / POLLS_PER_DURATION;
        let min_wait = match err {
            store::Error::Throttled { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        Attempt::Wait(self, min_wait + backoff::full_jitter(ceiling))
    }
}
