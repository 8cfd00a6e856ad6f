//! Health of a target, and trials of one that is unresponsive.

use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Initial backoff before an unresponsive target is tried again.
const INITIAL_TRIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff before an unresponsive target is tried again.
const MAX_TRIAL_BACKOFF: Duration = Duration::from_secs(30);
/// Number of consecutive failures after which a target counts as unresponsive.
const FAILURE_THRESHOLD: u32 = 3;
/// EWMA weight of a new answer in the error rate.
const ERROR_RATE_GAIN: f64 = 0.15;
/// Half-life of the error rate. A target that gets no requests couldn't otherwise recover.
const ERROR_RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Health of a target as observed from its answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Silent or failing; gets no requests.
    #[display("hung")]
    #[serde(rename = "hung")]
    Unresponsive,
    /// Unresponsive, with one short trial request in progress.
    #[display("trial")]
    #[serde(rename = "trial")]
    HalfOpen,
    /// Responding.
    #[default]
    #[display("well")]
    #[serde(rename = "well")]
    Healthy,
}

/// Health record of one target.
#[derive(Clone, Debug)]
pub struct Health {
    /// Fraction of errors among recent answers, as of `error_rate_at`.
    error_rate: f64,
    error_rate_at: Instant,
    consecutive_failures: u32,
    last_activity: Instant,
    state: State,
    trial_at: Instant,
    trial_backoff: Duration,
}

impl Health {
    /// Creates the record of a target that is assumed to be healthy.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            error_rate: 0.0,
            error_rate_at: now,
            consecutive_failures: 0,
            last_activity: now,
            state: State::Healthy,
            trial_at: now,
            trial_backoff: INITIAL_TRIAL_BACKOFF,
        }
    }

    /// Current state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns `true` if a trial request may be sent.
    #[must_use]
    pub fn is_trial_due(&self, now: Instant) -> bool {
        self.state == State::Unresponsive && now >= self.trial_at
    }

    /// Records a grant and returns `true` if it is a trial. `is_idle` means that nothing else runs
    /// on the target, so that its silence counts from now on.
    pub fn record_grant(&mut self, is_idle: bool, now: Instant) -> bool {
        let is_trial = self.state == State::Unresponsive;
        if is_trial {
            self.state = State::HalfOpen;
        }
        if is_idle || is_trial {
            self.last_activity = now;
        }
        is_trial
    }

    /// Records output of the target: a token or a complete answer.
    pub fn record_activity(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        self.last_activity = now;
        self.state = State::Healthy;
        self.trial_backoff = INITIAL_TRIAL_BACKOFF;
    }

    /// Moves the time of the last output.
    pub fn move_activity(&mut self, later: impl Fn(Instant) -> Instant) {
        self.last_activity = later(self.last_activity);
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, now: Instant) {
        self.record_activity(now);
        self.update_error_rate(0.0, now);
    }

    /// Records an error response. The target is alive and the error may be the request's fault, so
    /// only the error rate counts.
    pub fn record_error(&mut self, now: Instant) {
        self.record_activity(now);
        self.update_error_rate(1.0, now);
    }

    /// Fraction of errors among recent answers, from 0 to 1.
    #[must_use]
    pub fn error_rate(&self, now: Instant) -> f64 {
        let since = now
            .saturating_duration_since(self.error_rate_at)
            .as_secs_f64();
        self.error_rate * (-since / ERROR_RATE_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn update_error_rate(&mut self, error: f64, now: Instant) {
        let error_rate = self.error_rate(now);
        self.error_rate = error_rate + ERROR_RATE_GAIN * (error - error_rate);
        self.error_rate_at = now;
    }

    /// Records a request without a complete answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURE_THRESHOLD || self.state == State::HalfOpen {
            self.mark_unresponsive(now);
        }
    }

    /// Stops requests until the next trial.
    pub fn eject(&mut self, now: Instant) {
        if self.state != State::Unresponsive {
            self.mark_unresponsive(now);
        }
    }

    /// Ends a trial without a result; another one may follow at once.
    pub fn cancel_trial(&mut self, now: Instant) {
        if self.state == State::HalfOpen {
            self.state = State::Unresponsive;
            self.trial_at = now;
        }
    }

    /// Marks the target as unresponsive if it has been silent for longer than `timeout`. Called for
    /// targets with running requests only.
    pub fn check_silence(&mut self, timeout: Duration, now: Instant) {
        let silence = now.saturating_duration_since(self.last_activity);
        if self.state != State::Unresponsive && silence > timeout {
            self.mark_unresponsive(now);
        }
    }

    fn mark_unresponsive(&mut self, now: Instant) {
        self.state = State::Unresponsive;
        self.trial_at = now + self.trial_backoff;
        self.trial_backoff = (self.trial_backoff * 2).min(MAX_TRIAL_BACKOFF);
    }
}
