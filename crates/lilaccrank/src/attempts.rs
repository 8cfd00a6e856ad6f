//! Decides whether a request is retried after it failed at a target.
//!
//! A request that a target started may have taken effect even if no answer arrived, so it is
//! retried only if it is idempotent. Once part of the answer has reached the caller, it is
//! retried only if the stream can be resumed after its last event.

/// Retries allowed after sends that no target executed; they don't count as runs. When a third
/// target refuses as well, the pool is taken to be full.
const MAX_UNEXECUTED_RETRIES: u32 = 2;

/// How a send ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The answer ended early, after part of it had reached the caller.
    BrokenOff,
    /// The target may have run the request; the caller has received nothing.
    Failed,
    /// The target received the request and reported that it did not and will not run it.
    NotRun,
    /// No part of the request reached the target.
    Unsent,
}

impl Failure {
    /// Returns `true` if the target certainly did not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun | Self::Unsent)
    }
}

/// How often and under which conditions a request may be retried.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryPolicy {
    /// The request may run more than once.
    pub idempotent: bool,
    /// Another target may continue the answer after its last event.
    pub resumable: bool,
    /// Maximum number of targets that may run the request; 0 counts as 1.
    pub max_runs: u32,
}

/// Counts the failed sends of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    policy: RetryPolicy,
    unexecuted: u32,
    runs: u32,
}

impl Attempts {
    /// Starts counting for a request that has not been sent yet.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            unexecuted: 0,
            runs: 0,
        }
    }

    /// Records how a send ended. Returns `true` if the request may be sent again.
    pub fn record_failure(&mut self, failure: Failure) -> bool {
        if failure.is_not_run() {
            self.unexecuted += 1;
        } else {
            self.runs += 1;
        }
        let may_run = self.runs < self.policy.max_runs.max(1);
        match failure {
            Failure::BrokenOff => self.policy.resumable && may_run,
            Failure::Failed => self.policy.idempotent && may_run,
            Failure::NotRun | Failure::Unsent => {
                self.unexecuted <= MAX_UNEXECUTED_RETRIES && may_run
            }
        }
    }

    /// Returns `true` if the request was sent before.
    #[must_use]
    pub fn is_repeat(&self) -> bool {
        self.unexecuted + self.runs > 0
    }

    /// Returns `true` if a target ran the request or may have run it.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }
}
