//! Step time of a target as a function of its batch size, fitted to observed steps.

use std::time::{Duration, Instant};

/// Factor on the weight of older samples when a new one is added.
const DECAY: f64 = 0.99;
/// EWMA weight of a new sample in the slowness.
const SLOWNESS_GAIN: f64 = 0.3;
/// Number of samples needed before the slowness is computed.
const MIN_SAMPLES: u32 = 16;
/// Ratio to the fitted step time above which a sample counts with a reduced weight, so that a
/// sudden slowdown is detected before it becomes part of the history.
const OUTLIER_RATIO: f64 = 2.0;
/// Weight of an outlier.
const OUTLIER_WEIGHT: f64 = 0.1;
/// Half-life of the slowness while no step is observed.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(5);
/// Minimum step time in seconds.
const MIN_STEP_S: f64 = 1e-4;
/// Initial samples of a new target: batch size and step time in seconds.
const INITIAL_SAMPLES: [(f64, f64); 2] = [(1.0, 0.008), (8.0, 0.010)];

/// Weighted regression of step time over batch size, and the current slowdown against it.
#[derive(Clone, Debug)]
pub struct StepModel {
    batch: f64,
    batch_step: f64,
    batch_square: f64,
    /// Set until the first own step of a target that started with the history of another.
    is_inherited: bool,
    samples: u32,
    updated: Instant,
    slowness: f64,
    step: f64,
    weight: f64,
}

impl StepModel {
    /// Creates the model of a new target.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let mut step_model = Self {
            batch: 0.0,
            batch_step: 0.0,
            batch_square: 0.0,
            is_inherited: false,
            samples: 0,
            updated: now,
            slowness: 1.0,
            step: 0.0,
            weight: 0.0,
        };
        for (batch, step) in INITIAL_SAMPLES {
            step_model.add(batch, step, 1.0);
        }
        step_model
    }

    /// Returns the model of a new target that starts with this history, without any slowdown.
    #[must_use]
    pub fn inherited(&self, now: Instant) -> Self {
        Self {
            is_inherited: true,
            updated: now,
            slowness: 1.0,
            ..self.clone()
        }
    }

    /// Returns `true` if the history is that of another target.
    #[must_use]
    pub fn is_inherited(&self) -> bool {
        self.is_inherited
    }

    /// Adds an observed step.
    pub fn observe(&mut self, batch: u32, step: Duration, now: Instant) {
        self.is_inherited = false;
        let (batch, step) = (f64::from(batch), step.as_secs_f64().max(MIN_STEP_S));
        let ratio = step / self.baseline(batch);
        if self.samples < MIN_SAMPLES {
            self.add(batch, step, 1.0);
            self.samples += 1;
            self.updated = now;
            return;
        }
        let slowness = self.slowness(now);
        self.slowness = (slowness + SLOWNESS_GAIN * (ratio - slowness)).max(1.0);
        self.updated = now;
        let weight = if ratio > OUTLIER_RATIO {
            OUTLIER_WEIGHT
        } else {
            1.0
        };
        self.add(batch, step, weight);
    }

    /// Expected step time in seconds at a batch size.
    #[must_use]
    pub fn expected(&self, batch: u32, now: Instant) -> f64 {
        self.baseline(f64::from(batch)) * self.slowness(now)
    }

    /// Factor by which the target is slower than its own history, at least 1. It decays while no
    /// steps are observed: a target that gets no requests couldn't otherwise show that it has
    /// recovered.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        if self.slowness <= 1.0 {
            return 1.0;
        }
        let since = now.saturating_duration_since(self.updated).as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-since / SLOWNESS_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn baseline(&self, batch: f64) -> f64 {
        let mean_batch = self.batch / self.weight;
        let mean_step = self.step / self.weight;
        let variance = self.batch_square / self.weight - mean_batch * mean_batch;
        let covariance = self.batch_step / self.weight - mean_batch * mean_step;
        let slope = if variance > 1e-6 {
            covariance / variance
        } else {
            0.0
        };
        // A negative slope is noise, and a steep one would give a negative step time at batch size
        // 1.
        let slope = slope.clamp(0.0, mean_step / mean_batch.max(1.0));
        (mean_step + slope * (batch - mean_batch)).max(MIN_STEP_S)
    }

    fn add(&mut self, batch: f64, step: f64, weight: f64) {
        let keep = if weight < 1.0 { 1.0 } else { DECAY };
        let accumulate = |sum: &mut f64, value: f64| *sum = *sum * keep + value * weight;
        accumulate(&mut self.weight, 1.0);
        accumulate(&mut self.batch, batch);
        accumulate(&mut self.step, step);
        accumulate(&mut self.batch_step, batch * step);
        accumulate(&mut self.batch_square, batch * batch);
    }
}
