//! Whether a target gives signs of life, and how a silent one is tried again.

use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// First wait before a silent target is tried again.
const INITIAL_TRIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Longest wait before a silent target is tried again.
const MAX_TRIAL_BACKOFF: Duration = Duration::from_secs(30);
/// Failures in a row after which a target is treated as silent.
const FAILURE_THRESHOLD: u32 = 3;
/// Weight of a new answer in the part of errors.
const ERROR_RATE_GAIN: f64 = 0.15;
/// Time after which half of the part of errors is forgotten if nothing is heard: a target that
/// gets nothing could else never show that it is well again.
const ERROR_RATE_HALF_LIFE: Duration = Duration::from_secs(4);

/// State of a target as seen from its answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is silent or fails, and gets nothing.
    #[display("hung")]
    Hung,
    /// It is tried again by one cheap request.
    #[display("trial")]
    Trial,
    /// It answers.
    #[default]
    #[display("well")]
    Well,
}

/// Signs of life of one target.
#[derive(Clone, Debug)]
pub struct Health {
    /// Part of its last answers that were errors, when it was last heard.
    error_rate: f64,
    error_rate_at: Instant,
    consecutive_failures: u32,
    last_activity: Instant,
    state: State,
    trial_at: Instant,
    trial_backoff: Duration,
}

impl Health {
    /// A target that is taken to be well.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            error_rate: 0.0,
            error_rate_at: now,
            consecutive_failures: 0,
            last_activity: now,
            state: State::Well,
            trial_at: now,
            trial_backoff: INITIAL_TRIAL_BACKOFF,
        }
    }

    /// The present state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a trial request may be sent.
    #[must_use]
    pub fn is_trial_due(&self, now: Instant) -> bool {
        self.state == State::Hung && now >= self.trial_at
    }

    /// A request was granted; `is_idle` if nothing else runs there, so that silence counts from
    /// now on. Returns whether it is a trial.
    pub fn record_grant(&mut self, is_idle: bool, now: Instant) -> bool {
        let is_trial = self.state == State::Hung;
        if is_trial {
            self.state = State::Trial;
        }
        if is_idle || is_trial {
            self.last_activity = now;
        }
        is_trial
    }

    /// The target produced a token or a whole answer.
    pub fn record_activity(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        self.last_activity = now;
        self.state = State::Well;
        self.trial_backoff = INITIAL_TRIAL_BACKOFF;
    }

    /// The target gave a whole answer.
    pub fn record_success(&mut self, now: Instant) {
        self.record_activity(now);
        self.update_error_rate(0.0, now);
    }

    /// The target answered that it failed. It lives, and what it says may be the request's fault;
    /// only how often it says so tells of the target.
    pub fn record_error(&mut self, now: Instant) {
        self.record_activity(now);
        self.update_error_rate(1.0, now);
    }

    /// Part of its answers that are errors, from 0 to 1.
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

    /// The target failed a request.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURE_THRESHOLD || self.state == State::Trial {
            self.mark_hung(now);
        }
    }

    /// A trial request went away without a word of the target; another one may follow.
    pub fn cancel_trial(&mut self, now: Instant) {
        if self.state == State::Trial {
            self.state = State::Hung;
            self.trial_at = now;
        }
    }

    /// Judges the silence of a target with running requests against the longest one expected.
    pub fn check_silence(&mut self, timeout: Duration, now: Instant) {
        let silence = now.saturating_duration_since(self.last_activity);
        if self.state != State::Hung && silence > timeout {
            self.mark_hung(now);
        }
    }

    fn mark_hung(&mut self, now: Instant) {
        self.state = State::Hung;
        self.trial_at = now + self.trial_backoff;
        self.trial_backoff = (self.trial_backoff * 2).min(MAX_TRIAL_BACKOFF);
    }
}
