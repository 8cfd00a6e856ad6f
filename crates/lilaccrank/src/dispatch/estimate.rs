//! Estimated load and speed of one target, from the requests sent to it and its answers.
//!
//! Own grants count at once, so that a burst doesn't go to the target that looked idle. The
//! target's own load report lags and is used only for load from other sources.

use std::time::{Duration, Instant};

use super::message::LoadReport;
use super::step_model::StepModel;
use super::work::Work;

/// Prefill rate assumed for a new target, in tokens per second.
const INITIAL_PREFILL_RATE: f64 = 8000.0;
/// Lower bound of the estimated prefill rate, in tokens per second.
const MIN_PREFILL_RATE: f64 = 10.0;
/// EWMA weight of a new sample in the prefill rate.
const PREFILL_GAIN: f64 = 0.2;
/// Below this number of prefill tokens, the time to a first token is mostly overhead.
const SHORT_PROMPT_TOKENS: u64 = 1024;
/// EWMA weight of a new sample in the overhead.
const OVERHEAD_GAIN: f64 = 0.1;
/// Minimum fraction of the time to a first token that is attributed to prefill.
const MIN_PREFILL_FRACTION: f64 = 0.25;
/// Prefills with fewer tokens are mostly step time and no sample of the prefill rate.
const MIN_SAMPLE_TOKENS: u64 = 128;
/// EWMA weight of a new report in the external load.
const EXTERNAL_LOAD_GAIN: f64 = 0.5;
/// Time after which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(10);
/// Maximum lag of load reports: requests that ended up to this long ago may still be included.
const MAX_REPORT_LAG: Duration = Duration::from_secs(3);
/// Factor on the expected prefill time in the hang timeout.
const HANG_TIMEOUT_FACTOR: f64 = 4.0;
/// Number of expected steps in the hang timeout.
const HANG_TIMEOUT_STEPS: f64 = 50.0;

/// Load and speed of one target.
#[derive(Clone, Debug)]
pub struct Estimate {
    external_load: f64,
    outstanding: Work,
    /// Time to a first token apart from prefill, in seconds.
    overhead: f64,
    peak: u32,
    peak_at: Instant,
    /// Running requests and outstanding work of other daemons.
    peer_load: (u32, Work),
    prefill_rate: f64,
    reported_at: Instant,
    running: u32,
    step_model: StepModel,
}

