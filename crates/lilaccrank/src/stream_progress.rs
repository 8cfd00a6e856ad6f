//! Tracks the progress of a streamed answer and predicts if it will miss its deadline.
//!
//! A target is chosen before the length of the answer is known. An answer many times longer than
//! average can miss its deadline on a slow target. Left there, it would hold a slot until the
//! deadline and all generated tokens would be lost. The prediction shows this while another
//! target can still finish the answer.

use std::time::{Duration, Instant};

/// Interval between two predictions for a running answer.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Progress of one answer at one target.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    deadline: Option<Instant>,
    /// Tokens that earlier targets generated.
    earlier_tokens: u32,
    first_token_at: Option<Instant>,
    /// Since when the target is not read.
    paused_at: Option<Instant>,
    tokens: u32,
}

impl StreamProgress {
    /// Starts tracking an answer that continues after `earlier_tokens` from other targets.
    #[must_use]
    pub fn new(earlier_tokens: u32, deadline: Option<Instant>) -> Self {
        Self {
            deadline,
            earlier_tokens,
            first_token_at: None,
            paused_at: None,
            tokens: 0,
        }
    }

    /// Records received tokens.
    pub fn record_tokens(&mut self, tokens: u32, now: Instant) {
        self.first_token_at.get_or_insert(now);
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Stops the target's time while it is not read, since the reader has fallen behind.
    pub fn pause(&mut self, now: Instant) {
        self.paused_at.get_or_insert(now);
    }

    /// Lets the target's time go on, and returns how long it stood still.
    pub fn resume(&mut self, now: Instant) -> Duration {
        let paused_at = self.paused_at.take();
        let pause = paused_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.first_token_at = self.first_token_at.map(|at| at + pause);
        pause
    }

    /// Returns the number of tokens of the answer so far, from all targets.
    #[must_use]
    pub fn total_tokens(&self) -> u32 {
        self.earlier_tokens.saturating_add(self.tokens)
    }

    /// Returns the expected remaining time at the token rate so far if the answer would miss its
    /// deadline, otherwise `None`. No other target is faster while the reader has fallen behind.
    #[must_use]
    pub fn remaining_time_if_late(&self, now: Instant) -> Option<Duration> {
        if self.paused_at.is_some() {
            return None;
        }
        let (deadline, first_token_at) = (self.deadline?, self.first_token_at?);
        let elapsed = now.saturating_duration_since(first_token_at).as_secs_f64();
        let seconds_per_token = elapsed / f64::from(self.tokens.max(1));
        let tokens = f64::from(expected_remaining_tokens(self.total_tokens()));
        let remaining =
            Duration::try_from_secs_f64(seconds_per_token * tokens).unwrap_or(Duration::MAX);
        let left = deadline.saturating_duration_since(now);
        (remaining > left).then_some(remaining)
    }
}

/// Returns the expected number of further tokens of an answer that has `tokens`: as many again.
///
/// Answer lengths are heavy-tailed: the longer an answer already is, the more tokens are to be
/// expected, so the mean over all answers is no predictor.
#[must_use]
pub fn expected_remaining_tokens(tokens: u32) -> u32 {
    tokens
}
