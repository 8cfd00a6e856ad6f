//! Length of requests in tokens.

use std::ops::{Add, AddAssign, SubAssign};

/// Tokens that a target has to compute. Arithmetic saturates: lengths come from callers and other
/// daemons, and an overflow would make a full target look idle.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Tokens to generate.
    pub decode: u64,
    /// Tokens of the prompt.
    pub prefill: u64,
}

impl Work {
    /// Total number of tokens, at least one, so that requests to plain services count too.
    #[must_use]
    pub fn tokens(self) -> u64 {
        self.decode.saturating_add(self.prefill).max(1)
    }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            decode: self.decode.saturating_add(other.decode),
            prefill: self.prefill.saturating_add(other.prefill),
        }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Work {
    fn sub_assign(&mut self, other: Self) {
        self.decode = self.decode.saturating_sub(other.decode);
        self.prefill = self.prefill.saturating_sub(other.prefill);
    }
}
