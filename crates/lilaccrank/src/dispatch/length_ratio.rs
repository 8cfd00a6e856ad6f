//! Learns which part of the longest answer that callers allow their answers take on average.

/// Average that is assumed without evidence.
const INITIAL: f64 = 0.5;
/// EWMA weight of a new sample. The first samples weigh more, so that they replace the assumption.
const GAIN: f64 = 0.05;
/// Lower bound of the average.
const MIN: f64 = 0.01;
/// Samples from which on the average counts as known.
const ENOUGH_SAMPLES: u32 = 16;
/// Certainty of the average without evidence: a few answers are as short as that, so that only a deadline
/// which most answers miss counts as missed.
const MIN_CERTAINTY: f64 = 0.25;

/// The average length of answers, as a part of the longest that is allowed.
#[derive(Clone, Copy, Debug)]
pub(super) struct LengthRatio {
    mean: f64,
    samples: u32,
}

impl Default for LengthRatio {
    fn default() -> Self {
        Self {
            mean: INITIAL,
            samples: 0,
        }
    }
}

impl LengthRatio {
    /// Records a whole answer of `tokens`, of which `max_tokens` were allowed.
    pub(super) fn observe(&mut self, tokens: u32, max_tokens: u32) {
        if max_tokens == 0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples.saturating_add(1)));
        let sample = f64::from(tokens) / f64::from(max_tokens);
        self.mean = (self.mean + gain * (sample - self.mean)).clamp(MIN, 1.0);
    }

    /// The expected part.
    pub(super) fn mean(self) -> f64 {
        self.mean
    }

    /// How far the expected part rests on evidence, up to 1.
    pub(super) fn certainty(self) -> f64 {
        let known = f64::from(self.samples.min(ENOUGH_SAMPLES)) / f64::from(ENOUGH_SAMPLES);
        known.max(MIN_CERTAINTY)
    }
}