impl Estimate {
    /// Creates the estimate of a new target without any history.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            external_load: 0.0,
            outstanding: Work::default(),
            overhead: 0.0,
            peak: 0,
            peak_at: now,
            peer_load: (0, Work::default()),
            prefill_rate: INITIAL_PREFILL_RATE,
            reported_at: now,
            running: 0,
            step_model: StepModel::new(now),
        }
    }

    /// Creates the estimate of a new target with the speed of the median of the others. A target
    /// that is estimated too slow would get no work by which to correct the estimate.
    pub fn from_median<'a>(estimates: impl Iterator<Item = &'a Self>, now: Instant) -> Self {
        let mut estimates: Vec<&Self> = estimates.collect();
        estimates.sort_by(|a, b| a.prefill_rate.total_cmp(&b.prefill_rate));
        let Some(median) = estimates.get(estimates.len() / 2) else {
            return Self::new(now);
        };
        Self {
            overhead: median.overhead,
            prefill_rate: median.prefill_rate,
            step_model: median.step_model.inherited(now),
            ..Self::new(now)
        }
    }

    /// Records a grant.
    pub fn record_grant(&mut self, work: Work, now: Instant) {
        self.outstanding += work;
        self.running += 1;
        self.update_peak(now);
    }

    /// Records the first token of a request, which ends its prefill. `prefill_ahead` is the prefill
    /// outstanding after its grant, including its own.
    pub fn record_first_token(&mut self, prefill: u64, prefill_ahead: u64, after: Duration) {
        self.outstanding -= Work { decode: 0, prefill };
        self.observe_first_token(prefill_ahead, after);
    }

    /// Updates the speed from a first token observed by any daemon. Short prompts measure the
    /// overhead, long ones the prefill rate.
    pub fn observe_first_token(&mut self, prefill_ahead: u64, after: Duration) {
        let after = after.as_secs_f64();
        if after <= 0.0 {
            return;
        }
        if prefill_ahead < SHORT_PROMPT_TOKENS {
            let sample = (after - prefill_ahead as f64 / self.prefill_rate).max(0.0);
            self.overhead += OVERHEAD_GAIN * (sample - self.overhead);
        }
        if prefill_ahead >= MIN_SAMPLE_TOKENS {
            let prefill_time = (after - self.overhead).max(after * MIN_PREFILL_FRACTION);
            let sample = prefill_ahead as f64 / prefill_time;
            let rate = self.prefill_rate + PREFILL_GAIN * (sample - self.prefill_rate);
            self.prefill_rate = rate.max(MIN_PREFILL_RATE);
        }
    }

    /// Updates the step model from a step observed by any daemon.
    pub fn observe_step(&mut self, batch: u32, step: Duration, now: Instant) {
        self.step_model.observe(batch, step, now);
    }

    /// Replaces the load of other daemons. Returns `true` if its requests or its prefill have
    /// decreased.
    pub fn set_peer_load(&mut self, running: u32, work: Work) -> bool {
        let (previous_running, previous_work) =
            std::mem::replace(&mut self.peer_load, (running, work));
        running < previous_running || work.prefill < previous_work.prefill
    }

    /// Records generated tokens.
    pub fn record_progress(&mut self, decode: u64, step: Duration, now: Instant) {
        self.outstanding -= Work { decode, prefill: 0 };
        self.step_model.observe(self.batch(now), step, now);
    }

    /// Records the end of a request; `remaining_work` is its work that still counted as
    /// outstanding.
    pub fn record_end(&mut self, remaining_work: Work, now: Instant) {
        self.update_peak(now);
        self.outstanding -= remaining_work;
        self.running = self.running.saturating_sub(1);
    }

    /// Applies the target's load report. Only the excess over the peak of own running requests
    /// within the report lag counts as external load: a report taken at face value would count own
    /// requests twice, or hide those just sent.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        self.update_peak(now);
        let excess = report
            .running
            .saturating_add(report.waiting)
            .saturating_sub(self.peak);
        let external_load = self.external_load(now);
        self.external_load =
            external_load + EXTERNAL_LOAD_GAIN * (f64::from(excess) - external_load);
        self.reported_at = now;
    }

    /// Number of running requests of this daemon.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of requests in the target's batch and queue.
    #[must_use]
    pub fn batch(&self, now: Instant) -> u32 {
        let other_requests = self
            .peer_load
            .0
            .saturating_add(self.external_load(now) as u32);
        self.running.saturating_add(other_requests)
    }

    /// Outstanding tokens of all daemons.
    #[must_use]
    pub fn outstanding(&self) -> Work {
        self.outstanding + self.peer_load.1
    }

    /// Outstanding tokens of this daemon.
    #[must_use]
    pub fn own_outstanding(&self) -> Work {
        self.outstanding
    }

    /// Time to a first token apart from prefill, in seconds.
    #[must_use]
    pub fn overhead(&self) -> f64 {
        self.overhead
    }

    /// Prefill rate in tokens per second.
    #[must_use]
    pub fn prefill_rate(&self, now: Instant) -> f64 {
        self.prefill_rate / self.slowness(now)
    }

    /// See [`StepModel::slowness`].
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        self.step_model.slowness(now)
    }

    /// Expected step time at a batch size, in seconds.
    #[must_use]
    pub fn step(&self, batch: u32, now: Instant) -> f64 {
        self.step_model.expected(batch, now)
    }

    /// Expected step time of a resumed answer beside `running` requests, in seconds.
    ///
    /// An answer is resumed because another target is slow, so the speed of the others says little about
    /// an idle target without own steps. The initial speed counts for one answer, which measures it.
    #[must_use]
    pub fn resumed_step(&self, running: u32, now: Instant) -> f64 {
        let batch = running.saturating_add(1);
        let expected = self.step(batch, now);
        if running == 0 && self.step_model.is_inherited() {
            expected.min(StepModel::new(now).expected(batch, now))
        } else {
            expected
        }
    }

    /// Time without output after which a target with this load counts as unresponsive.
    #[must_use]
    pub fn hang_timeout(&self, now: Instant) -> Duration {
        let prefill = self.outstanding().prefill as f64 / self.prefill_rate(now);
        let silent_steps = self.step(self.batch(now), now) * HANG_TIMEOUT_STEPS;
        Duration::try_from_secs_f64(prefill * HANG_TIMEOUT_FACTOR + silent_steps)
            .unwrap_or(Duration::MAX)
    }

    fn external_load(&self, now: Instant) -> f64 {
        let has_external_load = self.external_load > 0.0;
        if has_external_load && now.saturating_duration_since(self.reported_at) < REPORT_TTL {
            self.external_load
        } else {
            0.0
        }
    }

    fn update_peak(&mut self, now: Instant) {
        let is_expired = now.saturating_duration_since(self.peak_at) > MAX_REPORT_LAG;
        if self.running >= self.peak || is_expired {
            self.peak = self.running;
            self.peak_at = now;
        }
    }
}
