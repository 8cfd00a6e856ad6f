//! Limit on the requests that a new version gets before it is trusted.

/// Part of a daemon's requests with which it tries a new version.
const TRIAL_SHARE: f64 = 0.05;
/// Part of a daemon's requests that a new version may have got at any time. The rest of what an
/// operator allows is for requests on their way while a verdict spreads.
const MAX_SHARE: f64 = 0.09;

/// Counts one daemon's requests to a pool whose version changes.
///
/// Each daemon starts at a random point between two requests to the new version. Shares of few
/// requests then add up to the share of all of them, however many daemons there are and however
/// unevenly the requests come.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// Requests that may go to the new version for a trial.
    trial: f64,
    /// Requests that may go to it at all.
    allowed: f64,
}

impl Exposure {
    /// Creates the count; `phase` is a random number from 0 to 1.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            trial: phase,
            allowed: phase,
        }
    }

    /// Records a request that is sent to a target of the pool.
    pub fn record_request(&mut self) {
        self.trial = (self.trial + TRIAL_SHARE).min(1.0);
        self.allowed += MAX_SHARE;
    }

    /// Takes a request for the new version, to try it. Returns `true` if the share allows it.
    pub fn take_trial(&mut self) -> bool {
        if self.trial < 1.0 || !self.take() {
            return false;
        }
        self.trial -= 1.0;
        true
    }

    /// Takes a request for the new version that would outlast the old targets. Returns `true` if the
    /// share allows it.
    pub fn take(&mut self) -> bool {
        let is_allowed = self.allowed >= 1.0;
        if is_allowed {
            self.allowed -= 1.0;
        }
        is_allowed
    }

    /// Counts a request that goes to the new version whatever the share.
    pub fn record_exposed(&mut self) {
        self.allowed -= 1.0;
    }

    /// Gives back a request that was not sent to the new version.
    pub fn give_back(&mut self) {
        self.allowed += 1.0;
    }
}
