//! Progress of a streamed answer, and whether it will be whole by its deadline.
//!
//! A target is chosen before the length of the answer is known. Short answers finish in time on any
//! target; one that grows to many times the mean does not on a slow target. Left there, it would hold a
//! slot up to its deadline and be lost with all that was generated. The projection made here tells while
//! another target can still finish it.

use std::time::{Duration, Instant};

/// Time between two projections of a running answer.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// One answer at one target.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    deadline: Option<Instant>,
    /// Tokens from earlier targets.
    earlier_tokens: u32,
    first_token_at: Option<Instant>,
    tokens: u32,
}

impl StreamProgress {
    /// An answer that starts behind `earlier_tokens` from other targets.
    #[must_use]
    pub fn new(earlier_tokens: u32, deadline: Option<Instant>) -> Self {
        Self {
            deadline,
            earlier_tokens,
            first_token_at: None,
            tokens: 0,
        }
    }

    /// Counts tokens that arrived.
    pub fn record_tokens(&mut self, tokens: u32, now: Instant) {
        self.first_token_at.get_or_insert(now);
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Tokens of the answer so far, from all targets.
    #[must_use]
    pub fn total_tokens(&self) -> u32 {
        self.earlier_tokens.saturating_add(self.tokens)
    }

    /// Expected time to the end of the answer at its pace so far, if that is later than its deadline.
    #[must_use]
    pub fn remaining_time_if_late(&self, now: Instant) -> Option<Duration> {
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

/// Tokens still expected of an answer that has `tokens`: as many again.
///
/// Lengths of answers are heavy-tailed. The longer an answer has become, the more is still to come, and
/// the mean over all answers no longer predicts it.
#[must_use]
pub fn expected_remaining_tokens(tokens: u32) -> u32 {
    tokens
}
