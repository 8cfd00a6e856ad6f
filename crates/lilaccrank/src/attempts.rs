//! Whether a request may be sent again after it failed at a target.
//!
//! What a target has begun may have had its effect, whether its answer arrived or not. Only a
//! request that may run more than once is sent again then, and only one whose answer can be
//! taken up after a given event once a part of it has reached the caller.

/// Sends in vain, to targets that did not run the request, that one request may cost beside its
/// runs. A third target that refuses as well says that the pool is full.
const MAX_UNEXECUTED_RETRIES: u32 = 2;

/// How a send ended without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A part of the answer has reached the caller.
    BrokenOff,
    /// The target ran it or may have; the caller has seen nothing.
    Failed,
    /// The target had it and said that it did not run it and never will.
    NotRun,
    /// Nothing of it reached the target.
    Unsent,
}

impl Failure {
    /// Whether the target certainly did not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun | Self::Unsent)
    }
}

/// What a request allows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryPolicy {
    /// It may run more than once.
    pub idempotent: bool,
    /// Another target may go on after the last event.
    pub resumable: bool,
    /// Targets that it may run on.
    pub max_runs: u32,
}

/// The sends of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    policy: RetryPolicy,
    unexecuted: u32,
    runs: u32,
}

impl Attempts {
    /// A request that was not sent yet.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            unexecuted: 0,
            runs: 0,
        }
    }

    /// Notes how a send ended; whether there may be another one.
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

    /// Whether it was sent before.
    #[must_use]
    pub fn is_repeat(&self) -> bool {
        self.unexecuted + self.runs > 0
    }

    /// Whether a target ran it, or may have.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }
}
