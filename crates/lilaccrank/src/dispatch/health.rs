//! Whether a target gives signs of life, and how a silent one is tried again.

use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// First wait before a silent target is tried again.
const FIRST_WAIT: Duration = Duration::from_secs(1);
/// Longest wait before a silent target is tried again.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Failures in a row after which a target is treated as silent.
const FAILURES: u32 = 3;
/// Weight of a new answer in the part of errors.
const ERROR_GAIN: f64 = 0.15;
/// Time after which half of the part of errors is forgotten if nothing is heard: a target that
/// gets nothing could else never show that it is well again.
const ERRORS_FORGOTTEN: Duration = Duration::from_secs(4);

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
    errors: f64,
    errors_at: Instant,
    failures: u32,
    last_sign: Instant,
    state: State,
    trial_at: Instant,
    wait: Duration,
}

impl Health {
    /// A target that is taken to be well.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            errors: 0.0,
            errors_at: now,
            failures: 0,
            last_sign: now,
            state: State::Well,
            trial_at: now,
            wait: FIRST_WAIT,
        }
    }

    /// The present state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a trial request may be sent.
    #[must_use]
    pub fn wants_trial(&self, now: Instant) -> bool {
        self.state == State::Hung && now >= self.trial_at
    }

    /// A request was granted; `alone` if nothing else runs there, so that silence counts from
    /// now on. Returns whether it is a trial.
    pub fn granted(&mut self, alone: bool, now: Instant) -> bool {
        let trial = self.state == State::Hung;
        if trial {
            self.state = State::Trial;
        }
        if alone || trial {
            self.last_sign = now;
        }
        trial
    }

    /// The target produced a token or a whole answer.
    pub fn alive(&mut self, now: Instant) {
        self.failures = 0;
        self.last_sign = now;
        self.state = State::Well;
        self.wait = FIRST_WAIT;
    }

    /// The target gave a whole answer.
    pub fn answered(&mut self, now: Instant) {
        self.alive(now);
        self.note_answer(0.0, now);
    }

    /// The target answered that it failed. It lives, and what it says may be the request's fault;
    /// only how often it says so tells of the target.
    pub fn erred(&mut self, now: Instant) {
        self.alive(now);
        self.note_answer(1.0, now);
    }

    /// Part of its answers that are errors, from 0 to 1.
    #[must_use]
    pub fn errors(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.errors_at).as_secs_f64();
        self.errors * (-since / ERRORS_FORGOTTEN.as_secs_f64()).exp2()
    }

    fn note_answer(&mut self, error: f64, now: Instant) {
        let errors = self.errors(now);
        self.errors = errors + ERROR_GAIN * (error - errors);
        self.errors_at = now;
    }

    /// The target failed a request.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES || self.state == State::Trial {
            self.hang(now);
        }
    }

    /// A trial request went away without a word of the target; another one may follow.
    pub fn trial_over(&mut self, now: Instant) {
        if self.state == State::Trial {
            self.state = State::Hung;
            self.trial_at = now;
        }
    }

    /// Judges the silence of a target with running requests against the longest one expected.
    pub fn check(&mut self, longest: Duration, now: Instant) {
        let silence = now.saturating_duration_since(self.last_sign);
        if self.state != State::Hung && silence > longest {
            self.hang(now);
        }
    }

    fn hang(&mut self, now: Instant) {
        self.state = State::Hung;
        self.trial_at = now + self.wait;
        self.wait = (self.wait * 2).min(LONGEST_WAIT);
    }
}
